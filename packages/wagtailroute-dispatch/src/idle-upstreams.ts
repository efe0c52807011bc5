/**
Idle upstreams, which get no requests although a noticeable fraction of the service's requests fails, and the causes.
*/
import type * as core from 'wagtailroute-core';
import {IDLE_UPSTREAM_MILLISECONDS} from './constants.ts';
import {hasShortfall, type Service} from './services.ts';
import {
	getDoubt,
	isIdle,
	isServing,
	isSuspended,
	type Upstream,
} from './upstreams.ts';

/**
Why an upstream is idle. `silent`: it is suspended and its heartbeats are missing. `suspended`: its next trial is not due, or no request that may be
the trial has come. `rate-limited`: its rate limit allows no request. `doubt`: it failed recently, and others are preferred. `unchosen`: there is no
evidence against it.
*/
export type IdleCause = 'silent' | 'suspended' | 'rate-limited' | 'doubt' | 'unchosen';

/**
An upstream in service that has had no request for {@link IDLE_UPSTREAM_MILLISECONDS}.
*/
export type IdleUpstream = {
	readonly upstream: core.UpstreamId;
	readonly cause: IdleCause;
	readonly doubt: number;
	/**
	Milliseconds since its last failure; Infinity without one.
	*/
	readonly failedMillisecondsAgo: number;
};

/**
Lists the idle upstreams of a service; none while nearly all requests succeed.
*/
export function listIdleUpstreams(service: Service, now: number): readonly IdleUpstream[] {
	if (!hasShortfall(service, now)) {
		return [];
	}

	return service.upstreams.values()
		.filter(upstream => isServing(upstream) && isIdle(upstream, IDLE_UPSTREAM_MILLISECONDS, now))
		.map((upstream): IdleUpstream => ({
			upstream: upstream.candidate.upstream,
			cause: getIdleCause(upstream, now),
			doubt: getDoubt(upstream, now),
			failedMillisecondsAgo: now - upstream.lastFailureAt,
		}))
		.toArray();
}

function getIdleCause(upstream: Upstream, now: number): IdleCause {
	if (isSuspended(upstream, now)) {
		return upstream.candidate.isSilent ? 'silent' : 'suspended';
	}

	if (upstream.rateLimit?.hasToken(now) === false) {
		return 'rate-limited';
	}

	return getDoubt(upstream, now) > 0 ? 'doubt' : 'unchosen';
}
