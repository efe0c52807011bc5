/**
What a dispatcher knows of one service: its upstreams, who waits, how long its requests take, and what follows from that.
*/
import type * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';
import type {Budget} from './budget.ts';
import type {TrialContext} from './choosing.ts';
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
export type QueuedRequest = {
	readonly request: SlotRequest;
	/**
	Those with a lower one come first.
	*/
	readonly queueKey: number;
	readonly queuedAt: number;
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
	readonly queue: QueuedRequest[];
	/**
	Usual milliseconds by route.
	*/
	readonly usualMillisecondsByRoute: Map<string, number>;
	readonly budget: Budget;
	readonly shortfall: Shortfall;
	/**
	Time of the last request that may be repeated.
	*/
	lastIdempotentAt: number;
	readonly rateLimits: ServiceRateLimits;
	/**
	Upstreams that leave, and that peers were not told of.
	*/
	readonly unpublishedDraining: Set<core.UpstreamId>;
};

/**
Returns the usual milliseconds of requests of the ask's route.
*/
export function getUsualMilliseconds(service: Service, request: SlotRequest): number {
	return estimateUsualMilliseconds(service.usualMillisecondsByRoute.get(request.route), request.objectiveMilliseconds);
}

/**
Returns the usual milliseconds of a route: a part of its latency objective while it was not measured.
*/
export function estimateUsualMilliseconds(known: number | undefined, objectiveMilliseconds: number): number {
	return known ?? (objectiveMilliseconds * DEFAULT_POLICY.usualPart);
}

/**
Takes a time as a measurement of what is usual on a route.
*/
export function recordUsualMilliseconds({usualMillisecondsByRoute}: Service, route: string, milliseconds: number): void {
	usualMillisecondsByRoute.set(route, averageUsualMilliseconds(usualMillisecondsByRoute.get(route), milliseconds));
}

/**
Returns what is usual after one more measurement.
*/
export function averageUsualMilliseconds(known: number | undefined, milliseconds: number): number {
	return known === undefined ? milliseconds : (known * (1 - DEFAULT_POLICY.usualShare)) + (milliseconds * DEFAULT_POLICY.usualShare);
}

/**
Returns what the choice of a trial may know.
*/
export function createTrialContext(
	service: Service,
	now: number,
	{isFull, needsIdleUpstreams: isIdleMissed}: Pick<TrialContext, 'isFull' | 'needsIdleUpstreams'>,
): TrialContext {
	return {
		now, hasRecentIdempotent: hasRecentIdempotent(service, now), isFull, needsIdleUpstreams: isIdleMissed,
	};
}

/**
Says whether requests that may be repeated came lately.
*/
function hasRecentIdempotent({lastIdempotentAt, policy}: Service, now: number): boolean {
	return now - lastIdempotentAt < policy.repeatableMilliseconds;
}

/**
Says whether upstreams that get nothing are missed: a noticeable part of the requests is not served, and none comes that could find out without harm which of them are well.
*/
export function needsIdleUpstreams(service: Service, now: number): boolean {
	return !hasRecentIdempotent(service, now) && hasShortfall(service, now);
}

/**
Says whether a noticeable part of the requests is not served.
*/
export function hasShortfall({shortfall, policy}: Service, now: number): boolean {
	return shortfall.getFailedPart(now) >= policy.shortfallPart;
}

/**
Says whether the caller has waited for so long that even an upstream that is free now can not answer within the objective.
*/
export function isObjectiveMissed(service: Service, request: SlotRequest): boolean {
	return request.waitedMilliseconds + getUsualMilliseconds(service, request) > request.objectiveMilliseconds;
}

/**
The place of an ask among those that wait, as a time. Who can be answered within the objective comes before who can not any more: otherwise a
crowd that comes back after an outage makes all who come later late as well.
*/
export function getQueueKey(service: Service, request: SlotRequest, now: number): number {
	const {policy} = service;
	return now + (isObjectiveMissed(service, request) ? policy.lateMilliseconds : 0) + (request.priority * policy.rankMilliseconds) - (request.isResend ? policy.resendMilliseconds : 0);
}

/**
Counts the asks up to one with this turn, itself included: they are kept by turn, so half of them are ruled out at each look.
*/
export function countQueuedUntil({queue}: Service, queueKey: number): number {
	let from = 0;
	let to = queue.length;
	while (from < to) {
		const middle = Math.floor((from + to) / 2);
		[from, to] = queue[middle]!.queueKey <= queueKey ? [middle + 1, to] : [from, middle];
	}

	return from;
}

/**
Says whether an ask that waits could not be answered before its deadline any more.
*/
export function isDeadlineUnreachable(service: Service, {request, deadlineAt}: QueuedRequest, now: number): boolean {
	return deadlineAt - now < getUsualMilliseconds(service, request) * service.policy.worthwhilePart;
}

/**
Lists the upstreams that could take a request as far as this is the same for all.
*/
export function listFreeUpstreams({upstreams}: Service, now: number): readonly Upstream[] {
	return upstreams.values().filter(upstream => hasCapacity(upstream, now) && isServing(upstream) && !isSuspended(upstream, now)).toArray();
}

/**
Lists the suspended upstreams whose next trial is due for some request.
*/
export function listTrialUpstreams({upstreams}: Service, now: number): readonly Upstream[] {
	return upstreams.values().filter(upstream => upstream.nextTrialAt <= now && hasCapacity(upstream, now) && isSuspended(upstream, now)).toArray();
}

/**
Counts the slots, free or not, of the upstreams that could take the ask, as far as rate limits let them be used.
*/
export function countUsableSlots(service: Service, request: SlotRequest, now: number): number {
	const usual = getUsualMilliseconds(service, request);
	let slots = 0;
	for (const upstream of service.upstreams.values()) {
		slots += isUsableNow(upstream, request, now) ? countSlots(upstream, usual) : 0;
	}

	return slots;
}

/**
Says whether any upstream that could take the ask takes requests of its host.
*/
export function hasUsableUpstream({upstreams}: Service, request: SlotRequest, now: number): boolean {
	return upstreams.values().some(upstream => isUsableNow(upstream, request, now));
}

/**
Returns the milliseconds until an upstream that could take the ask takes requests of its host again; Infinity when there is none.
*/
export function getBackoffDelay({upstreams}: Service, request: SlotRequest, now: number): number {
	const delays = upstreams.values().filter(upstream => isUsable(upstream, request, now)).map(upstream => getBackoff(upstream, request.host, now));
	return delays.reduce((least, delay) => Math.min(least, delay), Infinity);
}

function isUsableNow(upstream: Upstream, request: SlotRequest, now: number): boolean {
	return isUsable(upstream, request, now) && getBackoff(upstream, request.host, now) === 0;
}

/**
Says whether an upstream could take the ask, were its host not to back off.
*/
function isUsable(upstream: Upstream, {excluded}: SlotRequest, now: number): boolean {
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
