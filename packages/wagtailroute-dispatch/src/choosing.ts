/**
Choice of an upstream for a slot request.

A request goes to the upstream with the lowest cost: expected delay, crossing of failure domains, doubt and risk. Trials of
suspended upstreams prefer idempotent requests, where there are any: these show whether the failure period has ended, and can be sent again if not.
*/
import * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';
import type {Policy} from './policy.ts';
import type {ExpectedResponse} from './response-bytes.ts';
import {
	getCost,
	getDomainCost,
	getShortfallTrialDelay,
	isRested,
} from './costs/index.ts';
import {
	getBackoff,
	getDoubt,
	getRisk,
	hasCapacity,
	isPathSuspect,
	isServing,
	isSuspended,
	type Upstream,
} from './upstreams.ts';

/**
A chosen upstream.
*/
export type Choice = {
	readonly upstream: Upstream;
	readonly isTrial: boolean;
};

/**
State on which the choice depends.
*/
export type ChoiceContext = {
	readonly now: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	Milliseconds that the request has been queued here.
	*/
	readonly queuedMilliseconds: number;
	/**
	All upstreams of the service, with or without a free slot.
	*/
	readonly allUpstreams: ReadonlyMap<core.UpstreamId, Upstream>;
	/**
	Whether idle upstreams are tried sooner, since requests fail and no idempotent ones came recently.
	*/
	readonly needsIdleUpstreams: boolean;
	/**
	Usual response time of the request's route.
	*/
	readonly usualMilliseconds: number;
	readonly response: ExpectedResponse;
	readonly policy: Policy;
};

const DOMAIN_WAIT_FIELDS = {
	read: 'domainWaitMilliseconds',
	idempotent: 'domainWaitMilliseconds',
	'non-idempotent': 'unrepeatableDomainWaitMilliseconds',
	upload: 'uploadDomainWaitMilliseconds',
} as const satisfies Record<core.RequestClass, keyof Policy>;

/**
Returns the available upstream with the lowest cost; undefined when there is none, or when the request should wait for a slot in its own failure
domain.

@param upstreams Upstreams that are not suspended and have a free slot.
*/
export function choose(upstreams: Iterable<Upstream>, request: SlotRequest, context: ChoiceContext): Choice | undefined {
	const {now, random, needsIdleUpstreams, response} = context;
	let best: Upstream | undefined;
	let bestCost = Infinity;
	for (const upstream of upstreams) {
		if (!isAvailable(upstream, request, now)) {
			continue;
		}

		const cost = getCost(upstream, request, {now, needsIdleUpstreams, response}) + (random() * upstream.policy.spreadCost);
		if (!(cost < bestCost)) {
			continue;
		}

		best = upstream;
		bestCost = cost;
	}

	const isCrossing = best !== undefined && best.candidate.failureDomain !== request.failureDomain;
	const isExploring = best !== undefined
		&& (needsIdleUpstreams || core.isIdempotent(request.requestClass))
		&& (response.largePart < 1 || response.isExplored(best.candidate.failureDomain))
		&& isRested(best, now);
	return best === undefined || (isCrossing && !isExploring && isWaitingForOwnDomain(request, context)) ? undefined : {upstream: best, isTrial: false};
}

/**
Returns whether a request should wait for a slot in its own failure domain. Under load one becomes free there within milliseconds. If each request
took the first free slot of any domain, nearly half of all requests would cross, each leaving a slot in its own domain to another that crosses.
*/
function isWaitingForOwnDomain(request: SlotRequest, context: ChoiceContext): boolean {
	const {
		now, queuedMilliseconds, allUpstreams, policy, response,
	} = context;
	const remainingWait = getDomainWait(request, context) - queuedMilliseconds;
	return !request.isResend
		&& remainingWait > 0
		&& allUpstreams.values().some(upstream => upstream.candidate.failureDomain === request.failureDomain
			&& !isSuspended(upstream, now)
			&& (upstream.rateLimit?.getDelay(now) ?? 0) < remainingWait
			&& isEligible(upstream, request, now)
			// Crossing is better than an upstream at which the request is likely to fail.
			&& getRisk(upstream, now) * policy.riskCost < getDomainCost(request, response.bytes, policy));
}

/**
Returns the milliseconds that a request waits for a slot in its own failure domain. Those for a large response end while the request can still meet
its objective.
*/
function getDomainWait(request: SlotRequest, {policy, response: {largePart}, usualMilliseconds}: ChoiceContext): number {
	const classWait = policy[DOMAIN_WAIT_FIELDS[request.requestClass]];
	if (largePart === 0) {
		return classWait;
	}

	const largeWait = classWait + (Math.max(0, policy.largeDomainWaitMilliseconds - classWait) * largePart);
	const objectiveWait = request.objectiveMilliseconds - request.waitedMilliseconds - (usualMilliseconds * policy.objectivePart);
	return Math.max(classWait, Math.min(largeWait, objectiveWait));
}

