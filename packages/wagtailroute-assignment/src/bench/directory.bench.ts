/**
What a host keeps and does for assignment and directory, by the number of hosts: memory of the index after a collection,
and time of an answer to a caller, with fit carriers and without any.

Run it with `npm run bench -- directory`. The services grow with the hosts as in the size to design for.
*/
import * as process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as utils from 'wagtailroute-utils';
import * as assignment from '../index.ts';

const SIZES = [300, 600, 1200, 2400] as const;
const SERVICES_PER_HOST = 2.875;
const CARRIERS = 6;
const DOMAINS = 35;
const ANSWERS = 20_000;
const SLOW_ANSWERS = 200;
const SEED = 3;

/**
An answer with fit carriers may cost at most this much more in the largest fleet than in the smallest.
*/
const ANSWER_BOUND = 4;

type Row = {
	readonly hosts: number;
	readonly services: number;
	readonly indexBytes: number;
	readonly answerMicroseconds: number;
	/**
	When no carrier is fit: all hosts are looked at.
	*/
	readonly withoutCarriersMicroseconds: number;
	readonly answerBytes: number;
};

/**
Measures all sizes.
*/
export async function run(): Promise<{title: string; rows: readonly Row[]; broken: readonly string[]}> {
	const hash = await assignment.createNameHash();
	measureSize(hash, SIZES[0]);
	const rows = SIZES.map(hosts => measureSize(hash, hosts));
	const ratio = rows.at(-1)!.answerMicroseconds / rows[0]!.answerMicroseconds;
	return {
		title: 'Assignment and directory: memory of the index, time of an answer',
		rows,
		broken: ratio > ANSWER_BOUND ? [`an answer costs ${ratio.toFixed(1)} times as much at ${rows.at(-1)!.hosts} hosts`] : [],
	};
}

function measureSize(hash: assignment.NameHash, hosts: number): Row {
	const services = Math.round(hosts * SERVICES_PER_HOST);
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const index = createIndex(hash, hosts, services);
	collectGarbage();
	const indexBytes = process.memoryUsage().heapUsed - before;
	const members = createMembers(hosts);
	const random = utils.createRandom(SEED);
	const ask = (number: number, isFit: boolean) => {
		const service = `service-${number % services}`;
		return assignment.getAddresses({
			service, carriers: isFit ? index.getCarriers(service) : [], members, random,
		});
	};

	return {
		hosts,
		services,
		indexBytes,
		answerMicroseconds: measureAnswers(ANSWERS, number => ask(number, true)),
		withoutCarriersMicroseconds: measureAnswers(SLOW_ANSWERS, number => ask(number, false)),
		answerBytes: JSON.stringify(ask(0, true)).length,
	};
}

function measureAnswers(count: number, ask: (number: number) => unknown): number {
	const startedAt = performance.now();
	for (let number = 0; number < count; number++) {
		ask(number);
	}

	return Math.round((performance.now() - startedAt) * 1e4 / count) / 10;
}

function createIndex(hash: assignment.NameHash, hosts: number, services: number): assignment.CarrierIndex {
	const list = Array.from({length: hosts}, (_, index) => ({
		id: `host-${index}`, failureDomain: `domain-${index % DOMAINS}`, weight: 1,
	}));
	const index = assignment.createCarrierIndex(hash, list);
	for (let service = 0; service < services; service++) {
		index.setService(`service-${service}`, CARRIERS);
	}

	return index;
}

function createMembers(hosts: number): ReadonlyMap<string, assignment.DirectoryMember> {
	return new Map(Array.from({length: hosts}, (_, index): [string, assignment.DirectoryMember] => [`host-${index}`, {
		id: `host-${index}`,
		trafficAddress: {ip: '10.0.0.1', port: index + 1},
		failureDomain: `domain-${index % DOMAINS}`,
		state: 'alive',
		draining: false,
		load: (index % 10) / 10,
	}]));
}

function collectGarbage(): void {
	// The flag counts for contexts made after it.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}
