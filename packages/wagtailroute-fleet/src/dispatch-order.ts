/**
Orders the hosts that may dispatch a service by rendezvous hashing: the reachable host with the highest score for the service's name dispatches it.
All hosts choose the same dispatcher as long as they reach the same hosts; services are spread over them; and when a host is lost, only its services
move.
*/
import * as crypto from 'node:crypto';
import type * as core from 'wagtailroute-core';
import {getPoolKey, type Pool} from './pools/pool-key.ts';

/**
Returns the hosts in the service's order of preference, the dispatcher first.
*/
export function orderDispatchers<Host>(service: core.ServiceName, hosts: readonly Host[], getId: (host: Host) => core.HostId): readonly Host[] {
	return hosts
		.map(host => ({host, score: getScore(service, getId(host))}))
		.toSorted((left, right) => right.score - left.score)
		.map(({host}) => host);
}

/**
Returns the hosts in a pool's order of preference: those of the pool's failure domain first, so that slot requests stay in it.
*/
export function orderPoolDispatchers<Host>(
	{service, pool}: Pool,
	hosts: readonly Host[],
	getHost: (host: Host) => {readonly id: core.HostId; readonly failureDomain?: core.FailureDomain},
): readonly Host[] {
	const ordered = orderDispatchers(getPoolKey({service, pool}), hosts, host => getHost(host).id);
	return pool === undefined
		? ordered
		: [...ordered.filter(host => getHost(host).failureDomain === pool), ...ordered.filter(host => getHost(host).failureDomain !== pool)];
}

const cachedScores = new Map<string, number>();
const MAX_CACHED_SCORES = 100_000;

function getScore(service: core.ServiceName, host: core.HostId): number {
	const key = `${service} ${host}`;
	const known = cachedScores.get(key);
	if (known !== undefined) {
		return known;
	}

	const score = crypto.createHash('sha1').update(key).digest().readUInt32BE();
	if (cachedScores.size >= MAX_CACHED_SCORES) {
		cachedScores.clear();
	}

	cachedScores.set(key, score);
	return score;
}
