/**
Which control host dispatches a service: the one with the highest score for the service's name among those that can be
reached (rendezvous hashing). All hosts come to the same one as long as they reach the same control hosts; services spread
over them; and when one goes, only its services move.
*/
import * as crypto from 'node:crypto';
import type * as core from 'wagtailroute-core';

/**
Returns the hosts in the order in which they are to be asked.
*/
export function orderDispatchers<Host>(service: core.ServiceName, hosts: readonly Host[], getId: (host: Host) => core.HostId): readonly Host[] {
	return hosts
		.map(host => ({host, score: getScore(service, getId(host))}))
		.toSorted((left, right) => right.score - left.score)
		.map(({host}) => host);
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
