/**
Tests of the control group of a single host with a real disk.
*/
import * as buffer from 'node:buffer';
import * as files from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as zlib from 'node:zlib';
import test, {type ExecutionContext} from 'ava';
import type * as generations from 'wagtailroute-generations';
import type * as telemetry from 'wagtailroute-telemetry';
import * as utils from 'wagtailroute-utils';
import {type ControlGroup, type ControlGroupOptions, startControlGroup} from '../../group.ts';
import type {GroupMessage} from '../../messages.ts';
import * as fixture from './fixture.ts';

const POLL_MILLISECONDS = 10;
const MAX_WAIT_MILLISECONDS = 20_000;
/**
Longer than a replica takes to notice that its store has failed and to be opened again.
*/
const STABLE_MILLISECONDS = 3000;
const VERSION = 7;

const createPut = (version: number): generations.GenerationCommand => ({
	name: 'put',
	stored: {
		generation: {
			version,
			routes: [],
			services: [],
			limits: {
				headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
			},
		},
		document: `document ${version}`,
	},
});

const createRetire = (state: generations.RetirementState): generations.GenerationCommand => ({name: 'retire', retirement: {upstream: 'u', state}});

type StartedGroup = {
	readonly group: ControlGroup;
	/**
	Returns how many unexpected errors have been counted.
	*/
	readonly countDefects: () => Promise<number>;
	/**
	Returns how many replicas have been opened.
	*/
	readonly countOpenings: () => number;
};

function createFolder(t: ExecutionContext): string {
	const dataFolder = files.mkdtempSync(path.join(os.tmpdir(), 'wagtailroute-group-'));
	t.teardown(() => {
		files.rmSync(dataFolder, {recursive: true, force: true});
	});
	return dataFolder;
}

function start(t: ExecutionContext, dataFolder: string, replaced: Partial<ControlGroupOptions> = {}): StartedGroup {
	const self = {id: 'c', address: {ip: '127.0.0.1', port: 1}, failureDomain: 'a'};
	let openings = 0;
	const log: telemetry.Log = {
		error: () => undefined,
		warn: () => undefined,
		info(sentence) {
			openings += sentence === 'The replica is open.' ? 1 : 0;
		},
		debug: () => undefined,
	};
	const context = {
		...fixture.createFakeContext(), now: () => performance.now(), schedule: utils.schedule, repeat: utils.repeat, logs: () => log,
	};
	const group = startControlGroup(context, {
		settings: {
			hostId: self.id,
			failureDomain: self.failureDomain,
			seeds: [self],
			linkAddress: self.address,
			dataFolder,
			isFirstStart: true,
			budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000},
			floor: 0,
			allotments: fixture.ALLOTMENTS,
		},
		send: () => undefined,
		listLinkedHosts: () => [],
		listSeeds: () => [],
		onGeneration: () => undefined,
		onRetired: () => undefined,
		...replaced,
	});
	t.teardown(group.close);
	return {
		group,
		async countDefects() {
			const text = await context.metrics.getText();
			return Number(/^wagtailroute_defects_total\{.*\} (?<count>\d+)$/mv.exec(text)?.groups?.count ?? 0);
		},
		countOpenings: () => openings,
	};
}

/**
Returns whether the condition holds in time.
*/
async function waitFor(condition: () => boolean | Promise<boolean>): Promise<boolean> {
	const end = performance.now() + MAX_WAIT_MILLISECONDS;
	// eslint-disable-next-line no-await-in-loop -- Polls.
	while (!await condition() && performance.now() < end) {
		// eslint-disable-next-line no-await-in-loop -- Polls.
		await timers.setTimeout(POLL_MILLISECONDS);
	}

	return condition();
}

async function startLeader(t: ExecutionContext, dataFolder = createFolder(t)): Promise<ControlGroup> {
	const {group} = start(t, dataFolder);
	t.true(await waitFor(() => isLeading(group)));
	return group;
}

const isLeading = (group: ControlGroup) => group.getStatus()?.role === 'leader';

