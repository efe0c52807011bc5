/**
Graceful shutdown under load with long uploads and slow answers: backend servers drain, then each host in turn is stopped by
SIGTERM and started again, then the whole fleet is stopped. No request may be cut off or told wrongly, and a backend server
that drains gets no new request after the first seconds.
*/
import * as timers from 'node:timers/promises';
import * as utils from 'wagtailroute-utils';
import {type LoadVerdict, runBackgroundLoad} from './background-load.ts';
import * as children from './children.ts';
import {openFixture, type Fixture, planHosts} from './fixture.ts';
import {waitForVoters} from './groups.ts';
import type * as processes from './processes.ts';
import {behave, readCounts} from './standin-counters.ts';
import {startUploads, type UploadsVerdict} from './uploads.ts';

const BASE_PORT = 26_000;
const STANDIN_PORT = 26_400;
const CONTROLS = 3;
const ENTRIES = 5;
const DOMAINS = 3;
const UPSTREAMS = 8;
const SLOTS = 40;
const WORK_MILLISECONDS = 10;
const RATE = 180;
const LOAD_SECONDS = 105;
const SETTLE_MILLISECONDS = 4000;
const REPAIR_MILLISECONDS = 20_000;
const DRAINED = [1, 4, 6];
const UPLOADERS = 8;
const UPLOAD_MILLISECONDS = 8000;
const SEED = 11;

const ENTRY = {
	name: 'archive',
	owner: 'experiment',
	routes: [
		{pathPrefix: '/uploads', class: 'non-idempotent'},
		{pathPrefix: '/', class: 'read'},
	],
	limits: {concurrency: 400, queueMilliseconds: 1000, timeoutMilliseconds: 30_000},
};

const MIX = {
	requests: [
		{path: '/read', weight: 6},
		{
			method: 'GET', path: '/long', answer: 'bytes', answerBytes: 1_048_576, weight: 1,
		},
		{
			method: 'POST', path: '/uploads', class: 'non-idempotent', bodyBytes: 262_144, weight: 1,
		},
	],
};

/**
Every answer in twenty takes seconds, so that each shutdown meets some.
*/
const SLOW = {kind: 'slow', delayMilliseconds: 3000, share: 0.05} as const;

/**
What came of it.
*/
export type DrainResult = {
	readonly load: LoadVerdict;
	readonly uploads: UploadsVerdict;
	/**
	Times in milliseconds from the start of a backend server's drain to the last new request it got; null for none.
	*/
	readonly lastWorkAfterDrain: ReadonlyArray<number | null>;
	/**
	New requests that draining backend servers got, all told.
	*/
	readonly startedWhileDraining: number;
	readonly abortedAtStandins: number;
	/**
	Exit codes of the hosts other than 0.
	*/
	readonly badExits: readonly string[];
	readonly stops: number;
	readonly stopMilliseconds: {readonly longest: number};
};

type Run = {
	readonly fixture: Fixture;
	readonly standins: children.StandinProcess;
	readonly badExits: string[];
	longestStop: number;
	stops: number;
};

/**
Runs the experiment.
*/
export async function runDrain(program: string): Promise<DrainResult> {
	const fixture = await openFixture(program, planHosts({
		controls: CONTROLS, entries: ENTRIES, domains: DOMAINS, firstPort: BASE_PORT,
	}));
	const entries = fixture.hosts.slice(CONTROLS);
	await fixture.createEntry(ENTRY);
	const standins = await children.startStandinProcess({
		service: ENTRY.name,
		count: UPSTREAMS,
		port: STANDIN_PORT,
		entryHosts: entries.map(host => host.traffic),
		slots: SLOTS,
		workMilliseconds: WORK_MILLISECONDS,
	});
	const run: Run = {
		fixture, standins, badExits: [], longestStop: 0, stops: 0,
	};
	try {
		await timers.setTimeout(SETTLE_MILLISECONDS);
		await Promise.all(standins.addresses.map(async address => behave(address, [SLOW])));
		return await measure(program, run);
	} finally {
		await standins.stop();
		await fixture.close();
	}
}

async function measure(program: string, run: Run): Promise<DrainResult> {
	const hosts = run.fixture.hosts.slice(CONTROLS).map(host => host.traffic);
	const loading = runBackgroundLoad({
		program,
		targets: hosts,
		service: ENTRY.name,
		standins: run.standins.addresses,
		requestsPerSecond: RATE,
		seconds: LOAD_SECONDS,
		mix: MIX,
		seed: SEED,
	});
	const uploads = startUploads({
		hosts,
		service: ENTRY.name,
		path: '/uploads',
		uploaders: UPLOADERS,
		milliseconds: UPLOAD_MILLISECONDS,
		random: utils.createRandom(SEED),
	});
	await timers.setTimeout(SETTLE_MILLISECONDS);
	await drainStandins(run.standins);
	await restartEach(run);
	// The uploaders end first: with no host left there is nobody they could go to.
	const stopping = stopAll(run);
	const uploaded = await uploads.finish();
	await stopping;
	const load = await loading;
	const counts = await Promise.all(run.standins.addresses.map(async address => readCounts(address)));
	return {
		load,
		uploads: uploaded,
		lastWorkAfterDrain: DRAINED.map(index => counts[index]!.lastWorkAfterDrainMilliseconds),
		startedWhileDraining: counts.reduce((sum, {events}) => sum + events.startedWhileDraining, 0),
		abortedAtStandins: counts.reduce((sum, {events}) => sum + events.aborted, 0),
		badExits: run.badExits,
		stops: run.stops,
		stopMilliseconds: {longest: run.longestStop},
	};
}

async function drainStandins(standins: children.StandinProcess): Promise<void> {
	for (const index of DRAINED) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await standins.command('drain', index);
		// eslint-disable-next-line no-await-in-loop -- Its counters are read at the end, so it must listen again.
		await standins.command('start', index);
		console.error(`drain: ${index} drained`);
	}
}

async function restartEach(run: Run): Promise<void> {
	const controls = run.fixture.hosts.slice(0, CONTROLS);
	for (const host of run.fixture.hosts) {
		// eslint-disable-next-line no-await-in-loop -- Rolling.
		await stop(run, host);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await host.start();
		// eslint-disable-next-line no-await-in-loop -- See above.
		await waitForVoters(controls, REPAIR_MILLISECONDS);
		console.error(`drain: ${host.plan.id} restarted`);
	}
}

async function stopAll(run: Run): Promise<void> {
	await Promise.all(run.fixture.hosts.map(async host => stop(run, host)));
}

async function stop(run: Run, host: processes.HostProcess): Promise<void> {
	const startedAt = performance.now();
	const code = await host.stop();
	run.stops++;
	run.longestStop = Math.max(run.longestStop, performance.now() - startedAt);
	if (code !== 0) {
		run.badExits.push(`${host.plan.id}: ${code}`);
	}
}
