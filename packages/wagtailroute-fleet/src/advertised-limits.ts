/**
The rate limits that upstreams advertised in answers to this host.

A dispatcher that this host turns to may not know them: it may have just started, or have been partitioned at the time.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {RATE_LIMIT_TTL_MILLISECONDS} from './constants.ts';

/**
Rate limits by service and upstream.
*/
export type AdvertisedLimits = {
	readonly record: (service: core.ServiceName, upstream: core.UpstreamId, ratePerSecond: number) => void;
	/**
	Lifts a limit after an answer without one.

	@param sentAt When the request was sent. A limit that was advertised since then stays.
	*/
	readonly lift: (service: core.ServiceName, upstream: core.UpstreamId, sentAt: number) => void;
	readonly list: (service: core.ServiceName) => readonly dispatch.RateLimitUpdate[];
};

type Limit = {
	readonly ratePerSecond: number;
	readonly advertisedAt: number;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createAdvertisedLimits(now: () => number): AdvertisedLimits {
	const services = new Map<core.ServiceName, Map<core.UpstreamId, Limit>>();

	const pruneExpired = (limits: Map<core.UpstreamId, Limit>) => {
		for (const [upstream, {advertisedAt}] of limits) {
			if (now() - advertisedAt <= RATE_LIMIT_TTL_MILLISECONDS) {
				break;
			}

			limits.delete(upstream);
		}
	};

	return {
		record(service, upstream, ratePerSecond) {
			const limits = services.get(service) ?? new Map<core.UpstreamId, Limit>();
			services.set(service, limits);
			// Keeps the entries in order of time.
			limits.delete(upstream);
			limits.set(upstream, {ratePerSecond, advertisedAt: now()});
			pruneExpired(limits);
		},
		lift(service, upstream, sentAt) {
			const limits = services.get(service);
			if (sentAt > (limits?.get(upstream)?.advertisedAt ?? Infinity)) {
				limits?.delete(upstream);
			}
		},
		list(service) {
			const limits = services.get(service) ?? new Map<core.UpstreamId, Limit>();
			pruneExpired(limits);
			return limits.entries().map(([upstream, {ratePerSecond, advertisedAt}]): dispatch.RateLimitUpdate => ({
				upstream, ratePerSecond, ageMilliseconds: now() - advertisedAt, granted: 0,
			})).toArray();
		},
	};
}
