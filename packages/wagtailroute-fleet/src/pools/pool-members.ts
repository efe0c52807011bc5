/**
Assigns the upstreams of a service to its pools.

Upstreams of a failure domain without entry hosts would get no requests, since nobody requests slots from their pool. They belong to the pool of another
domain, the same at all dispatchers, so that two pools never grant the same slots.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {orderDispatchers} from '../dispatch-order.ts';
import {getPoolKey, type Pool} from './pool-key.ts';

/**
Returns the upstreams of a pool; none if the pool has no upstream that accepts requests.

@param entryDomains Failure domains with entry hosts; empty when they are not known, as after a restart of the fleet.
*/
export function listPoolMembers(
	{service, pool}: Required<Pool>,
	candidates: readonly dispatch.Candidate[],
	entryDomains: readonly core.FailureDomain[],
): readonly dispatch.Candidate[] {
	const serving = new Set(candidates.filter(({isDraining}) => !isDraining).map(({failureDomain}) => failureDomain));
	const adopting = entryDomains.filter(domain => serving.has(domain));
	const findPool = (domain: core.FailureDomain) => adopting.length === 0 || entryDomains.includes(domain)
		? domain
		: orderDispatchers(getPoolKey({service, pool: domain}), adopting, other => other)[0]!;
	const pools = new Map(new Set(candidates.map(({failureDomain}) => failureDomain)).values().map(domain => [domain, findPool(domain)]));
	const members = candidates.filter(({failureDomain}) => pools.get(failureDomain) === pool);
	return members.some(({isDraining}) => !isDraining) ? members : [];
}
