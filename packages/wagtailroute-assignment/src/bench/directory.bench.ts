/**
Measures what assignment and directory cost a host, by the number of hosts: memory of the index after a garbage
collection, and the time of an answer to a caller with fit carriers and without any.

Run it with `npm run bench -- directory`. The ratio of services to hosts is that of the size to design for (6,900
services on 2,400 hosts).
*/
import * as process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as utils from 'wagtailroute-utils';
import * as assignment from '../index.ts';

const SIZES = [300, 600, 1200, 2400] as const;
const SERVICES_PER_HOST = 2.875;
const CARRIERS = 6;
const FAILURE_DOMAINS = 35;
const ANSWERS_WITH_CARRIERS = 20_000;
const ANSWERS_WITHOUT_CARRIERS = 200;
const SEED = 3;

/**
Maximum time of an answer with fit carriers in the largest fleet, divided by that in the smallest.
*/
const MAX_ANSWER_COST_RATIO = 4;

type Row = {
	readonly hosts: number;
	readonly services: number;
	readonly indexBytes: number;
	readonly answerMicroseconds: number;
	/**
	Time of an answer when no carrier is fit: all hosts are examined.
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
		broken: ratio > MAX_ANSWER_COST_RATIO ? [`an answer takes ${ratio.toFixed(1)} times as long at ${rows.at(-1)!.hosts} hosts`] : [],
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
	const getAnswer = (number: number, hasFitCarriers: boolean) => {
		const service = `service-${number % services}`;
		return assignment.getAddresses({
			service, carriers: hasFitCarriers ? index.getCarriers(service) : [], members, random,
		});
	};

	return {
		hosts,
		services,
		indexBytes,
		answerMicroseconds: measureAnswers(ANSWERS_WITH_CARRIERS, number => getAnswer(number, true)),
		withoutCarriersMicroseconds: measureAnswers(ANSWERS_WITHOUT_CARRIERS, number => getAnswer(number, false)),
		answerBytes: JSON.stringify(getAnswer(0, true)).length,
	};
}

function measureAnswers(count: number, getAnswer: (number: number) => unknown): number {
	const startedAt = performance.now();
	for (let number = 0; number < count; number++) {
		getAnswer(number);
	}

	return Math.round((performance.now() - startedAt) * 1e4 / count) / 10;
}

function createIndex(hash: assignment.NameHash, hosts: number, services: number): assignment.CarrierIndex {
	const list = Array.from({length: hosts}, (_, index) => ({
		id: `host-${index}`, failureDomain: `domain-${index % FAILURE_DOMAINS}`, weight: 1,
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
		failureDomain: `domain-${index % FAILURE_DOMAINS}`,
		state: 'alive',
		draining: false,
		load: (index % 10) / 10,
	}]));
}

function collectGarbage(): void {
	// The flag applies only to contexts that are created after it is set.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}