type ResendCase = {
	readonly name: string;
	readonly commands: readonly generations.GenerationCommand[];
	readonly expectedEntries: number;
};

const RESEND_CASES: readonly ResendCase[] = [
	{name: 'the same generation', commands: [createPut(2), createPut(2), createPut(2)], expectedEntries: 1},
	{name: 'an older generation', commands: [createPut(4), createPut(3)], expectedEntries: 1},
	{name: 'a newer generation', commands: [createPut(5), createPut(6)], expectedEntries: 2},
	{name: 'the same retirement', commands: [createRetire('draining'), createRetire('draining')], expectedEntries: 1},
	{name: 'a retirement that goes on', commands: [createRetire('draining'), createRetire('gone'), createRetire('draining')], expectedEntries: 2},
];

test('a command that is sent again while it is pending is not appended again', async t => {
	// Guards against a leader that gets slower with each resend: control hosts and operators send a large catalogue again while it is still being replicated.
	const group = await startLeader(t);
	// A new leader appends entries of its own, which are applied before this command.
	await group.propose(createPut(1));
	for (const {name, commands, expectedEntries} of RESEND_CASES) {
		const before = group.getStatus()!.applied;
		const answers = await Promise.all(commands.map(async command => group.propose(command))); // eslint-disable-line no-await-in-loop -- One case after the other.
		t.deepEqual(new Set(answers.map(({kind}) => kind)), new Set(['applied']), name);
		t.is(group.getStatus()!.applied - before, expectedEntries, name);
	}
});

type Fault = {
	/**
	What is given to the group in place of the usual.
	*/
	readonly replaced?: Partial<ControlGroupOptions>;
	readonly hasOccurred: (started: StartedGroup) => boolean | Promise<boolean>;
	readonly repair?: () => void;
};

type DefectCase = {
	readonly name: string;
	/**
	Called while the group is not open and its folder holds a generation.
	*/
	readonly arrange: (t: ExecutionContext, dataFolder: string) => Fault | Promise<Fault>;
	readonly expectedDefects: number;
	readonly expectedOpenings: number;
};

const formatRecord = (value: unknown): string => {
	const json = JSON.stringify(value);
	const toHex = (number: number) => number.toString(16).padStart(8, '0');
	return `${toHex(zlib.crc32(json))} ${toHex(buffer.Buffer.byteLength(json))} ${json}\n`;
};

/**
Creates a function that throws at its first call.
*/
function createFailing<Value>(value: Value): {readonly call: () => Value; readonly hasFailed: () => boolean} {
	let calls = 0;
	return {
		call() {
			calls++;
			if (calls === 1) {
				throw new Error('Not now.');
			}

			return value;
		},
		hasFailed: () => calls > 0,
	};
}

/**
Returns a message of an earlier leader, which the replica answers with its own term.
*/
function createOutdatedMessage(group: ControlGroup): GroupMessage {
	return {
		kind: 'append',
		group: 'generations',
		from: 'd~1',
		to: group.getStatus()!.self,
		term: 0,
		previousIndex: 0,
		previousTerm: 0,
		entries: [],
		commit: 0,
		round: 0,
	};
}

/**
Replaces the file of the replica by one with this state alone, until the repair.
*/
function replaceState(dataFolder: string, change: (state: Readonly<Record<string, unknown>>) => unknown): Fault {
	const file = path.join(dataFolder, 'generations', 'replica.records');
	const stored = files.readFileSync(file, 'utf8');
	const [first = ''] = stored.split('\n', 1);
	files.writeFileSync(file, formatRecord(change(JSON.parse(first.slice(first.indexOf('{'))) as Readonly<Record<string, unknown>>)));
	return {
		hasOccurred: async ({countDefects}) => await countDefects() > 0,
		repair() {
			files.writeFileSync(file, stored);
		},
	};
}

