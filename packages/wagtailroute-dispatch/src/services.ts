/**
What a dispatcher knows of one service: its upstreams, who waits, how long its requests take, and what follows from that.
*/
import type * as core from 'wagtailroute-core';
import type {Ask} from './asks.ts';
import type {Budget} from './budget.ts';
import type {TrialCircumstances} from './choosing.ts';
import {DEFAULT_POLICY, type Policy} from './policy.ts';
import type {ServiceRateLimits} from './service-rate-limits.ts';
import type {Shortfall} from './shortfall.ts';
import {
	countSlots,
	getBackoff,
	hasCapacity,
	isServing,
	isSuspended,
	type Upstream,
} from './upstreams.ts';

/**
An ask that waits.
*/
export type Waiting = {
	readonly ask: Ask;
	/**
	Those with a lower one come first.
	*/
	readonly turn: number;
	readonly askedAt: number;
	readonly deadlineAt: number;
};

/**
A service, changed in place by its dispatcher only.
*/
export type Service = {
	readonly name: core.ServiceName;
	readonly policy: Policy;
	readonly upstreams: Map<core.UpstreamId, Upstream>;
	/**
	By turn.
	*/
	readonly waiting: Waiting[];
	/**
	Usual milliseconds by route.
	*/
	readonly usual: Map<string, number>;
	readonly budget: Budget;
	readonly shortfall: Shortfall;
	/**
	Time of the last request that may be repeated.
	*/
	repeatableAt: number;
	readonly rateLimits: ServiceRateLimits;
	/**
	Upstreams that leave, and that peers were not told of.
	*/
	readonly unpublishedDraining: Set<core.UpstreamId>;
};

/**
Returns the usual milliseconds of requests of the ask's route.
*/
export function getUsual(service: Service, ask: Ask): number {
	return guessUsual(service.usual.get(ask.route), ask.objectiveMilliseconds);
}

/**
Returns the usual milliseconds of a route: a part of its latency objective while it was not measured.
*/
export function guessUsual(known: number | undefined, objectiveMilliseconds: number): number {
	return known ?? (objectiveMilliseconds * DEFAULT_POLICY.usualPart);
}

/**
Takes a time as a measurement of what is usual on a route.
*/
export function learnUsual({usual}: Service, route: string, milliseconds: number): void {
	usual.set(route, mixUsual(usual.get(route), milliseconds));
}

/**
Returns what is usual after one more measurement.
*/
export function mixUsual(known: number | undefined, milliseconds: number): number {
	return known === undefined ? milliseconds : (known * (1 - DEFAULT_POLICY.usualShare)) + (milliseconds * DEFAULT_POLICY.usualShare);
}

/**
Returns what the choice of a trial may know.
*/
export function getTrialCircumstances(
	service: Service,
	now: number,
	{isFull, isMissed: isIdleMissed}: Pick<TrialCircumstances, 'isFull' | 'isMissed'>,
): TrialCircumstances {
	return {
		now, hasRepeatable: hasRepeatable(service, now), isFull, isMissed: isIdleMissed,
	};
}

/**
Says whether requests that may be repeated came lately.
*/
function hasRepeatable({repeatableAt, policy}: Service, now: number): boolean {
	return now - repeatableAt < policy.repeatableMilliseconds;
}

/**
Says whether upstreams that get nothing are missed: a noticeable part of the requests is not served, and none comes that could find out without harm which of them are well.
*/
export function isMissed(service: Service, now: number): boolean {
	return !hasRepeatable(service, now) && isShort(service, now);
}

/**
Says whether a noticeable part of the requests is not served.
*/
export function isShort({shortfall, policy}: Service, now: number): boolean {
	return shortfall.getPart(now) >= policy.shortfallPart;
}

/**
Says whether the caller has waited for so long that even an upstream that is free now can not answer within the objective.
*/
export function isObjectiveMissed(service: Service, ask: Ask): boolean {
	return ask.waitedMilliseconds + getUsual(service, ask) > ask.objectiveMilliseconds;
}

