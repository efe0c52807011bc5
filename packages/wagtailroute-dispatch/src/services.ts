/**
State of one service at a dispatcher: its upstreams, the queue of requests, the usual response times, and the conditions that follow from them.
*/
import type * as core from 'wagtailroute-core';
import type {SlotRequest} from './slot-requests.ts';
import type {Budget} from './budget.ts';
import type {TrialContext} from './choosing.ts';
import {DEFAULT_POLICY, type Policy} from './policy.ts';
import type {CheapExplorers} from './response-bytes.ts';
import type {ServiceRateLimits} from './service-rate-limits.ts';
import type {OrderedQueue} from './order/index.ts';
import type {Shortfall} from './shortfall.ts';
import {
	countSlots,
	getBackoff,
	isServing,
	isSuspended,
	type Upstream,
} from './upstreams.ts';
import type {UpstreamIndex} from './upstream-index.ts';

/**
A slot request in the queue.
*/
export type QueuedRequest = {
	readonly request: SlotRequest;
	/**
	Sort key: requests with a lower key are served first. A time in milliseconds, see {@link getQueueKey}.
	*/
	readonly queueKey: number;
	readonly queuedAt: number;
	readonly deadlineAt: number;
};

/**
A service. It is changed in place, only by its dispatcher and the functions of this package.
*/
export type Service = {
	readonly name: core.ServiceName;
	readonly policy: Policy;
	readonly upstreams: Map<core.UpstreamId, Upstream>;
	/**
	The same upstreams by what they can be used for; refreshed with each change of one.
	*/
	readonly index: UpstreamIndex;
	/**
	Sorted by `queueKey`.
	*/
	readonly queue: QueuedRequest[];
	/**
	Takes the place of `queue` while requests are ordered by cost.
	*/
	order?: OrderedQueue;
	/**
	Moving averages of the response times in milliseconds, by name of the route.
	*/
	readonly usualMillisecondsByRoute: Map<string, number>;
	/**
	Moving averages of the response bytes, by name of the route.
	*/
	readonly responseBytesByRoute: Map<string, number>;
	readonly cheapExplorers: CheapExplorers;
	readonly budget: Budget;
	readonly shortfall: Shortfall;
	/**
	Time of the last idempotent request.
	*/
	lastIdempotentAt: number;
	readonly rateLimits: ServiceRateLimits;
	/**
	Upstreams that are draining and have not been reported to the peers.
	*/
	readonly unpublishedDraining: Set<core.UpstreamId>;
};

/**
Returns the usual response time of the request's route in milliseconds.
*/
export function getUsualMilliseconds(service: Service, request: SlotRequest): number {
	return estimateUsualMilliseconds(service.usualMillisecondsByRoute.get(request.route), request.objectiveMilliseconds);
}

/**
Returns the usual response time of a route in milliseconds: the measured one, or without measurements a fraction of the latency objective.
*/
export function estimateUsualMilliseconds(known: number | undefined, objectiveMilliseconds: number): number {
	return known ?? (objectiveMilliseconds * DEFAULT_POLICY.usualPart);
}

/**
Updates the usual response time of a route with a measurement.
*/
export function recordUsualMilliseconds({usualMillisecondsByRoute}: Service, route: string, milliseconds: number): void {
	usualMillisecondsByRoute.set(route, averageUsualMilliseconds(usualMillisecondsByRoute.get(route), milliseconds));
}

/**
Returns the moving average after one more measurement.
*/
export function averageUsualMilliseconds(known: number | undefined, milliseconds: number): number {
	return known === undefined ? milliseconds : (known * (1 - DEFAULT_POLICY.usualShare)) + (milliseconds * DEFAULT_POLICY.usualShare);
}

/**
Returns the state on which the choice of a trial depends.
*/
export function createTrialContext(
	service: Service,
	now: number,
	{isFull, needsIdleUpstreams: areIdleNeeded, response}: Pick<TrialContext, 'isFull' | 'needsIdleUpstreams' | 'response'>,
): TrialContext {
	return {
		now, hasRecentIdempotent: hasRecentIdempotent(service, now), isFull, needsIdleUpstreams: areIdleNeeded, response,
	};
}

/**
Returns whether idempotent requests came recently, so that more are expected.
*/
function hasRecentIdempotent({lastIdempotentAt, policy}: Service, now: number): boolean {
	return now - lastIdempotentAt < policy.repeatableMilliseconds;
}

/**
Returns whether idle upstreams should be tried sooner: a noticeable fraction of the requests fails, and there are no idempotent requests that could
find out without harm which upstreams are healthy.
*/
export function needsIdleUpstreams(service: Service, now: number): boolean {
	return !hasRecentIdempotent(service, now) && hasShortfall(service, now);
}

