/**
What the records' leader pays for one host's renewal of its shares: bytes of the command, and processor time of applying it,
by the services in it; each limit is shared by six hosts.
*/
import * as records from '../../packages/wagtailroute-records/src/index.ts';
import {measureMicroseconds, type Row} from './slopes.ts';

const SERVICES = [4, 8, 17, 34] as const;
const CARRIERS = 6;
const ROUNDS = 2000;

/**
Measures all sizes.
*/
export function measureShares(): readonly Row[] {
	measureSize(SERVICES[0]);
	return SERVICES.map(services => measureSize(services));
}

function measureSize(services: number): Row {
	const cell = records.createRecords();
	for (let service = 0; service < services; service++) {
		cell.apply({name: 'open-service', stampedAt: 0, payload: {service: `service-${service}`, origin: {kind: 'new'}}});
	}

	const held = new Map<string, readonly number[]>();
	let bytes = 0;
	let answerBytes = 0;
	const microseconds = measureMicroseconds(() => {
		for (let round = 0; round < ROUNDS; round++) {
			const host = `entry-${1000 + (round % CARRIERS)}`;
			const command = createRenewal(host, services, held.get(host) ?? []);
			const {result} = cell.apply({...command, stampedAt: round * 500});
			const {shares} = result;
			held.set(host, shares.map(share => 'sequence' in share ? share.sequence : 0));
			if (round !== ROUNDS - 1) {
				continue;
			}

			bytes = JSON.stringify({group: 'records', command}).length;
			answerBytes = JSON.stringify(result).length;
		}
	});
	return {
		services, commandBytes: bytes, answerBytes, microseconds: Math.round(microseconds / ROUNDS * 10) / 10,
	};
}

function createRenewal(host: string, services: number, held: readonly number[]) {
	return {
		name: 'renew-shares' as const,
		stampedAt: 0,
		payload: {
			requests: Array.from({length: services}, (_, service) => ({
				service: `service-${service}`,
				limitName: 'concurrency' as const,
				host,
				holds: held[service] ?? 0,
				demand: 12,
				inUse: 5,
				limit: 80,
				carriers: CARRIERS,
			})),
		},
	};
}
