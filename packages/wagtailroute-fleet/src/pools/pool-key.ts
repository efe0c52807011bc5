/**
Names the pools of a service. A pool consists of the upstreams of one failure domain, from which the entry hosts of that domain request their slots.
*/
import type * as core from 'wagtailroute-core';

/**
A service, or one of its pools.
*/
export type Pool = {
	readonly service: core.ServiceName;
	/**
	Failure domain of the pool; absent for the undivided service.
	*/
	readonly pool?: core.FailureDomain;
};

/**
Returns the name under which a dispatcher keeps the state of a pool, and by which hosts order its dispatchers. It differs from the name of any
service, since those contain no `@`.
*/
export function getPoolKey({service, pool}: Pool): string {
	return pool === undefined ? service : `${service}@${pool}`;
}
