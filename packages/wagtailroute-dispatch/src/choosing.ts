/**
The choice of an upstream for one ask.

Each request goes where the least is to be lost, be it time or the request. Only to an upstream that is suspended, requests that may be
repeated go first: so the end of a bad spell is found by a request that can be sent again, wherever there are such requests.
*/
import * as core from 'wagtailroute-core';
import type {Ask} from './asks.ts';
import type {Policy} from './policy.ts';
import {
	getBackoff,
	getDoubt,
	getRisk,
	getSlowness,
	hasCapacity,
	isPathBad,
	isQuiet,
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
export type ChoiceCircumstances = {
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
	readonly isMissed: boolean;
	readonly policy: Policy;
};

const DOMAIN_WAITS = {
	read: 'domainWaitMilliseconds',
	idempotent: 'domainWaitMilliseconds',
	'non-idempotent': 'unrepeatableDomainWaitMilliseconds',
	upload: 'uploadDomainWaitMilliseconds',
} as const satisfies Record<core.RequestClass, keyof Policy>;

/**
Chooses an upstream with nothing serious against it, or none.

@param upstreams Those with a free slot that are not suspended.
*/
export function choose(upstreams: Iterable<Upstream>, ask: Ask, circumstances: ChoiceCircumstances): Choice | undefined {
	const {now, random, isMissed} = circumstances;
	let best: Upstream | undefined;
	let bestCost = Infinity;
	for (const upstream of upstreams) {
		if (!isOpen(upstream, ask, now)) {
			continue;
		}

		const cost = getCost(upstream, ask, {now, isMissed}) + (random() * upstream.policy.spreadCost);
		if (!(cost < bestCost)) {
			continue;
		}

		best = upstream;
		bestCost = cost;
	}

	const isAbroad = best !== undefined && best.candidate.failureDomain !== ask.failureDomain;
	const findsOut = best !== undefined && (isMissed || core.isIdempotent(ask.requestClass)) && isRested(best, now);
	return best === undefined || (isAbroad && !findsOut && waitsForHome(ask, circumstances)) ? undefined : {upstream: best, isTrial: false};
}

/**
Says whether an ask waits for a slot of its own failure domain. Under load a slot comes free there within milliseconds; taking the first
one anywhere, nearly half of all requests would cross, and each leaves its slot at home to another that crosses.
*/
function waitsForHome(ask: Ask, {now, waitedMilliseconds, known, policy}: ChoiceCircumstances): boolean {
	const left = policy[DOMAIN_WAITS[ask.requestClass]] - waitedMilliseconds;
	return !ask.isResend
		&& left > 0
		&& known.values().some(upstream => upstream.candidate.failureDomain === ask.failureDomain
			&& !isSuspended(upstream, now)
			&& (upstream.rateLimit?.getDelay(now) ?? 0) < left
			&& isSuitable(upstream, ask, now)
			// Where the request is likely to be lost, it had better cross.
			&& getRisk(upstream, now) * policy.riskCost < getCrossingCost(ask, policy));
}

function getCrossingCost({requestClass}: Ask, {uploadDomainCost, domainCost}: Policy): number {
	return requestClass === 'upload' ? uploadDomainCost : domainCost;
}

/**
What a trial may know.
*/
export type TrialCircumstances = {
	readonly now: number;
	/**
	Requests that may be repeated came lately.
	*/
	readonly hasRepeatable: boolean;
	/**
	No upstream in use has a free slot.
	*/
	readonly isFull: boolean;
	/**
	Upstreams that get nothing are missed: requests fail, and none may be repeated.
	*/
	readonly isMissed: boolean;
};

/**
Chooses a suspended upstream whose trial is due, or none: for an ask that would wait behind others.

@param upstreams Suspended ones.
*/
export function chooseTrial(upstreams: Iterable<Upstream>, ask: Ask, circumstances: TrialCircumstances): Choice | undefined {
	const {now} = circumstances;
	let trial: Upstream | undefined;
	let trialAt = now;
	for (const upstream of upstreams) {
		const at = getTrialTime(upstream, ask, circumstances);
		const isNext = at <= trialAt && isOpen(upstream, ask, now) && isTriable(upstream, ask);
		trial = isNext ? upstream : trial;
		trialAt = isNext ? at : trialAt;
	}

	return trial && {upstream: trial, isTrial: true};
}

/**
Chooses the suspended upstream with the least against it: for a request that would else be refused, when so many are
suspended that the service is below its floor.
*/
export function chooseReserve(upstreams: Iterable<Upstream>, ask: Ask, now: number): Choice | undefined {
	let best: Upstream | undefined;
	let bestDoubt = Infinity;
	for (const upstream of upstreams) {
		const doubt = getDoubt(upstream, now);
		if (!(doubt < bestDoubt && isSuspended(upstream, now) && isOpen(upstream, ask, now))) {
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
function isOpen(upstream: Upstream, ask: Ask, now: number): boolean {
	return hasCapacity(upstream, now)
		&& upstream.closedUntil <= now
		&& isSuitable(upstream, ask, now);
}

/**
The same once it has a free slot.
*/
function isSuitable(upstream: Upstream, ask: Ask, now: number): boolean {
	const {candidate} = upstream;
	return isServing(upstream)
		&& candidate.slots > 0
		&& !ask.excluded.includes(candidate.upstream)
		&& getBackoff(upstream, ask.host, now) === 0
		&& !isPathBad(upstream, ask.host, now);
}

/**
One trial at a time, and none by a request that has failed already.
*/
function isTriable({candidate, places}: Upstream, ask: Ask): boolean {
	return !ask.isResend && !candidate.isSilent && places.size === 0;
}

/**
One success is no proof yet: where requests that may be repeated come at all, further trials are left to them. Where none come and no upstream in use has a
free slot, nothing is waited for: half of a small pool may be suspended for seconds after its spells have passed, and everybody waits for the other half. A
trial may cost one request; the wait makes all of them late. The same where requests fail although there are free slots: spells end while the upstreams that
take their place fall ill.
*/
function getTrialTime(upstream: Upstream, ask: Ask, {hasRepeatable, isFull, isMissed}: TrialCircumstances): number {
	const {candidate, trialAt, provenAt, failedAt, policy} = upstream;
	const isHopeful = provenAt > failedAt && !hasRepeatable;
	const isPressed = isFull && !hasRepeatable;
	const extra = isHopeful || isPressed || core.isIdempotent(ask.requestClass) ? 0 : policy.unrepeatableTrialMilliseconds;
	const usual = trialAt + extra + (candidate.failureDomain === ask.failureDomain ? 0 : policy.domainTrialMilliseconds);
	return isMissed ? Math.min(usual, Math.max(trialAt, failedAt + getShortfallWait(upstream))) : usual;
}

function getShortfallWait({failedTrials, policy}: Upstream): number {
	return Math.min(policy.shortfallTrialMostMilliseconds, policy.shortfallTrialLeastMilliseconds * (2 ** failedTrials));
}

/**
Weighs what may be lost at an upstream against what it takes longer elsewhere. The risk tells by the ages of the requests under way there,
long before the first of them ends.
*/
function getCost(upstream: Upstream, ask: Ask, {now, isMissed}: Pick<ChoiceCircumstances, 'now' | 'isMissed'>): number {
	const {candidate, places, policy} = upstream;
	const load = (places.size + 1) / candidate.slots;
	return (getSlowness(upstream, now) * (1 + load))
		+ (candidate.failureDomain === ask.failureDomain ? 0 : getCrossingCost(ask, policy))
		+ (getDoubt(upstream, now) * policy.doubtCost)
		+ (getRisk(upstream, now) * policy.riskCost)
		- (isRested(upstream, now) ? getRestGain(upstream, ask, {now, isMissed}) : 0);
}

function getRestGain(upstream: Upstream, {requestClass}: Ask, {now, isMissed}: Pick<ChoiceCircumstances, 'now' | 'isMissed'>): number {
	const {restGain, repeatableRestGain, shortfallRestGain} = upstream.policy;
	if (isMissed && now - upstream.failedAt >= getShortfallWait(upstream)) {
		return shortfallRestGain;
	}

	return core.isIdempotent(requestClass) ? repeatableRestGain : restGain;
}

/**
With little traffic, those proved last would get all of it, and the others, quiet for ever longer, nothing: they would be missing when one of
the few fails.
*/
function isRested(upstream: Upstream, now: number): boolean {
	return isQuiet(upstream, upstream.policy.restMilliseconds, now);
}
