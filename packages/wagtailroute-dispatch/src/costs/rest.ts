/**
Gain of an upstream that has had no request for a while. With little traffic, the upstreams with the latest successes would otherwise get all
requests, and the others none: they would be unavailable as replacements when one of the few fails.
*/
import * as core from 'wagtailroute-core';
import {isIdle, type Upstream} from '../upstreams.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {CostContext} from './term.ts';

export function getRestCost(upstream: Upstream, request: SlotRequest, context: CostContext): number {
	return isRested(upstream, context.now) ? -getRestGain(upstream, request, context) * getGainPart(upstream, request, context) : 0;
}

/**
Returns the fraction of the gain that counts. A large response must not cross failure domains only to explore an upstream, unless requests fail and
no other request explores it: idle upstreams may then be what is missing.
*/
function getGainPart({candidate: {failureDomain}}: Upstream, request: SlotRequest, {response}: CostContext): number {
	return failureDomain === request.failureDomain || response.isExplored(failureDomain) ? 1 : 1 - response.largePart;
}

/**
Returns whether an upstream has had no request for a while.
*/
export function isRested(upstream: Upstream, now: number): boolean {
	return isIdle(upstream, upstream.policy.restMilliseconds, now);
}

/**
Returns the milliseconds after an upstream's last failure from which on it is tried during a shortfall.
*/
export function getShortfallTrialDelay({failedTrials, policy}: Upstream): number {
	return Math.min(policy.shortfallTrialMostMilliseconds, policy.shortfallTrialLeastMilliseconds * (2 ** failedTrials));
}

function getRestGain(upstream: Upstream, {requestClass}: SlotRequest, {now, needsIdleUpstreams}: CostContext): number {
	const {restGain, repeatableRestGain, shortfallRestGain} = upstream.policy;
	if (needsIdleUpstreams && now - upstream.lastFailureAt >= getShortfallTrialDelay(upstream)) {
		return shortfallRestGain;
	}

	return core.isIdempotent(requestClass) ? repeatableRestGain : restGain;
}
