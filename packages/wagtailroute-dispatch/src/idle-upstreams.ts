/**
Upstreams that get no requests although a part of the service's requests is not served, and what keeps requests from them.
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
Why an upstream gets nothing. `silent`: it is suspended, and its heartbeats are not heard. `suspended`: its next trial is not due, or no request that may try it has come.
`doubt`: it failed lately, and others are preferred. `unchosen`: nothing speaks against it.
*/
export type IdleCause = 'silent' | 'suspended' | 'rate-limited' | 'doubt' | 'unchosen';

/**
An upstream that gets nothing.
*/
export type IdleUpstream = {
	readonly upstream: core.UpstreamId;
	readonly cause: IdleCause;
	readonly doubt: number;
	/**
	Milliseconds since its last failure; Infinity when none is known.
	*/
	readonly failedMillisecondsAgo: number;
};

/**
Lists them; none while nearly all requests are served.
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