/**
The place of an ask among those that wait, as a time. Who can be answered within the objective comes before who can not any more: otherwise a
crowd that comes back after an outage makes all who come later late as well.
*/
export function getTurn(service: Service, ask: Ask, now: number): number {
	const {policy} = service;
	return now + (isObjectiveMissed(service, ask) ? policy.lateMilliseconds : 0) + (ask.priority * policy.rankMilliseconds) - (ask.isResend ? policy.resendMilliseconds : 0);
}

/**
Counts the asks up to one with this turn, itself included: they are kept by turn, so half of them are ruled out at each look.
*/
export function countUntil({waiting}: Service, turn: number): number {
	let from = 0;
	let to = waiting.length;
	while (from < to) {
		const middle = Math.floor((from + to) / 2);
		[from, to] = waiting[middle]!.turn <= turn ? [middle + 1, to] : [from, middle];
	}

	return from;
}

/**
Says whether an ask that waits could not be answered before its deadline any more.
*/
export function isTooLate(service: Service, {ask, deadlineAt}: Waiting, now: number): boolean {
	return deadlineAt - now < getUsual(service, ask) * service.policy.worthwhilePart;
}

/**
Lists the upstreams that could take a request as far as this is the same for all.
*/
export function listFree({upstreams}: Service, now: number): readonly Upstream[] {
	return upstreams.values().filter(upstream => hasCapacity(upstream, now) && isServing(upstream) && !isSuspended(upstream, now)).toArray();
}

/**
Lists the suspended upstreams whose next trial is due for some request.
*/
export function listDueTrials({upstreams}: Service, now: number): readonly Upstream[] {
	return upstreams.values().filter(upstream => upstream.trialAt <= now && hasCapacity(upstream, now) && isSuspended(upstream, now)).toArray();
}

/**
Counts the slots, free or not, of the upstreams that could take the ask, as far as rate limits let them be used.
*/
export function countUsableSlots(service: Service, ask: Ask, now: number): number {
	const usual = getUsual(service, ask);
	let slots = 0;
	for (const upstream of service.upstreams.values()) {
		slots += takesNow(upstream, ask, now) ? countSlots(upstream, usual) : 0;
	}

	return slots;
}

/**
Says whether any upstream that could take the ask takes requests of its host.
*/
export function hasUsableSlot({upstreams}: Service, ask: Ask, now: number): boolean {
	return upstreams.values().some(upstream => takesNow(upstream, ask, now));
}

/**
Returns the milliseconds until an upstream that could take the ask takes requests of its host again; Infinity when there is none.
*/
export function getBackoffDelay({upstreams}: Service, ask: Ask, now: number): number {
	const delays = upstreams.values().filter(upstream => isUsable(upstream, ask, now)).map(upstream => getBackoff(upstream, ask.host, now));
	return delays.reduce((least, delay) => Math.min(least, delay), Infinity);
}

function takesNow(upstream: Upstream, ask: Ask, now: number): boolean {
	return isUsable(upstream, ask, now) && getBackoff(upstream, ask.host, now) === 0;
}

/**
Says whether an upstream could take the ask, were its host not to back off.
*/
function isUsable(upstream: Upstream, {excluded}: Ask, now: number): boolean {
	return isServing(upstream) && !isSuspended(upstream, now) && !excluded.includes(upstream.candidate.upstream);
}

/**
Says whether fewer upstreams than the floor's part are free of suspicion.
*/
export function isBelowFloor(service: Service, floor: number, now: number): boolean {
	let all = 0;
	let suspended = 0;
	for (const upstream of service.upstreams.values()) {
		const counts = isServing(upstream);
		all += counts ? 1 : 0;
		suspended += counts && isSuspended(upstream, now) ? 1 : 0;
	}

	return all - suspended < Math.ceil(all * floor);
}
