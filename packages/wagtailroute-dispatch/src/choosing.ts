/**
The choice of an upstream for one ask.

Each request goes where the least is to be lost, be it time or the request. Only to an upstream that is suspended, requests that may be
repeated go first: so the end of a bad spell is found by a request that can be sent again, wherever there are such requests.
*/
import * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';
import type {Policy} from './policy.ts';
import {
	getBackoff,
	getDoubt,
	getRisk,
	getSlowness,
	hasCapacity,
	isPathSuspect,
	isIdle,
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
What a choice may know.
*/
export type ChoiceContext = {
	readonly now: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	Milliseconds that the ask has waited.
	*/
	readonly waitedMilliseconds: number;
	/**
	All upstreams of the service, free or not.
	*/
	readonly known: ReadonlyMap<core.UpstreamId, Upstream>;
	/**
	Upstreams that get nothing are missed: requests fail, and none may be repeated.
	*/
	readonly needsIdleUpstreams: boolean;
	readonly policy: Policy;
};

const DOMAIN_WAIT_FIELDS = {
	read: 'domainWaitMilliseconds',
	idempotent: 'domainWaitMilliseconds',
	'non-idempotent': 'unrepeatableDomainWaitMilliseconds',
	upload: 'uploadDomainWaitMilliseconds',
} as const satisfies Record<core.RequestClass, keyof Policy>;

/**
Chooses an upstream with nothing serious against it, or none.

@param upstreams Those with a free slot that are not suspended.
*/
export function choose(upstreams: Iterable<Upstream>, request: SlotRequest, context: ChoiceContext): Choice | undefined {
	const {now, random, needsIdleUpstreams} = context;
	let best: Upstream | undefined;
	let bestCost = Infinity;
	for (const upstream of upstreams) {
		if (!isAvailable(upstream, request, now)) {
			continue;
		}

		const cost = getCost(upstream, request, {now, needsIdleUpstreams}) + (random() * upstream.policy.spreadCost);
		if (!(cost < bestCost)) {
			continue;
		}

		best = upstream;
		bestCost = cost;
	}

	const isCrossing = best !== undefined && best.candidate.failureDomain !== request.failureDomain;
	const isExploring = best !== undefined && (needsIdleUpstreams || core.isIdempotent(request.requestClass)) && isRested(best, now);
	return best === undefined || (isCrossing && !isExploring && isWaitingForOwnDomain(request, context)) ? undefined : {upstream: best, isTrial: false};
}

/**
Says whether an ask waits for a slot of its own failure domain. Under load a slot comes free there within milliseconds; taking the first
one anywhere, nearly half of all requests would cross, and each leaves its slot at home to another that crosses.
*/
function isWaitingForOwnDomain(request: SlotRequest, {now, waitedMilliseconds, known, policy}: ChoiceContext): boolean {
	const left = policy[DOMAIN_WAIT_FIELDS[request.requestClass]] - waitedMilliseconds;
	return !request.isResend
		&& left > 0
		&& known.values().some(upstream => upstream.candidate.failureDomain === request.failureDomain
			&& !isSuspended(upstream, now)
			&& (upstream.rateLimit?.getDelay(now) ?? 0) < left
			&& isEligible(upstream, request, now)
			// Where the request is likely to be lost, it had better cross.
			&& getRisk(upstream, now) * policy.riskCost < getCrossingCost(request, policy));
}

function getCrossingCost({requestClass}: SlotRequest, {uploadDomainCost, domainCost}: Policy): number {
	return requestClass === 'upload' ? uploadDomainCost : domainCost;
}

/**
What a trial may know.
*/
export type TrialContext = {
	readonly now: number;
	/**
	Requests that may be repeated came lately.
	*/
	readonly hasRecentIdempotent: boolean;
	/**
	No upstream in use has a free slot.
	*/
	readonly isFull: boolean;
	/**
	Upstreams that get nothing are missed: requests fail, and none may be repeated.
	*/
	readonly needsIdleUpstreams: boolean;
};

/**
Chooses a suspended upstream whose trial is due, or none: for an ask that would wait behind others.

@param upstreams Suspended ones.
*/
export function chooseTrial(upstreams: Iterable<Upstream>, request: SlotRequest, context: TrialContext): Choice | undefined {
	const {now} = context;
	let trial: Upstream | undefined;
	let earliestDueAt = now;
	for (const upstream of upstreams) {
		const at = getTrialDueAt(upstream, request, context);
		const isNext = at <= earliestDueAt && isAvailable(upstream, request, now) && isTrialAllowed(upstream, request);
		trial = isNext ? upstream : trial;
		earliestDueAt = isNext ? at : earliestDueAt;
	}

	return trial && {upstream: trial, isTrial: true};
}

/**
Chooses the suspended upstream with the least against it: for a request that would else be refused, when so many are
suspended that the service is below its floor.
*/
export function chooseFallback(upstreams: Iterable<Upstream>, request: SlotRequest, now: number): Choice | undefined {
	let best: Upstream | undefined;
	let bestDoubt = Infinity;
	for (const upstream of upstreams) {
		const doubt = getDoubt(upstream, now);
		if (!(doubt < bestDoubt && isSuspended(upstream, now) && isAvailable(upstream, request, now))) {
			continue;
		}

		best = upstream;
		bestDoubt = doubt;
	}

	return best && {upstream: best, isTrial: true};
}

/**
Says whether an upstream could take the ask now if nothing spoke against it but doubt.
*/
function isAvailable(upstream: Upstream, request: SlotRequest, now: number): boolean {
	return hasCapacity(upstream, now)
		&& upstream.closedUntil <= now
		&& isEligible(upstream, request, now);
}

/**
The same once it has a free slot.
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
One trial at a time, and none by a request that has failed already.
*/
function isTrialAllowed({candidate, heldSlots}: Upstream, request: SlotRequest): boolean {
	return !request.isResend && !candidate.isSilent && heldSlots.size === 0;
}

/**
One success is no proof yet: where requests that may be repeated come at all, further trials are left to them. Where none come and no upstream in use has a
free slot, nothing is waited for: half of a small pool may be suspended for seconds after its spells have passed, and everybody waits for the other half. A
trial may cost one request; the wait makes all of them late. The same where requests fail although there are free slots: spells end while the upstreams that
take their place fall ill.
*/
function getTrialDueAt(upstream: Upstream, request: SlotRequest, {hasRecentIdempotent, isFull, needsIdleUpstreams}: TrialContext): number {
	const {candidate, nextTrialAt, lastSuccessAt, lastFailureAt, policy} = upstream;
	const hasTrialSucceeded = lastSuccessAt > lastFailureAt && !hasRecentIdempotent;
	const isOutOfSlots = isFull && !hasRecentIdempotent;
	const extra = hasTrialSucceeded || isOutOfSlots || core.isIdempotent(request.requestClass) ? 0 : policy.unrepeatableTrialMilliseconds;
	const dueAt = nextTrialAt + extra + (candidate.failureDomain === request.failureDomain ? 0 : policy.domainTrialMilliseconds);
	return needsIdleUpstreams ? Math.min(dueAt, Math.max(nextTrialAt, lastFailureAt + getShortfallTrialDelay(upstream))) : dueAt;
}

function getShortfallTrialDelay({failedTrials, policy}: Upstream): number {
	return Math.min(policy.shortfallTrialMostMilliseconds, policy.shortfallTrialLeastMilliseconds * (2 ** failedTrials));
}

/**
Weighs what may be lost at an upstream against what it takes longer elsewhere. The risk tells by the ages of the requests under way there,
long before the first of them ends.
*/
function getCost(upstream: Upstream, request: SlotRequest, {now, needsIdleUpstreams}: Pick<ChoiceContext, 'now' | 'needsIdleUpstreams'>): number {
	const {candidate, heldSlots, policy} = upstream;
	const load = (heldSlots.size + 1) / candidate.slots;
	return (getSlowness(upstream, now) * (1 + load))
		+ (candidate.failureDomain === request.failureDomain ? 0 : getCrossingCost(request, policy))
		+ (getDoubt(upstream, now) * policy.doubtCost)
		+ (getRisk(upstream, now) * policy.riskCost)
		- (isRested(upstream, now) ? getRestGain(upstream, request, {now, needsIdleUpstreams}) : 0);
}

function getRestGain(upstream: Upstream, {requestClass}: SlotRequest, {now, needsIdleUpstreams}: Pick<ChoiceContext, 'now' | 'needsIdleUpstreams'>): number {
	const {restGain, repeatableRestGain, shortfallRestGain} = upstream.policy;
	if (needsIdleUpstreams && now - upstream.lastFailureAt >= getShortfallTrialDelay(upstream)) {
		return shortfallRestGain;
	}

	return core.isIdempotent(requestClass) ? repeatableRestGain : restGain;
}

/**
With little traffic, those proved last would get all of it, and the others, quiet for ever longer, nothing: they would be missing when one of
the few fails.
*/
function isRested(upstream: Upstream, now: number): boolean {
	return isIdle(upstream, upstream.policy.restMilliseconds, now);
}
