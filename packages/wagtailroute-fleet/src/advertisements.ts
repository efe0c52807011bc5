/**
What upstreams advertised in answers to this host.

An advertised backoff or drain binds this host whatever its dispatcher grants. A dispatcher that the host starts to use may not know of advertisements, because it has
just started or was partitioned at the time, so they are kept here and reported to it.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {RATE_LIMIT_TTL_MILLISECONDS} from './constants.ts';

/**
Why an upstream is closed to this host: it advertised a backoff, or that it is draining.
*/
export type Closure = Exclude<core.Advertisement['kind'], 'rate-limit'>;

/**
Advertisements by service and upstream.
*/
export type Advertisements = {
	readonly record: (service: core.ServiceName, upstream: core.UpstreamId, advertisement: core.Advertisement) => void;
	/**
	Lifts a rate limit after an answer without one.

	@param sentAt When the request was sent. A limit that was advertised since then stays.
	*/
	readonly liftRateLimit: (service: core.ServiceName, upstream: core.UpstreamId, sentAt: number) => void;
	/**
	Returns why an upstream is closed to this host now; undefined when it is open.
	*/
	readonly findClosure: (upstream: core.UpstreamId) => Closure | undefined;
	/**
	Returns the advertisements of a service's upstreams that still hold, as they are reported to dispatchers.
	*/
	readonly list: (service: core.ServiceName) => readonly dispatch.UpstreamUpdate[];
};

type AdvertisedRateLimit = {
	readonly ratePerSecond: number;
	readonly advertisedAt: number;
};

type AdvertisedBackoff = {
	readonly service: core.ServiceName;
	readonly until: number;
};

type Recorders = {
	readonly [Kind in core.Advertisement['kind']]: (
		service: core.ServiceName,
		upstream: core.UpstreamId,
		advertisement: Extract<core.Advertisement, {kind: Kind}>,
	) => void;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createAdvertisements(host: core.HostId, now: () => number): Advertisements {
	const limitsByService = new Map<core.ServiceName, Map<core.UpstreamId, AdvertisedRateLimit>>();
	const backoffs = new Map<core.UpstreamId, AdvertisedBackoff>();
	const draining = new Map<core.UpstreamId, core.ServiceName>();

	const pruneLimits = (limits: Map<core.UpstreamId, AdvertisedRateLimit>) => {
		for (const [upstream, {advertisedAt}] of limits) {
			if (now() - advertisedAt <= RATE_LIMIT_TTL_MILLISECONDS) {
				break;
			}

			limits.delete(upstream);
		}
	};

	const pruneBackoffs = () => {
		for (const [upstream, {until}] of backoffs) {
			if (until <= now()) {
				backoffs.delete(upstream);
			}
		}
	};

	const recorders: Recorders = {
		'rate-limit'(service, upstream, {ratePerSecond}) {
			const limits = limitsByService.get(service) ?? new Map<core.UpstreamId, AdvertisedRateLimit>();
			limitsByService.set(service, limits);
			// Deleting first moves the entry to the end: the map stays in order of time.
			limits.delete(upstream);
			limits.set(upstream, {ratePerSecond, advertisedAt: now()});
			pruneLimits(limits);
		},
		backoff(service, upstream, {milliseconds}) {
			pruneBackoffs();
			backoffs.set(upstream, {service, until: Math.max(backoffs.get(upstream)?.until ?? 0, now() + milliseconds)});
		},
		draining(service, upstream) {
			utils.setBounded(draining, upstream, service, generations.MAX_RETIREMENTS);
		},
	};

	const listLimits = (service: core.ServiceName) => {
		const limits = limitsByService.get(service) ?? new Map<core.UpstreamId, AdvertisedRateLimit>();
		pruneLimits(limits);
		return limits.entries().map(([upstream, {ratePerSecond, advertisedAt}]): dispatch.UpstreamUpdate => ({
			kind: 'rate-limit', upstream, ratePerSecond, ageMilliseconds: now() - advertisedAt, granted: 0,
		}));
	};

	const listBackoffs = (service: core.ServiceName) => {
		pruneBackoffs();
		return backoffs.entries()
			.filter(([, backoff]) => backoff.service === service)
			.map(([upstream, {until}]): dispatch.UpstreamUpdate => ({
				kind: 'backoff', upstream, host, remainingMilliseconds: until - now(),
			}));
	};

	const listDraining = (service: core.ServiceName) => draining.entries()
		.filter(([, other]) => other === service)
		.map(([upstream]): dispatch.UpstreamUpdate => ({kind: 'draining', upstream}));

	return {
		record(service, upstream, advertisement) {
			recorders[advertisement.kind](service, upstream, advertisement as never);
		},
		liftRateLimit(service, upstream, sentAt) {
			const limits = limitsByService.get(service);
			if (sentAt > (limits?.get(upstream)?.advertisedAt ?? Infinity)) {
				limits?.delete(upstream);
			}
		},
		findClosure(upstream) {
			if (draining.has(upstream)) {
				return 'draining';
			}

			return (backoffs.get(upstream)?.until ?? 0) > now() ? 'backoff' : undefined;
		},
		list: service => [...listLimits(service), ...listBackoffs(service), ...listDraining(service)],
	};
}
