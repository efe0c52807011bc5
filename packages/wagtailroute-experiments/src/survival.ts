/**
Five control and eight entry hosts as processes. In each round a control host is killed, its data folder wiped, and as soon
as it votes again another one is killed; an entry host is killed and started again beside. Operators change entries all the
while. No accepted change may be lost, and each must come into force on all running hosts.
*/
import * as crypto from 'node:crypto';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import * as utils from 'wagtailroute-utils';
import {
	type Fixture,
	openFixture,
	TOKEN,
	planHosts,
} from './fixture.ts';
import {waitForVoters} from './groups.ts';
import * as operators from './operators.ts';
import type * as processes from './processes.ts';

const BASE_PORT = 23_000;
const CONTROLS = 5;
const ENTRIES = 8;
const DOMAINS = 4;
const DEFAULT_ROUNDS = 50;
const NAMES = 10;
const CHANGE_PAUSE_MILLISECONDS = 50;
const IN_FORCE_MILLISECONDS = 20_000;
const REPAIR_MILLISECONDS = 30_000;
const DOWN_MILLISECONDS = 500;
const SEED = 20_261_202;

/**
The last accepted change of an entry.
*/
type Accepted = {readonly revision: number; readonly owner: string};

type Run = {
	readonly fixture: Fixture;
	readonly random: utils.Random;
	readonly accepted: Map<string, Accepted>;
	readonly inForce: hdr.Histogram;
	readonly answered: hdr.Histogram;
	readonly tally: {
		accepted: number; conflicts: number; resent: number; slow: number; lost: number; repairsLate: number;
	};
	isOver: boolean;
};

/**
Runs the experiment; the environment variable `ROUNDS` sets the number of rounds.
*/
export async function runSurvival(program: string) {
	const rounds = Number(process.env.ROUNDS ?? DEFAULT_ROUNDS);
	const run = await open(program);
	const operator = operate(run);
	for (let round = 1; round <= rounds; round++) {
		// eslint-disable-next-line no-await-in-loop -- One round after the other.
		await breakOnce(run);
		console.error(`survival: round ${round}, accepted ${run.tally.accepted}, resent ${run.tally.resent}, repairs late ${run.tally.repairsLate}`);
	}

	run.isOver = true;
	await operator;
	const checks = await check(run);
	await run.fixture.close();
	return {
		rounds,
		seed: SEED,
		...run.tally,
		...checks,
		inForceMilliseconds: describe(run.inForce),
		answeredMilliseconds: describe(run.answered),
	};
}

async function open(program: string): Promise<Run> {
	const fixture = await openFixture(program, planHosts({
		controls: CONTROLS, entries: ENTRIES, domains: DOMAINS, firstPort: BASE_PORT,
	}));
	return {
		fixture,
		random: utils.createRandom(SEED),
		accepted: new Map(),
		inForce: hdr.build(),
		answered: hdr.build(),
		tally: {
			accepted: 0, conflicts: 0, resent: 0, slow: 0, lost: 0, repairsLate: 0,
		},
		isOver: false,
	};
}

function getRunning(run: Run): readonly processes.HostProcess[] {
	return run.fixture.hosts.filter(host => host.isRunning());
}

function pick<Item>(run: Run, items: readonly Item[]): Item {
	return items[utils.pickIndex(run.random, items.length)]!;
}

async function operate(run: Run): Promise<void> {
	for (let number = 1; !run.isOver; number++) {
		// eslint-disable-next-line no-await-in-loop -- One change after the other.
		await changeOnce(run, number);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(CHANGE_PAUSE_MILLISECONDS);
	}
}

async function changeOnce(run: Run, number: number): Promise<void> {
	const name = `service-${number % NAMES}`;
	const expected = run.accepted.get(name)?.revision ?? 0;
	const entry = {name, owner: `owner-${number}`, routes: [{pathPrefix: `/${name}`, class: 'read'}]};
	const startedAt = performance.now();
	const result = await sendUntilAnswered(run, {entry, expected, changeId: crypto.randomUUID()});
	if (result.status >= 300) {
		run.tally.conflicts++;
		console.error(`survival: change of ${name} from ${expected} refused with ${result.status}, present revision ${result.revision}`);
		return;
	}

	run.tally.accepted++;
	run.accepted.set(name, {revision: result.revision, owner: entry.owner});
	run.answered.recordValue(performance.now() - startedAt);
	const admins = getRunning(run).map(host => host.admin);
	const milliseconds = await operators.waitForRevision(admins, result.revision, IN_FORCE_MILLISECONDS);
	if (milliseconds === undefined) {
		run.tally.slow++;
		return;
	}

	run.inForce.recordValue(milliseconds);
}

/**
Sends a change, with the same Change-Id, to one host after the other until one gives a definite answer.
*/
async function sendUntilAnswered(
	run: Run,
	change: {readonly entry: operators.EntryDocument; readonly expected: number; readonly changeId: string},
): Promise<operators.ChangeResult> {
	for (;;) {
		try {
			// eslint-disable-next-line no-await-in-loop -- The same change again.
			const result = await operators.sendChange(pick(run, getRunning(run)).admin, TOKEN, change);
			if (result.status < 500) {
				return result;
			}
		} catch {
			// The host was killed while it was asked: the change may have been taken, so the same Change-Id asks again.
		}

		run.tally.resent++;
	}
}

async function breakOnce(run: Run): Promise<void> {
	const controls = run.fixture.hosts.slice(0, CONTROLS);
	const entries = run.fixture.hosts.slice(CONTROLS);
	const wiped = pick(run, controls);
	const entry = pick(run, entries);
	await Promise.all([wiped.kill(), entry.kill()]);
	await wiped.wipe();
	await timers.setTimeout(DOWN_MILLISECONDS);
	await Promise.all([wiped.start(), entry.start()]);
	if (!await waitForVoters(controls, REPAIR_MILLISECONDS)) {
		run.tally.repairsLate++;
	}

	// The second loss, right after the first repair.
	const second = pick(run, controls.filter(host => host !== wiped));
	await second.kill();
	await timers.setTimeout(DOWN_MILLISECONDS);
	await second.start();
	if (!await waitForVoters(controls, REPAIR_MILLISECONDS)) {
		run.tally.repairsLate++;
	}
}

/**
Compares the entries in force on every host with the accepted changes.
*/
async function check(run: Run): Promise<{lost: number; hostsChecked: number}> {
	let lost = 0;
	let hostsChecked = 0;
	for (const host of getRunning(run)) {
		// eslint-disable-next-line no-await-in-loop -- One host after the other.
		const answer = await operators.ask(host.admin, TOKEN, '/catalogue');
		const {entries} = answer.body as {entries: ReadonlyArray<{name: string; revision: number; owner: string}>};
		hostsChecked++;
		for (const [name, accepted] of run.accepted) {
			const present = entries.find(entry => entry.name === name);
			if (present?.owner !== accepted.owner || present.revision !== accepted.revision) {
				lost++;
			}
		}
	}

	return {lost, hostsChecked};
}

function describe(histogram: hdr.Histogram) {
	return {
		count: histogram.totalCount,
		p50: histogram.getValueAtPercentile(50),
		p99: histogram.getValueAtPercentile(99),
		max: histogram.maxValue,
	};
}