/**
Returns whether a noticeable fraction of the requests fails.
*/
export function hasShortfall({shortfall, policy}: Service, now: number): boolean {
	return shortfall.getFailedPart(now) >= policy.shortfallPart;
}

/**
Returns whether the caller has waited for so long that a slot granted now would not meet the latency objective.
*/
export function isObjectiveMissed(service: Service, request: SlotRequest): boolean {
	return request.waitedMilliseconds + getUsualMilliseconds(service, request) > request.objectiveMilliseconds;
}

/**
Returns the sort key of a request in the queue, as a time in milliseconds. Requests that can meet their objective come before those that no longer
can: otherwise a crowd of retries after an outage makes all later requests late as well.
*/
export function getQueueKey(service: Service, request: SlotRequest, now: number): number {
	const {policy} = service;
	return now + (isObjectiveMissed(service, request) ? policy.lateMilliseconds : 0) + (request.priority * policy.rankMilliseconds) - (request.isResend ? policy.resendMilliseconds : 0);
}

/**
Counts the queued requests with this sort key or a lower one, by binary search.
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
Returns whether a queued request could no longer be answered before its deadline.
*/
export function isDeadlineUnreachable(service: Service, {request, deadlineAt}: Pick<QueuedRequest, 'request' | 'deadlineAt'>, now: number): boolean {
	return deadlineAt - now < getUsualMilliseconds(service, request) * service.policy.worthwhilePart;
}

/**
Counts the slots, free or not, of the upstreams that are usable for the request, as far as rate limits allow their use.
*/
export function countUsableSlots(service: Service, request: SlotRequest, now: number): number {
	const usual = getUsualMilliseconds(service, request);
	const {index} = service;
	let slots = index.countUnlimitedSlots(now);
	for (const upstream of listUnusable(service, request, now)) {
		slots -= upstream.rateLimit === undefined ? upstream.candidate.slots : 0;
	}

	for (const upstream of index.listLimitedUsable(now)) {
		slots += isUsableNow(upstream, request, now) ? countSlots(upstream, usual) : 0;
	}

	return slots;
}

/**
Counts the slots, free or not, of the upstreams that are in service and not suspended, whatever their rate limits and backoffs.
*/
export function countServingSlots({index}: Service, now: number): number {
	return index.listLimitedUsable(now).reduce((slots, {candidate}) => slots + candidate.slots, index.countUnlimitedSlots(now));
}

/**
Lists the upstreams in service that are not suspended and yet not usable for the request: it was sent there before, or its entry host backs off.
*/
function listUnusable({index, upstreams}: Service, request: SlotRequest, now: number): ReadonlySet<Upstream> {
	const excluded = request.excluded.map(id => upstreams.get(id)).filter(upstream => upstream !== undefined);
	const others = [...excluded, ...index.listBackingOff(now)];
	return new Set(others.filter(upstream => isServing(upstream) && !isSuspended(upstream, now) && !isUsableNow(upstream, request, now)));
}

/**
Returns whether any upstream is usable for the request now.
*/
export function hasUsableUpstream({index}: Service, request: SlotRequest, now: number): boolean {
	return index.listUsable(now).some(upstream => isUsableNow(upstream, request, now));
}

/**
Returns the milliseconds until the backoff of the request's entry host ends at a usable upstream; Infinity when no upstream is usable.
*/
export function getBackoffDelay({index}: Service, request: SlotRequest, now: number): number {
	const delays = index.listUsable(now).filter(upstream => isUsable(upstream, request, now)).map(upstream => getBackoff(upstream, request.host, now));
	return Math.min(Infinity, ...delays);
}

/**
Returns the milliseconds until the next trial of a suspended upstream is due; Infinity when none is suspended.
*/
export function getTrialDelay({index}: Service, now: number): number {
	return Math.max(0, index.getNextTrialAt(now) - now);
}

function isUsableNow(upstream: Upstream, request: SlotRequest, now: number): boolean {
	return isUsable(upstream, request, now) && getBackoff(upstream, request.host, now) === 0;
}

/**
Returns whether an upstream is usable for the request, apart from backoffs of its entry host.
*/
function isUsable(upstream: Upstream, {excluded}: SlotRequest, now: number): boolean {
	return isServing(upstream) && !isSuspended(upstream, now) && !excluded.includes(upstream.candidate.upstream);
}

/**
Returns whether the fraction of upstreams that are not suspended is below the floor.
*/
export function isBelowFloor(service: Service, floor: number, now: number): boolean {
	return service.index.listUsable(now).length < Math.ceil(service.index.countServing() * floor);
}
