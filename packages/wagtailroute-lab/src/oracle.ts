/**
The choice of somebody who knows what will become of each request: a bound that no policy reaches.
*/
import type * as core from 'wagtailroute-core';
import type * as proxy from 'wagtailroute-proxy';
import type {Arrival} from './arrivals.ts';
import type {Backend} from './backend.ts';

/**
Creates the port of one request. It never waits: an upstream without a free slot queues.
*/
export function createOracle(backends: ReadonlyMap<core.UpstreamId, Backend>, {service, failureDomain, route}: Arrival): proxy.ServicePort {
	const isHarmless = (backend: Backend) => backend.getSpell(failureDomain) === undefined;

	return {
		limits: {
			timeoutMilliseconds: route.timeoutMilliseconds, bodyBytes: 1, connectionsPerUpstream: 1, attempts: route.attempts,
		},
		isCarried: true,
		admit: () => undefined,
		release: () => undefined,
		choose({excluded}) {
			const serving = backends.values()
				.filter(backend => backend.service === service && backend.state === 'serving' && !excluded.has(backend.id))
				.toArray();
			const best = serving.toSorted((left, right) => getCost(left, isHarmless(left)) - getCost(right, isHarmless(right)))[0];
			return best && {id: best.id, address: {ip: '127.0.0.1', port: 1}, kind: 'upstream'};
		},
		hasOtherTarget: () => true,
		begin: () => undefined,
		end: () => undefined,
		retry: {
			hasBudget: () => true, spend: () => undefined, getUsualMilliseconds: () => route.work.meanMilliseconds,
		},
	};
}

function getCost(backend: Backend, isHarmless: boolean): number {
	return (backend.getBusy() / backend.slots) + (isHarmless ? 0 : 1e6);
}
