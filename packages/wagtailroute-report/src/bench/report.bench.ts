/**
Memory of the counters and microseconds for each recorded request, bounded by their ratio to a plain counter and to a log of
the requests, and bytes of what hosts hand to each other. Requests are seeded and their times simulated; only the
microseconds are of this machine.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as utils from 'wagtailroute-utils';
import * as report from '../index.ts';

/**
A row of the table.
*/
export type Row = {
	readonly measure: string;
	readonly figure: number;
	readonly unit: 'bytes' | 'us' | 'ratio';
	/**
	The figure must not be greater.
	*/
	readonly bound?: number;
};

const SEED = 7;
const SERVICES = 17;
const REQUESTS = 400_000;
const ROUNDS = 5;
const COLLECT_MILLISECONDS = 20;
const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 3_600_000;
const DAY_MILLISECONDS = 86_400_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const OBJECTIVE: report.Objective = {availability: 0.999, latencyMilliseconds: 300, windowDays: 28};

/**
Microseconds for one record, as a multiple of those of one addition to a map of plain counters.
*/
const RECORD_RATIO_BOUND = 15;

/**
Bytes after four weeks, as a multiple of those after the first three days: the buckets are there from the start, so only the
histograms and the rows of the services grow.
*/
const GROWTH_RATIO_BOUND = 1.2;

const SUMMARY_BYTES_BOUND = 3000;
const INCREMENT_BYTES_BOUND = 150;
const WHOLE_BYTES_BOUND = 30_000;

type Request = {
	readonly service: string;
	readonly result: report.RequestResult;
};

/**
Runs the bench. `broken` names the bounds that do not hold.
*/
export async function run(): Promise<{title: string; rows: readonly Row[]; broken: readonly string[]}> {
	const requests = createRequests();
	const rows = [...measureTime(requests), ...await measureMemory(requests), ...measureMessages(requests)];
	const broken = rows
		.filter(({figure, bound}) => bound !== undefined && figure > bound)
		.map(({measure, figure, bound}) => `${measure}: ${figure} is over ${bound}`);
	return {title: `Burn report: ${SERVICES} services a host, objective over ${OBJECTIVE.windowDays} days`, rows, broken};
}

function createRequests(): readonly Request[] {
	const random = utils.createRandom(SEED);
	return Array.from({length: 4096}, () => ({
		service: `service-${utils.pickIndex(random, SERVICES)}`,
		result: {
			outcome: 'ran',
			status: random() < 0.01 ? 500 : 200,
			milliseconds: 2 * Math.exp(6 * random()),
			isCancelled: false,
			isFleetMade: false,
		},
	}));
}

function measureTime(requests: readonly Request[]): readonly Row[] {
	const record = Math.min(...Array.from({length: ROUNDS}, () => timeRecords(requests)));
	const plain = Math.min(...Array.from({length: ROUNDS}, () => timePlainCounters(requests)));
	return [
		{measure: 'record of one request', figure: round(record), unit: 'us'},
		{measure: 'addition to a map of plain counters', figure: round(plain), unit: 'us'},
		{
			measure: 'record to addition', figure: round(record / plain), unit: 'ratio', bound: RECORD_RATIO_BOUND,
		},
	];
}

function timeRecords(requests: readonly Request[]): number {
	const counters = report.createBurnCounters();
	return time(index => {
		const {service, result} = requests[index % requests.length]!;
		counters.record(service, result, OBJECTIVE, index);
	});
}

function timePlainCounters(requests: readonly Request[]): number {
	const counters = new Map<string, number[]>();
	return time(index => {
		const {service, result} = requests[index % requests.length]!;
		const counts = counters.get(service) ?? report.VERDICTS.map(() => 0);
		counts[report.VERDICTS.indexOf(report.getVerdict(result, OBJECTIVE))]! += 1;
		counters.set(service, counts);
	});
}

function time(work: (index: number) => void): number {
	const begun = performance.now();
	for (let index = 0; index < REQUESTS; index++) {
		work(index);
	}

	return (performance.now() - begun) * MICROSECONDS_PER_MILLISECOND / REQUESTS;
}

function fill(requests: readonly Request[], days: number): report.BurnCounters {
	const counters = report.createBurnCounters();
	for (let minute = 0; minute < days * DAY_MILLISECONDS / MINUTE_MILLISECONDS; minute++) {
		for (let each = 0; each < SERVICES; each++) {
			const {result} = requests[((minute * SERVICES) + each) % requests.length]!;
			counters.record(`service-${each}`, result, OBJECTIVE, minute * MINUTE_MILLISECONDS);
		}
	}

	return counters;
}

async function measureMemory(requests: readonly Request[]): Promise<readonly Row[]> {
	const short = await measureBytes(() => fill(requests, 3));
	const long = await measureBytes(() => fill(requests, OBJECTIVE.windowDays));
	return [
		{measure: 'memory after 3 days', figure: short, unit: 'bytes'},
		{measure: 'memory after 28 days', figure: long, unit: 'bytes'},
		{
			measure: 'memory after 28 days to 3 days', figure: round(long / short), unit: 'ratio', bound: GROWTH_RATIO_BOUND,
		},
	];
}

// Several at once, so that the noise of the process matters less; and what is freed when they are dropped, since what was in
// use before may hold garbage of earlier measures.
async function measureBytes(create: () => report.BurnCounters): Promise<number> {
	const kept = Array.from({length: ROUNDS}, create);
	const held = await getUsedBytes();
	kept.length = 0;
	return Math.round((held - await getUsedBytes()) / ROUNDS);
}

/**
Returns the bytes in use. Typed arrays live outside the heap and are given back some time after they were collected.
*/
async function getUsedBytes(): Promise<number> {
	v8.setFlagsFromString('--expose-gc');
	const collect = vm.runInNewContext('gc') as () => void;
	for (let turn = 0; turn < ROUNDS; turn++) {
		collect();
		// eslint-disable-next-line no-await-in-loop -- The collector needs the time between.
		await timers.setTimeout(COLLECT_MILLISECONDS);
	}

	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

function measureMessages(requests: readonly Request[]): readonly Row[] {
	const counters = fill(requests, OBJECTIVE.windowDays);
	const now = OBJECTIVE.windowDays * DAY_MILLISECONDS;
	const getBytes = (value: unknown) => Math.round(JSON.stringify(value).length / SERVICES);
	return [
		{
			measure: 'summary for a report, each service', figure: getBytes(counters.summarize(HOUR_MILLISECONDS, now)), unit: 'bytes', bound: SUMMARY_BYTES_BOUND,
		},
		{
			measure: 'closed five minutes to one holder, each service', figure: getBytes(counters.copy(now, counters.getBucket(now) - 1)), unit: 'bytes', bound: INCREMENT_BYTES_BOUND,
		},
		{
			measure: 'whole copy to a new holder, each service', figure: getBytes(counters.copy(now)), unit: 'bytes', bound: WHOLE_BYTES_BOUND,
		},
		{measure: 'merge of one summary, each service', figure: round(timeMerge(counters.summarize(HOUR_MILLISECONDS, now))), unit: 'us'},
	];
}

function timeMerge(summary: report.Summary): number {
	const merging = report.createMerging();
	const hosts = 200;
	const begun = performance.now();
	for (let host = 0; host < hosts; host++) {
		merging.add(summary);
	}

	return (performance.now() - begun) * MICROSECONDS_PER_MILLISECOND / hosts / SERVICES;
}

function round(figure: number): number {
	return Number(figure.toPrecision(3));
}
