/**
Backend servers that go gray one after the other behind a running fleet under load: how long until each is ejected, what
callers saw meanwhile, and whether healthy ones were ejected.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import * as children from './children.ts';
import {
	type Fixture,
	openFixture,
	TOKEN,
	planHosts,
} from './fixture.ts';
import * as operators from './operators.ts';

const BASE_PORT = 24_000;
const STANDIN_PORT = 24_500;
const CONTROLS = 3;
const ENTRIES = 8;
const DOMAINS = 3;
const UPSTREAMS = 20;
const SLOTS = 6;
const WORK_MILLISECONDS = 20;
const RATE = 600;
const SETTLE_SECONDS = 12;
const FAULT_SECONDS = 15;
const POLL_MILLISECONDS = 20;

/**
Faults in the order in which they are shown, each by another upstream.
*/
const FAULTS: ReadonlyArray<{readonly title: string; readonly behaviours: readonly unknown[]}> = [
	{title: 'none', behaviours: []},
	{title: 'fails 100%', behaviours: [{kind: 'fail'}]},
	{title: 'fails 50%', behaviours: [{kind: 'fail', share: 0.5}]},
	{title: 'fails 20%', behaviours: [{kind: 'fail', share: 0.2}]},
	{title: 'fails 5%', behaviours: [{kind: 'fail', share: 0.05}]},
	{title: 'slow 20x', behaviours: [{kind: 'slow', factor: 20}]},
	{title: 'slow 5x', behaviours: [{kind: 'slow', factor: 5}]},
	{title: 'slow 2x', behaviours: [{kind: 'slow', factor: 2}]},
	{title: 'half-open', behaviours: [{kind: 'half-open'}]},
	{title: 'resets', behaviours: [{kind: 'reset'}]},
];

const ENTRY = {
	name: 'quoting',
	owner: 'experiment',
	routes: [{pathPrefix: '/', class: 'read'}],
	limits: {concurrency: 120, queueMilliseconds: 500, timeoutMilliseconds: 2000},
	healthyFloor: '70%',
};

/**
One fault and what came of it.
*/
export type GrayRow = {
	readonly fault: string;
	/**
	Milliseconds from the fault to the first host that had the upstream ejected; absent when none had.
	*/
	readonly ejectedAfter?: number;
	/**
	Milliseconds until all carriers had.
	*/
	readonly ejectedEverywhereAfter?: number;
	readonly falseEjections: number;
	readonly sent: number;
	/**
	Requests that did not get a whole answer of the backend server with a status below 500.
	*/
	readonly harmed: number;
	/**
	Answers by status.
	*/
	readonly statuses: Readonly<Record<string, number>>;
	readonly p50: number;
	readonly p99: number;
};

type Report = {
	readonly sent: number;
	readonly record: {
		readonly statuses: Readonly<Record<string, number>>;
		readonly latencies: {readonly p50: number; readonly p99: number};
	};
};

/**
Runs the experiment. The environment variable `DETECTION` sets the operating point, `FAULTS` a part of the faults' titles.
*/
export async function runGray(program: string): Promise<readonly GrayRow[]> {
	const detection = process.env.DETECTION ?? 'fast';
	const filter = process.env.FAULTS ?? '';
	const rows: GrayRow[] = [];
	const chosen = FAULTS.filter(({title}) => title.includes(filter));
	for (const fault of chosen) {
		// eslint-disable-next-line no-await-in-loop -- One fault at a time, each on a fleet of its own.
		const row = await runFault(program, detection, fault);
		console.error(`gray: ${JSON.stringify(row)}`);
		rows.push(row);
	}

	return rows;
}

