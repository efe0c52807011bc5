/**
What upstreams advertise in their answers: recording it, and the updates that other hosts need.

A rate limit and draining apply to all entry hosts, so they are reported to peer dispatchers. A backoff applies only to the entry host that received
the answer, which reports it to each dispatcher that it turns to.
*/
import type * as core from 'wagtailroute-core';
import type {Effect, UpstreamUpdate} from './slot-requests.ts';
import type {Service} from './services.ts';
import {listBackoffs, recordBackoff, type Upstream} from './upstreams.ts';

/**
The upstream whose answer advertised something, and the entry host that received it.
*/
export type AnswerSource = {
	readonly upstream: Upstream;
	readonly host: core.HostId;
};

type Recorders = {
	readonly [Kind in core.Advertisement['kind']]: (
		service: Service,
		source: AnswerSource,
		advertisement: Extract<core.Advertisement, {kind: Kind}>,
		now: number,
	) => readonly Effect[];
};

const RECORDERS: Recorders = {
	'rate-limit'({name, rateLimits}, {upstream}, {ratePerSecond}, now) {
		const ratePerSecondBefore = upstream.rateLimit?.getRatePerSecond();
		rateLimits.record(upstream, {ratePerSecond, advertisedAt: now, isPublished: false}, now);
		return ratePerSecond === ratePerSecondBefore
			? []
			: [{
				kind: 'rate-limit', service: name, upstream: upstream.candidate.upstream, ratePerSecond, ratePerSecondBefore,
			}];
	},
	backoff({name}, {upstream, host}, {milliseconds}, now) {
		return recordBackoff(upstream, host, now + milliseconds, now)
			? [{
				kind: 'backoff', service: name, upstream: upstream.candidate.upstream, host, milliseconds,
			}]
			: [];
	},
	draining({name, unpublishedDraining}, {upstream, host}) {
		if (upstream.isDraining) {
			return [];
		}

		upstream.isDraining = true;
		unpublishedDraining.add(upstream.candidate.upstream);
		return [{
			kind: 'draining', service: name, upstream: upstream.candidate.upstream, host,
		}];
	},
};

/**
Records what an answer advertised. Returns an effect if it is new.
*/
export function recordAdvertisement(service: Service, source: AnswerSource, advertisement: core.Advertisement, now: number): readonly Effect[] {
	return RECORDERS[advertisement.kind](service, source, advertisement as never, now);
}

type Appliers = {
	readonly [Kind in UpstreamUpdate['kind']]: (
		service: Service,
		upstream: Upstream,
		update: Extract<UpstreamUpdate, {kind: Kind}>,
		now: number,
	) => void;
};

const APPLIERS: Appliers = {
	'rate-limit'({rateLimits}, upstream, update, now) {
		rateLimits.apply(upstream, update, now);
	},
	backoff(_service, upstream, {host, remainingMilliseconds}, now) {
		recordBackoff(upstream, host, now + remainingMilliseconds, now);
	},
	draining(_service, upstream) {
		upstream.isDraining = true;
	},
};

/**
Applies what another host reported.
*/
export function applyUpdate(service: Service, upstream: Upstream, update: UpstreamUpdate, now: number): void {
	APPLIERS[update.kind](service, upstream, update as never, now);
}

/**
Lists everything that is in force.
*/
export function listUpdates({rateLimits, upstreams}: Service, now: number): readonly UpstreamUpdate[] {
	const draining = upstreams.values().filter(({isDraining}) => isDraining).map(({candidate}) => createDrainingUpdate(candidate.upstream)).toArray();
	return [...rateLimits.list(now), ...draining, ...upstreams.values().flatMap(upstream => listBackoffs(upstream, now))];
}

/**
Returns the updates for peers since the last call.
*/
export function flushUpdates({rateLimits, unpublishedDraining}: Service, now: number): readonly UpstreamUpdate[] {
	const draining = unpublishedDraining.values().map(upstream => createDrainingUpdate(upstream)).toArray();
	unpublishedDraining.clear();
	return [...rateLimits.flushUpdates(now), ...draining];
}

function createDrainingUpdate(upstream: core.UpstreamId): UpstreamUpdate {
	return {kind: 'draining', upstream};
}
