/**
What the proxy adds to a request, against the direct way to the same stand-ins in the same run, and the greatest rate that
one host holds on one core.
*/
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as os from 'node:os';
import * as core from 'wagtailroute-core';
import * as children from './children.ts';
import {openFixture} from './fixture.ts';

const BASE_PORT = 22_000;
const STANDIN_PORT = 22_500;
const STANDIN_PROCESSES = 2;
const STANDINS_PER_PROCESS = 3;
const RATE = 1250;
const SECONDS = 8;
const WARMUP_SECONDS = 3;
const RATES = [2000, 4000, 5000, 6000, 7000, 8000] as const;
const LOADERS = 2;

/**
The added time at p99 that the users accept, in milliseconds.
*/
const ADDED_P99_BOUND_MILLISECONDS = 5.6;

const ENTRY = {
	name: 'archive',
	owner: 'experiment',
	routes: [{pathPrefix: '/', class: 'read'}],
	limits: {concurrency: 5000, queueMilliseconds: 1000, timeoutMilliseconds: 10_000},
};

/**
One rate through one host.
*/
export type RateRow = {
	readonly offered: number;
	readonly answered: number;
	readonly p50: number;
	readonly p99: number;
	/**
	Processor time of the host, in shares of one core.
	*/
	readonly cores: number;
	readonly notWhole: number;
};

type Latencies = {readonly p50: number; readonly p99: number};
type Report = {
	readonly seconds: number;
	readonly sent: number;
	readonly record: {
		readonly latencies: Latencies;
		readonly endings: {readonly whole: number};
	};
};

/**
Runs the experiment.
*/
export async function runOverhead(program: string) {
	const fixture = await openFixture(program, [{
		id: 'host-a', roles: 'entry,control', failureDomain: 'a', port: BASE_PORT,
	}]);
	const [host] = fixture.hosts;
	await fixture.createEntry(ENTRY);
	const standins = await Promise.all(Array.from({length: STANDIN_PROCESSES}, async (_, index) => children.startStandinProcess({
		service: 'archive',
		count: STANDINS_PER_PROCESS,
		port: STANDIN_PORT + (index * STANDINS_PER_PROCESS),
		entryHosts: [host!.traffic],
	})));
	const mix = await writeMix();
	const direct = Array.from({length: STANDIN_PROCESSES * STANDINS_PER_PROCESS}, (_, index) => `127.0.0.1:${STANDIN_PORT + index}`);
	const proxied = [core.formatAddress(host!.traffic)];
	try {
		const rounds = [];
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop -- One measurement at a time.
			rounds.push(await compare(program, mix, direct, proxied));
		}

		const rates: RateRow[] = [];
		for (const rate of RATES) {
			// eslint-disable-next-line no-await-in-loop -- One measurement at a time.
			rates.push(await measureRate(program, mix, proxied, {rate, pid: host!.getPid()!}));
		}

		return {
			machine: {cores: os.availableParallelism(), model: os.cpus()[0]?.model},
			rate: RATE,
			rounds,
			isWithinBound: rounds.every(row => row.addedP99 < ADDED_P99_BOUND_MILLISECONDS),
			rates,
			residentMegabytes: children.getResidentBytes(host!.getPid()!) / 1e6,
		};
	} finally {
		await Promise.all(standins.map(async child => child.stop()));
		await fixture.close();
	}
}

async function writeMix(): Promise<string> {
	const file = path.join(await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-mix-')), 'mix.yaml');
	await fs.writeFile(file, 'requests:\n  - path: /archive/x\n    answer: any\n');
	return file;
}

async function compare(program: string, mix: string, direct: readonly string[], proxied: readonly string[]) {
	const directReport = await load(program, mix, direct, RATE);
	const proxiedReport = await load(program, mix, proxied, RATE);
	const left = directReport.record.latencies;
	const right = proxiedReport.record.latencies;
	return {
		directP50: left.p50,
		directP99: left.p99,
		proxiedP50: right.p50,
		proxiedP99: right.p99,
		addedP50: right.p50 - left.p50,
		addedP99: right.p99 - left.p99,
	};
}

async function load(program: string, mix: string, targets: readonly string[], rate: number): Promise<Report> {
	return await children.runLoad(program, [
		'--targets',
		targets.join(','),
		'--requests-per-second',
		String(rate),
		'--seconds',
		String(SECONDS),
		'--warmup-seconds',
		String(WARMUP_SECONDS),
		'--concurrency',
		'2000',
		'--mix',
		mix,
	]) as Report;
}

async function measureRate(
	program: string,
	mix: string,
	targets: readonly string[],
	{rate, pid}: {readonly rate: number; readonly pid: number},
): Promise<RateRow> {
	const usedBefore = children.getProcessorMilliseconds(pid);
	const startedAt = performance.now();
	const reports = await Promise.all(Array.from({length: LOADERS}, async () => load(program, mix, targets, rate / LOADERS)));
	const elapsed = performance.now() - startedAt;
	const used = children.getProcessorMilliseconds(pid) - usedBefore;
	const sent = reports.reduce((sum, report) => sum + report.sent, 0);
	const whole = reports.reduce((sum, report) => sum + report.record.endings.whole, 0);
	return {
		offered: rate,
		answered: whole / Math.max(...reports.map(report => report.seconds)),
		p50: Math.max(...reports.map(report => report.record.latencies.p50)),
		p99: Math.max(...reports.map(report => report.record.latencies.p99)),
		cores: used / elapsed,
		notWhole: sent - whole,
	};
}
