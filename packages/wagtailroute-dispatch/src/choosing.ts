/**
Choice of an upstream for a slot request.

A request goes to the upstream with the lowest cost: expected delay, crossing of failure domains, doubt and risk. Trials of
suspended upstreams prefer idempotent requests, where there are any: these show whether the failure period has ended, and can be sent again if not.
*/
import * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';
import type {ExpectedResponse} from './response-bytes.ts';
import {
	getCost,
	getShortfallTrialDelay,
	isRested,
} from './costs/index.ts';
import type {DomainWait, WaitingRequest} from './domain-wait.ts';
import {isAvailable} from './eligibility.ts';
import {getDoubt, type Upstream} from './upstreams.ts';
import type {UpstreamIndex} from './upstream-index.ts';

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
export type ChoiceContext = WaitingRequest & {
	readonly now: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	Upstreams of the service.
	*/
	readonly index: UpstreamIndex;
	/**
	Whether idle upstreams are tried sooner, since requests fail and no idempotent ones came recently.
	*/
	readonly needsIdleUpstreams: boolean;
	readonly domainWait: DomainWait;
};

/**
Returns the available upstream with the lowest cost; undefined when there is none, or when the request should wait for a slot in its own failure
domain.
*/
export function choose(request: SlotRequest, context: ChoiceContext): Choice | undefined {
	const {
		now, random, needsIdleUpstreams, index, domainWait, response,
	} = context;
	const mayExplore = needsIdleUpstreams || core.isIdempotent(request.requestClass);
	// Spares the costs of all upstreams for each of many queued requests that can only cross.
	if (!mayExplore && !hasAvailableInDomain(request, context) && domainWait.isWaiting(request, context)) {
		return undefined;
	}

	let best: Upstream | undefined;
	let bestCost = Infinity;
	for (const upstream of index.listFree(now, request.failureDomain, other => isAvailable(other, request, now))) {
		if (!isAvailable(upstream, request, now)) {
			continue;
		}

		const spread = random() * upstream.policy.spreadCost;
		const cost = getCost(upstream, request, {now, needsIdleUpstreams, response}, bestCost - spread) + spread;
		if (!(cost < bestCost)) {
			continue;
		}

		best = upstream;
		bestCost = cost;
	}

	const isCrossing = best !== undefined && best.candidate.failureDomain !== request.failureDomain;
	const isExploring = best !== undefined
		&& mayExplore
		&& (response.largePart < 1 || response.isExplored(best.candidate.failureDomain))
		&& isRested(best, now);
	return best === undefined || (isCrossing && !isExploring && domainWait.isWaiting(request, context)) ? undefined : {upstream: best, isTrial: false};
}

function hasAvailableInDomain(request: SlotRequest, {index, now}: ChoiceContext): boolean {
	return index.hasFreeInDomain(now, request.failureDomain, upstream => isAvailable(upstream, request, now));
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
	index: UpstreamIndex,
	request: SlotRequest,
	now: number,
	isAllowed: (failureDomain: core.FailureDomain) => boolean = () => true,
): Choice | undefined {
	const isAccepted = (upstream: Upstream) => isAvailable(upstream, request, now) && isAllowed(upstream.candidate.failureDomain);
	let best: Upstream | undefined;
	let bestDoubt = Infinity;
	for (const upstream of index.listSuspended(now, isAccepted)) {
		const doubt = getDoubt(upstream, now);
		if (!(doubt < bestDoubt && isAccepted(upstream))) {
			continue;
		}

		best = upstream;
		bestDoubt = doubt;
	}

	return best && {upstream: best, isTrial: true};
}

/**
Returns whether the request may be a trial: one trial at a time, none of a silent upstream, and none with a resend, which has failed already.
*/
function isTrialAllowed({candidate, heldSlots}: Upstream, request: SlotRequest): boolean {
	return !request.isResend && !candidate.isSilent && heldSlots.size === 0;
}

/**
Returns whether the request may be a trial of the upstream at its time.
*/
export function isTrialDue(upstream: Upstream, request: SlotRequest, context: TrialContext): boolean {
	return getTrialDueAt(upstream, request, context) <= context.now;
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
