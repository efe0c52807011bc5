/**
Whether an upstream can take a request, apart from suspension.
*/
import type {SlotRequest} from './slot-requests.ts';
import {
	getBackoff,
	hasCapacity,
	isPathSuspect,
	isServing,
	type Upstream,
} from './upstreams.ts';

/**
Returns whether an upstream can take the request now, whether or not it is suspended.
*/
export function isAvailable(upstream: Upstream, request: SlotRequest, now: number): boolean {
	return hasCapacity(upstream, now)
		&& upstream.closedUntil <= now
		&& isEligible(upstream, request, now);
}

/**
Returns whether an upstream can take the request as soon as it has capacity.
*/
export function isEligible(upstream: Upstream, request: SlotRequest, now: number): boolean {
	const {candidate} = upstream;
	return isServing(upstream)
		&& candidate.slots > 0
		&& !request.excluded.includes(candidate.upstream)
		&& getBackoff(upstream, request.host, now) === 0
		&& !isPathSuspect(upstream, request.host, now);
}
