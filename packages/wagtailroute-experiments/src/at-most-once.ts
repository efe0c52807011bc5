/**
Keyed, non-idempotent requests that callers send again through other hosts, while answers are lost, entry hosts are killed
between claim and answer, and the leader of the records is killed or suspended. No key may run twice, and nobody may be told
`not-run` of what ran.
*/
import * as timers from 'node:timers/promises';
import * as utils from 'wagtailroute-utils';
import {type LoadVerdict, runBackgroundLoad} from './background-load.ts';
import * as children from './children.ts';
import {type Fixture, openFixture, planHosts} from './fixture.ts';
import {findLeader} from './groups.ts';
import {judgeKeyed, type KeyedVerdict, startKeyedCallers} from './keyed-callers.ts';
import {behave, countRunsByKey, readCounts} from './standin-counters.ts';

const BASE_PORT = 26_500;
const STANDIN_PORT = 26_700;
const CONTROLS = 3;
const ENTRIES = 5;
const DOMAINS = 3;
const UPSTREAMS = 8;
const SLOTS = 40;
const WORK_MILLISECONDS = 10;
const CALLERS = 40;
const RATE = 100;
const SECONDS = 70;
const SETTLE_MILLISECONDS = 4000;
const DOWN_MILLISECONDS = 1000;
const SUSPENDED_MILLISECONDS = 3000;
const PAUSE_MILLISECONDS = 1500;
const SEED = 23;

const ENTRY = {
	name: 'archive',
	owner: 'experiment',
	routes: [
		{pathPrefix: '/transfers', class: 'non-idempotent', requireIdempotencyKey: true},
		{pathPrefix: '/', class: 'read'},
	],
	limits: {concurrency: 400, queueMilliseconds: 1000, timeoutMilliseconds: 10_000},
};

const MIX = {
	requests: [
		{path: '/read', weight: 1},
		{
			method: 'POST', path: '/transfers', class: 'non-idempotent', key: true, resends: 5, bodyBytes: 1000, weight: 1,
		},
	],
};

/**
Answers that are lost after the run, and slow ones, in which a host can be killed between send and answer.
*/
const FAULTS = [
	{kind: 'reset', when: 'midway', share: 0.04},
	{kind: 'slow', delayMilliseconds: 400, share: 0.2},
] as const;

/**
What came of it.
*/
export type AtMostOnceResult = {
	readonly seed: number;
	readonly rounds: number;
	readonly keyed: KeyedVerdict;
	readonly load: LoadVerdict;
};

/**
Runs the experiment.
*/
export async function runAtMostOnce(program: string): Promise<AtMostOnceResult> {
	const fixture = await openFixture(program, planHosts({
		controls: CONTROLS, entries: ENTRIES, domains: DOMAINS, firstPort: BASE_PORT,
	}));
	await fixture.createEntry(ENTRY);
	const standins = await children.startStandinProcess({
		service: ENTRY.name,
		count: UPSTREAMS,
		port: STANDIN_PORT,
		entryHosts: fixture.hosts.slice(CONTROLS).map(host => host.traffic),
		slots: SLOTS,
		workMilliseconds: WORK_MILLISECONDS,
	});
	try {
		await timers.setTimeout(SETTLE_MILLISECONDS);
		await Promise.all(standins.addresses.map(async address => behave(address, FAULTS)));
		return await measure(program, fixture, standins);
	} finally {
		await standins.stop();
		await fixture.close();
	}
}

async function measure(program: string, fixture: Fixture, standins: children.StandinProcess): Promise<AtMostOnceResult> {
	const hosts = fixture.hosts.slice(CONTROLS).map(host => host.traffic);
	const loading = runBackgroundLoad({
		program,
		targets: hosts,
		service: ENTRY.name,
		standins: standins.addresses,
		requestsPerSecond: RATE,
		seconds: SECONDS,
		mix: MIX,
		seed: SEED,
	});
	const callers = startKeyedCallers({
		hosts,
		path: '/transfers',
		callers: CALLERS,
		prefix: 'caller',
		random: utils.createRandom(SEED),
		lostShare: 0.2,
	});
	const rounds = await breakAgainAndAgain(fixture);
	const requests = await callers.finish();
	const load = await loading;
	const counts = await Promise.all(standins.addresses.map(async address => readCounts(address)));
	return {
		seed: SEED, rounds, keyed: judgeKeyed(requests, countRunsByKey(counts)), load,
	};
}

async function breakAgainAndAgain(fixture: Fixture): Promise<number> {
	const random = utils.createRandom(SEED + 1);
	const endAt = performance.now() + (SECONDS * 1000) - (2 * SUSPENDED_MILLISECONDS);
	let round = 0;
	while (performance.now() < endAt) {
		round++;
		// eslint-disable-next-line no-await-in-loop -- One round after the other.
		await Promise.all([breakEntry(fixture, random), breakLeader(fixture, round)]);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(PAUSE_MILLISECONDS);
		console.error(`at-most-once: round ${round}`);
	}

	return round;
}

async function breakEntry(fixture: Fixture, random: utils.Random): Promise<void> {
	const host = fixture.hosts[CONTROLS + utils.pickIndex(random, ENTRIES)]!;
	await host.kill();
	await timers.setTimeout(DOWN_MILLISECONDS);
	await host.start();
}

/**
Suspends the leader in odd rounds, long enough that another one is elected, and kills it in even ones.
*/
async function breakLeader(fixture: Fixture, round: number): Promise<void> {
	const leader = await findLeader(fixture.hosts.slice(0, CONTROLS), 'records');
	if (leader === undefined) {
		return;
	}

	if (round % 2 === 1) {
		leader.suspend();
		await timers.setTimeout(SUSPENDED_MILLISECONDS);
		leader.resume();
		return;
	}

	await leader.kill();
	await timers.setTimeout(DOWN_MILLISECONDS);
	await leader.start();
}