async function runFault(
	program: string,
	detection: string,
	fault: {readonly title: string; readonly behaviours: readonly unknown[]},
): Promise<GrayRow> {
	const fixture = await openFixture(program, planHosts({
		controls: CONTROLS, entries: ENTRIES, domains: DOMAINS, firstPort: BASE_PORT,
	}));
	const entries = fixture.hosts.slice(CONTROLS);
	await fixture.createEntry({...ENTRY, detection});
	const standins = await children.startStandinProcess({
		service: ENTRY.name,
		count: UPSTREAMS,
		port: STANDIN_PORT,
		entryHosts: entries.map(host => host.traffic),
		slots: SLOTS,
		workMilliseconds: WORK_MILLISECONDS,
	});
	try {
		return await measure(program, fixture, fault);
	} finally {
		await standins.stop();
		await fixture.close();
	}
}

async function measure(
	program: string,
	fixture: Fixture,
	fault: {readonly title: string; readonly behaviours: readonly unknown[]},
): Promise<GrayRow> {
	const mix = path.join(await fs.mkdtemp(path.join(os.tmpdir(), 'wagtailroute-mix-')), 'mix.yaml');
	await fs.writeFile(mix, 'requests:\n  - path: /quote\n    answer: any\n');
	const report = children.runLoad(program, [
		'--targets',
		core.formatAddress(fixture.hosts[CONTROLS]!.traffic),
		'--service',
		ENTRY.name,
		'--requests-per-second',
		String(RATE),
		'--seconds',
		String(SETTLE_SECONDS + FAULT_SECONDS),
		'--warmup-seconds',
		String(SETTLE_SECONDS),
		'--mix',
		mix,
	]);
	await timers.setTimeout(SETTLE_SECONDS * 1000);
	const startedAt = performance.now();
	await undici.request(`http://127.0.0.1:${STANDIN_PORT}/.standin/behaviour`, {
		method: 'PUT',
		body: JSON.stringify(fault.behaviours),
		headers: {'content-type': 'application/json'},
	});
	const watched = await watch(fixture, startedAt);
	const {sent, record} = await report as unknown as Report;
	const good = Object.entries(record.statuses).filter(([status]) => Number(status) < 500).reduce((sum, [, count]) => sum + count, 0);
	return {
		fault: fault.title,
		...watched,
		sent,
		harmed: sent - good,
		statuses: record.statuses,
		p50: record.latencies.p50,
		p99: record.latencies.p99,
	};
}

type UpstreamsBody = {
	readonly carriers: readonly string[];
	readonly upstreams: ReadonlyArray<{readonly id: string; readonly admission: string}>;
};

async function watch(fixture: Fixture, startedAt: number) {
	const culprit = `${ENTRY.name}-${STANDIN_PORT}`;
	const wronged = new Set<string>();
	let ejectedAfter: number | undefined;
	let ejectedEverywhereAfter: number | undefined;
	while (performance.now() - startedAt < FAULT_SECONDS * 1000) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		const bodies = await Promise.all(fixture.hosts.slice(CONTROLS).map(async host => readUpstreams(host.admin)));
		const carriers = bodies[0]?.carriers ?? [];
		const views = bodies.filter((_, index) => carriers.includes(`entry-${index}`));
		const ejecting = views.filter(body => body?.upstreams.some(({id, admission}) => id === culprit && admission !== 'in'));
		for (const {id, admission} of views.flatMap(body => body?.upstreams ?? [])) {
			if (admission !== 'in' && id !== culprit) {
				wronged.add(id);
			}
		}

		ejectedAfter ??= ejecting.length > 0 ? performance.now() - startedAt : undefined;
		ejectedEverywhereAfter ??= ejecting.length === views.length && views.length > 0 ? performance.now() - startedAt : undefined;
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_MILLISECONDS);
	}

	return {ejectedAfter, ejectedEverywhereAfter, falseEjections: wronged.size};
}

async function readUpstreams(admin: core.Address): Promise<UpstreamsBody | undefined> {
	const answer = await operators.ask(admin, TOKEN, `/services/${ENTRY.name}/upstreams`);
	return answer.status === 200 ? answer.body as UpstreamsBody : undefined;
}