/**
State on which the choice of a trial depends.
*/
export type TrialContext = {
	readonly now: number;
	/**
	Whether idempotent requests came recently.
	*/
	readonly hasRecentIdempotent: boolean;
	/**
	Whether no upstream that is not suspended has a free slot.
	*/
	readonly isFull: boolean;
	/**
	Whether idle upstreams are tried sooner, since requests fail and no idempotent ones came recently.
	*/
	readonly needsIdleUpstreams: boolean;
	readonly response: ExpectedResponse;
};

/**
Returns the suspended upstream whose trial has been due for longest, or undefined. A trial uses a request that would otherwise wait in the queue.

@param upstreams Suspended upstreams.
*/
export function chooseTrial(upstreams: Iterable<Upstream>, request: SlotRequest, context: TrialContext): Choice | undefined {
	const {now} = context;
	let trial: Upstream | undefined;
	let earliestDueAt = now;
	for (const upstream of upstreams) {
		const at = getTrialDueAt(upstream, request, context);
		const isNext = at <= earliestDueAt
			&& isAvailable(upstream, request, now)
			&& isTrialAllowed(upstream, request)
			&& !context.response.isLeftToOthers(upstream.candidate.failureDomain);
		trial = isNext ? upstream : trial;
		earliestDueAt = isNext ? at : earliestDueAt;
	}

	return trial && {upstream: trial, isTrial: true};
}

/**
Returns the suspended upstream with the least doubt, or undefined. It serves a request that would otherwise be refused.

@param isAllowed Returns whether an upstream of a failure domain may be used.
*/
export function chooseFallback(
	upstreams: Iterable<Upstream>,
	request: SlotRequest,
	now: number,
	isAllowed: (failureDomain: core.FailureDomain) => boolean = () => true,
): Choice | undefined {
	let best: Upstream | undefined;
	let bestDoubt = Infinity;
	for (const upstream of upstreams) {
		const doubt = getDoubt(upstream, now);
		if (!(doubt < bestDoubt && isSuspended(upstream, now) && isAvailable(upstream, request, now) && isAllowed(upstream.candidate.failureDomain))) {
			continue;
		}

		best = upstream;
		bestDoubt = doubt;
	}

	return best && {upstream: best, isTrial: true};
}

/**
Returns whether an upstream can take the request now, whether or not it is suspended.
*/
function isAvailable(upstream: Upstream, request: SlotRequest, now: number): boolean {
	return hasCapacity(upstream, now)
		&& upstream.closedUntil <= now
		&& isEligible(upstream, request, now);
}

/**
Returns whether an upstream can take the request as soon as it has capacity.
*/
function isEligible(upstream: Upstream, request: SlotRequest, now: number): boolean {
	const {candidate} = upstream;
	return isServing(upstream)
		&& candidate.slots > 0
		&& !request.excluded.includes(candidate.upstream)
		&& getBackoff(upstream, request.host, now) === 0
		&& !isPathSuspect(upstream, request.host, now);
}

/**
Returns whether the request may be a trial: one trial at a time, none of a silent upstream, and none with a resend, which has failed already.
*/
function isTrialAllowed({candidate, heldSlots}: Upstream, request: SlotRequest): boolean {
	return !request.isResend && !candidate.isSilent && heldSlots.size === 0;
}

/**
Returns the time from which the request may be a trial of the upstream.

One success does not prove that a failure period has ended, so further trials are left to idempotent requests where there are any. Where there are
none and no upstream has a free slot, non-idempotent requests are not delayed: half of a small pool may stay suspended for seconds after its failure
periods have ended, while all requests wait for the other half. A trial may lose one request, while the delay would make all of them late. The same applies when
requests fail although slots are free: suspended upstreams recover while those that replace them fail.
*/
function getTrialDueAt(upstream: Upstream, request: SlotRequest, {hasRecentIdempotent, isFull, needsIdleUpstreams}: TrialContext): number {
	const {candidate, nextTrialAt, lastSuccessAt, lastFailureAt, policy} = upstream;
	const isLikelyRecovered = lastSuccessAt > lastFailureAt && !hasRecentIdempotent;
	const isOutOfSlots = isFull && !hasRecentIdempotent;
	const extra = isLikelyRecovered || isOutOfSlots || core.isIdempotent(request.requestClass) ? 0 : policy.unrepeatableTrialMilliseconds;
	const dueAt = nextTrialAt + extra + (candidate.failureDomain === request.failureDomain ? 0 : policy.domainTrialMilliseconds);
	return needsIdleUpstreams ? Math.min(dueAt, Math.max(nextTrialAt, lastFailureAt + getShortfallTrialDelay(upstream))) : dueAt;
}