const DEFECT_CASES: readonly DefectCase[] = [
	{
		name: 'whose stored state has another form',
		arrange: (_t, dataFolder) => replaceState(dataFolder, () => ({})),
		expectedDefects: 1,
		expectedOpenings: 1,
	},
	{
		name: 'whose stored snapshot has another form',
		arrange: (_t, dataFolder) => replaceState(dataFolder, state => ({...state, snapshot: {...state.snapshot as object, index: 1, state: {}}})),
		expectedDefects: 1,
		expectedOpenings: 1,
	},
	{
		name: 'that can not announce itself',
		arrange() {
			const failing = createFailing([]);
			return {replaced: {listSeeds: failing.call}, hasOccurred: failing.hasFailed};
		},
		expectedDefects: 1,
		expectedOpenings: 1,
	},
	{
		name: 'whose members can not be reconciled',
		arrange() {
			const failing = createFailing([]);
			return {replaced: {listLinkedHosts: failing.call}, hasOccurred: failing.hasFailed};
		},
		expectedDefects: 1,
		expectedOpenings: 2,
	},
	{
		name: 'that can not answer a message',
		arrange() {
			const failing = createFailing(undefined);
			return {
				replaced: {send: failing.call},
				hasOccurred({group}) {
					if (isLeading(group)) {
						group.receive(createOutdatedMessage(group));
					}

					return failing.hasFailed();
				},
			};
		},
		expectedDefects: 1,
		expectedOpenings: 2,
	},
	{
		name: 'whose disk fails at a write and at the close of the file',
		async arrange(t, dataFolder) {
			const failures = await failNextSync(t, dataFolder);
			return {hasOccurred: () => failures.length === 2};
		},
		expectedDefects: 0,
		expectedOpenings: 2,
	},
];

/**
Has the next sync of a file's data fail, and then the close of this file. Returns the failed operations.
*/
async function failNextSync(t: ExecutionContext, folder: string): Promise<readonly string[]> {
	const failures: string[] = [];
	const fail = (operation: string) => {
		failures.push(operation);
		throw Object.assign(new Error(`EIO: i/o error, ${operation}`), {code: 'EIO'});
	};

	const handle = await files.promises.open(folder, 'r');
	const prototype = Object.getPrototypeOf(handle) as {datasync: () => Promise<void>};
	await handle.close();
	const {datasync} = prototype;
	const restore = () => {
		prototype.datasync = datasync;
	};

	t.teardown(restore);
	prototype.datasync = async function (this: {close: () => Promise<void>}) {
		restore();
		const {close} = this;
		this.close = async () => {
			await close();
			fail('close');
		};

		fail('fdatasync');
	};

	return failures;
}

for (const {
	name, arrange, expectedDefects, expectedOpenings,
} of DEFECT_CASES) {
	// Guards against a control host that ends with all its requests, or stays without a replica, when a task of its replica ends with an error.
	test.serial(`a replica ${name} is opened again`, async t => {
		const dataFolder = createFolder(t);
		const before = await startLeader(t, dataFolder);
		await before.propose(createPut(VERSION));
		await before.close();
		const fault = await arrange(t, dataFolder);
		const started = start(t, dataFolder, fault.replaced);
		t.true(await waitFor(async () => fault.hasOccurred(started)), 'the fault has occurred');
		fault.repair?.();
		const {group, countDefects, countOpenings} = started;
		t.true(await waitFor(() => isLeading(group) && group.getStored()?.generation.version === VERSION), 'the replica leads with what was stored');
		const {term} = group.getStatus()!;
		await timers.setTimeout(STABLE_MILLISECONDS);
		t.like(group.getStatus(), {role: 'leader', term}, 'the replica leads on');
		t.is(countOpenings(), expectedOpenings, 'the replica is opened no more often');
		t.is(await countDefects(), expectedDefects);
	});
}

test('a group that is closed while its replica is opened has no replica', async t => {
	// Guards against a replica that runs on after its host has ended, beside the one of the host's next start.
	const {group, countOpenings} = start(t, createFolder(t));
	await timers.setImmediate();
	await group.close();
	await timers.setTimeout(STABLE_MILLISECONDS);
	t.is(group.getStatus(), undefined);
	t.is(countOpenings(), 0);
});
