/**
The rate limits that upstreams named in their answers to this host.

A dispatcher that the host turns to may know none of them: it has just started, or was cut off when they were named.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {RATE_LIMIT_KEPT_MILLISECONDS} from './constants.ts';

/**
The limits known to a host.
*/
export type NamedLimits = {
	readonly name: (service: core.ServiceName, upstream: core.UpstreamId, ratePerSecond: number) => void;
	/**
	An answer names no limit.

	@param sentAt When its request was sent: an answer that is older than the limit does not lift it.
	*/
	readonly lift: (service: core.ServiceName, upstream: core.UpstreamId, sentAt: number) => void;
	readonly list: (service: core.ServiceName) => readonly dispatch.RateLimitNews[];
};

type Limit = {
	readonly ratePerSecond: number;
	readonly namedAt: number;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createNamedLimits(now: () => number): NamedLimits {
	const services = new Map<core.ServiceName, Map<core.UpstreamId, Limit>>();

	const forgetOld = (limits: Map<core.UpstreamId, Limit>) => {
		for (const [upstream, {namedAt}] of limits) {
			if (now() - namedAt <= RATE_LIMIT_KEPT_MILLISECONDS) {
				break;
			}

			limits.delete(upstream);
		}
	};

	return {
		name(service, upstream, ratePerSecond) {
			const limits = services.get(service) ?? new Map<core.UpstreamId, Limit>();
			services.set(service, limits);
			// The one that was named last comes last.
			limits.delete(upstream);
			limits.set(upstream, {ratePerSecond, namedAt: now()});
			forgetOld(limits);
		},
		lift(service, upstream, sentAt) {
			const limits = services.get(service);
			if (sentAt > (limits?.get(upstream)?.namedAt ?? Infinity)) {
				limits?.delete(upstream);
			}
		},
		list(service) {
			const limits = services.get(service) ?? new Map<core.UpstreamId, Limit>();
			forgetOld(limits);
			return limits.entries().map(([upstream, {ratePerSecond, namedAt}]): dispatch.RateLimitNews => ({
				upstream, ratePerSecond, ageMilliseconds: now() - namedAt, granted: 0,
			})).toArray();
		},
	};
}
