/**
Tests of requests that crash upstreams: what entry hosts and control hosts tell each other, over histories of restarts and cut links.
*/
import * as files from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import * as fc from 'fast-check';
import type * as link from 'wagtailroute-link';
import type * as proxy from 'wagtailroute-proxy';
import {createEntryCrashGuard, type EntryCrashGuard, type EntryCrashGuardOptions} from '../../crash-guard.ts';
import {createCrashRecords, type CrashRecord, isQuarantined} from '../../crash-records.ts';
import {createCrashRegistry, type CrashRegistry} from '../../crash-registry.ts';
import {METHODS} from '../../messages.ts';
import type {HeartbeatStatus} from '../../silent-upstreams.ts';
import {createFakeContext, createFakeLink, type FakeContext} from './fixture.ts';

const SERVICE = 'shop';
const CONTROLS = 3;
const ENTRIES = 4;
const FOLDER = files.mkdtempSync(path.join(os.tmpdir(), 'wagtailroute-crashes-'));

/**
An upstream that accepts connections, answers health checks and sends heartbeats; its guard tells nobody.
*/
const SOUND: EntryCrashGuardOptions = {
	notifyControlHosts: () => undefined, isRefusing: async () => false, probe: async () => 'answered', confirmReach: async () => true, isReplaced: () => false,
};
const isUnknown = () => undefined;
const SENT = {service: SERVICE, target: {id: 'a', address: {ip: 'a', port: 1}, kind: 'upstream'}, fingerprint: 'x'} as const;
const LOST = {...SENT, isOnTrial: false};

test.after.always(() => {
	files.rmSync(FOLDER, {recursive: true, force: true});
});

/**
Entry hosts and control hosts whose messages arrive at once, unless their link is cut.
*/
type Fleet = {
	readonly context: FakeContext;
	readonly entries: EntryCrashGuard[];
	readonly controls: CrashRegistry[];
	/**
	Entry hosts that reach no control host.
	*/
	readonly cut: Set<number>;
	/**
	Upstreams whose address refuses connections.
	*/
	readonly crashed: Set<string>;
	readonly restartEntry: (index: number) => void;
	readonly restartControl: (index: number) => void;
	readonly reconnect: (index: number) => void;
};

function createLinkTo(receive: (method: string, parameters: unknown) => void): link.Link {
	return {
		...createFakeLink(() => undefined),
		notify(method: string, parameters: unknown) {
			receive(method, parameters);
		},
	};
}

function createFleet(): Fleet {
	const context = createFakeContext();
	const entries: EntryCrashGuard[] = [];
	const controls: CrashRegistry[] = [];
	const cut = new Set<number>();
	const crashed = new Set<string>();

	const callControl = (index: number, method: string, parameters: unknown) => {
		void controls[index]!.methods[method]!(parameters as never, createFakeLink(() => undefined));
	};

	const callEntry = (index: number, parameters: unknown) => {
		if (!cut.has(index)) {
			entries[index]?.applyRecords(parameters as never);
		}
	};

	const createControl = () => createCrashRegistry(context, {
		folder: FOLDER,
		findHeartbeatStatus: isUnknown,
		notifyEntryHosts(_method, parameters) {
			for (let index = 0; index < ENTRIES; index++) {
				callEntry(index, parameters);
			}
		},
	});

	const createEntry = (index: number) => createEntryCrashGuard(context, {
		...SOUND,
		notifyControlHosts(method, parameters) {
			for (let control = 0; control < CONTROLS && !cut.has(index); control++) {
				callControl(control, method, parameters);
			}
		},
		isRefusing: async ({ip}) => crashed.has(ip),
	});

	const sayHello = (index: number, control: number) => {
		controls[control]!.sendTo(createLinkTo((_method, parameters) => {
			callEntry(index, parameters);
		}), 'entry');
		callControl(control, METHODS.crashes, entries[index]!.listRecords());
	};

	for (let index = 0; index < CONTROLS; index++) {
		controls.push(createControl());
	}

	for (let index = 0; index < ENTRIES; index++) {
		entries.push(createEntry(index));
	}

	const reconnect = (index: number) => {
		cut.delete(index);
		for (let control = 0; control < CONTROLS; control++) {
			sayHello(index, control);
		}
	};

	return {
		context,
		entries,
		controls,
		cut,
		crashed,
		restartEntry(index) {
			entries[index] = createEntry(index);
			reconnect(index);
		},
		restartControl(index) {
			controls[index] = createControl();
			for (let entry = 0; entry < ENTRIES; entry++) {
				if (!cut.has(entry)) {
					sayHello(entry, index);
				}
			}
		},
		reconnect,
	};
}

/**
Sends a request to an upstream through an entry host. Returns whether it was sent.
*/
async function send({entries, crashed}: Fleet, {host, upstream, fingerprint, isCrashing}: {
	readonly host: number;
	readonly upstream: string;
	readonly fingerprint: string;
	readonly isCrashing: boolean;
}): Promise<boolean> {
	const {guard} = entries[host]!;
	if (guard.getQuarantineStatus(SERVICE, fingerprint) === 'quarantined') {
		return false;
	}

	if (isCrashing) {
		crashed.add(upstream);
		await guard.detectCrash({
			service: SERVICE, target: {id: upstream, address: {ip: upstream, port: 1}, kind: 'upstream'}, fingerprint, isOnTrial: false,
		});
	} else {
		guard.recordSurvival(SERVICE, fingerprint);
	}

	return true;
}

type Step =
	| {readonly kind: 'crash' | 'restart-entry' | 'cut' | 'reconnect'; readonly host: number}
	| {readonly kind: 'restart-control'; readonly control: number};

const step: fc.Arbitrary<Step> = fc.oneof(
	{arbitrary: fc.record({kind: fc.constant('crash' as const), host: fc.nat(ENTRIES - 1)}), weight: 5},
	{arbitrary: fc.record({kind: fc.constantFrom('restart-entry' as const, 'cut' as const, 'reconnect' as const), host: fc.nat(ENTRIES - 1)}), weight: 3},
	{arbitrary: fc.record({kind: fc.constant('restart-control' as const), control: fc.nat(CONTROLS - 1)}), weight: 1},
);

/**
Crashes that the platform allows before a request must not be sent any more, by hosts that reach control hosts.
*/
const MAX_CRASHES = 3;

/**
Takes a step. Returns whether the crashing request was sent; undefined where the step sends none.
*/
type StepHandlers = {
	readonly [Kind in Step['kind']]: (fleet: Fleet, step: Extract<Step, {kind: Kind}>, upstream: string) => Promise<boolean | undefined>;
};

const STEP_HANDLERS: StepHandlers = {
	// A host that reaches no control host is not bound by what others know.
	crash: async (fleet, {host}, upstream) => fleet.cut.has(host)
		? undefined
		: send(fleet, {
			host, upstream, fingerprint: 'boom', isCrashing: true,
		}),
	async 'restart-entry'(fleet, {host}) {
		fleet.restartEntry(host);
		return undefined;
	},
	async 'restart-control'(fleet, {control}) {
		fleet.restartControl(control);
		return undefined;
	},
	async cut(fleet, {host}) {
		fleet.cut.add(host);
		return undefined;
	},
	async reconnect(fleet, {host}) {
		fleet.reconnect(host);
		return undefined;
	},
};

test('over any history of restarts and cut links a request crashes no more than three upstreams through hosts that reach control hosts', async t => {
	// Guards against records that are lost with the host that has them, and against hosts that are not told.
	let refused = 0;
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 8, maxLength: 30}), async steps => {
		const fleet = createFleet();
		const results: boolean[] = [];
		for (const [index, taken] of steps.entries()) {
			// eslint-disable-next-line no-await-in-loop -- One step after the other.
			const isSent = await STEP_HANDLERS[taken.kind](fleet, taken as never, `u${index}`);
			results.push(...isSent === undefined ? [] : [isSent]);
		}

		const sent = results.filter(Boolean).length;
		refused += results.length - sent;
		t.true(sent <= MAX_CRASHES, `${sent} sent: ${JSON.stringify(steps)}`);
	}), {numRuns: 300, seed: 20_261_203});
	t.true(refused > 0);
});

test('a host that was cut off takes over the quarantine when it reaches a control host again', async t => {
	const fleet = createFleet();
	fleet.cut.add(0);
	for (const upstream of ['a', 'b', 'c']) {
		// eslint-disable-next-line no-await-in-loop -- One crash after the other.
		await send(fleet, {
			host: 1, upstream, fingerprint: 'boom', isCrashing: true,
		});
	}

	t.is(fleet.entries[0]!.guard.getQuarantineStatus(SERVICE, 'boom'), 'free');
	fleet.reconnect(0);
	t.is(fleet.entries[0]!.guard.getQuarantineStatus(SERVICE, 'boom'), 'quarantined');
});

const INNOCENT = [
	{name: 'a request that completes between crashes', completedAfter: 2},
	{name: 'a request that completes on another host after its second crash', completedAfter: 2, host: 2},
	{name: 'a request that completed on another host after its first crash', completedAfter: 1, host: 2},
];

for (const {name, completedAfter, host = 1} of INNOCENT) {
	test(`${name} is not quarantined`, async t => {
		// Guards against the quarantine of a frequent request that was in flight at several crashes by chance.
		const fleet = createFleet();
		for (const [index, upstream] of ['a', 'b', 'c'].entries()) {
			// eslint-disable-next-line no-await-in-loop -- One crash after the other.
			await fleet.context.pass(100);
			if (index === completedAfter) {
				// eslint-disable-next-line no-await-in-loop -- See above.
				await send(fleet, {
					host, upstream: 'other', fingerprint: 'popular', isCrashing: false,
				});
			}

			// eslint-disable-next-line no-await-in-loop -- See above.
			await fleet.context.pass(100);
			// eslint-disable-next-line no-await-in-loop -- See above.
			await send(fleet, {
				host: 1, upstream, fingerprint: 'popular', isCrashing: true,
			});
		}

		t.true(fleet.entries.every(({guard}) => guard.getQuarantineStatus(SERVICE, 'popular') === 'free'));
	});
}

test('a connection that is lost without a crash is no crash of the request', async t => {
	const fleet = createFleet();
	for (let attempt = 0; attempt < 5; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- One loss after the other.
		t.false(await fleet.entries[0]!.guard.detectCrash(LOST));
		// eslint-disable-next-line no-await-in-loop -- See above.
		await fleet.context.pass(1000);
	}

	t.is(fleet.entries[0]!.guard.getQuarantineStatus(SERVICE, 'x'), 'free');
});

test('an upstream that loses many requests is connected to once a second, and checked once a second', async t => {
	const context = createFakeContext();
	let connections = 0;
	let probes = 0;
	const {guard} = createEntryCrashGuard(context, {
		...SOUND,
		async isRefusing() {
			connections++;
			return false;
		},
		async probe() {
			probes++;
			return 'answered';
		},
	});
	for (let time = 0; time < 2000; time += 50) {
		// eslint-disable-next-line no-await-in-loop -- One loss after the other.
		await guard.detectCrash(LOST);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await context.pass(50);
	}

	t.deepEqual([connections, probes], [2, 2]);
});

type FoundCrash = {
	readonly name: string;
	/**
	Results of the health checks, the last one for all further ones.
	*/
	readonly results: readonly proxy.ProbeResult[];
	/**
	Age of the reported crash; absent where none is reported.
	*/
	readonly age?: number;
	/**
	Milliseconds after which another instance has taken the upstream's name.
	*/
	readonly replacedAfter?: number;
};

const FOUND_CRASHES: readonly FoundCrash[] = [
	{name: 'a server that closes its port a moment after its connections', results: ['gone'], age: 150},
	{name: 'a server that accepts a check in silence and is gone then', results: ['silent', 'gone'], age: 650},
	{name: 'a server that stays silent for two seconds', results: ['silent', 'silent', 'silent', 'silent', 'gone'], age: 2150},
	{name: 'a server that closes the connections of two checks in a row', results: ['closed', 'closed'], age: 200},
	{
		name: 'a server that stays silent and is replaced', results: ['silent'], replacedAfter: 1000, age: 1150,
	},
	{name: 'a server that closes the connection of one check', results: ['closed', 'answered']},
	{name: 'a server that answers after a while', results: ['silent', 'silent', 'answered']},
	{name: 'a server that stays silent', results: ['silent']},
];

for (const {name, results, age, replacedAfter = Infinity} of FOUND_CRASHES) {
	test(`${name} has ${age === undefined ? 'not ' : ''}crashed`, async t => {
		// Guards against crashes that are missed because the port stays open, and against requests that are blamed for an overloaded server.
		const context = createFakeContext();
		const reported: unknown[] = [];
		let probes = 0;
		const {guard} = createEntryCrashGuard(context, {
			...SOUND,
			notifyControlHosts(method, parameters) {
				reported.push(...method === METHODS.crashes ? [parameters] : []);
			},
			async probe() {
				probes++;
				return results[Math.min(probes, results.length) - 1]!;
			},
			isReplaced: () => context.now() >= replacedAfter,
		});
		t.false(await guard.detectCrash(LOST), 'the caller does not wait for the health check');
		await context.pass(10_000);
		t.deepEqual(reported, age === undefined ? [] : [[{fingerprint: 'x', crashes: [['a', age]]}]]);
	});
}

for (const result of ['gone', 'closed'] as const) {
	test(`a host that reaches no other upstream leaves it to the control hosts whether an upstream whose check is ${result} has crashed`, async t => {
		// Guards against requests that are blamed for the paths of a host, and against crashes that are forgotten when they take all upstreams down.
		const context = createFakeContext();
		const methods: string[] = [];
		const {guard, listRecords} = createEntryCrashGuard(context, {
			...SOUND,
			isRefusing: async () => true,
			probe: async () => result,
			confirmReach: async () => false,
			notifyControlHosts(method) {
				methods.push(method);
			},
		});
		t.false(await guard.detectCrash(LOST));
		await context.pass(1000);
		t.deepEqual(listRecords(), []);
		t.deepEqual([...new Set(methods)], [METHODS.losses]);
	});
}

test('an unanswered attempt is looked into, and ends when its upstream has crashed', async t => {
	const context = createFakeContext();
	let isGone = false;
	let crashes = 0;
	const {guard, listRecords} = createEntryCrashGuard(context, {...SOUND, probe: async () => isGone ? 'gone' : 'silent'});
	guard.inquire!({
		...SENT, sentAt: 0, onCrash() {
			crashes++;
		},
	});
	await context.pass(1000);
	t.is(crashes, 0);
	isGone = true;
	await context.pass(1000);
	t.is(crashes, 1);
	t.is(listRecords()[0]?.crashes.length, 1);
});

test('an unanswered attempt that is answered after all was not the cause of a later crash', async t => {
	const context = createFakeContext();
	let isGone = false;
	const {guard, listRecords} = createEntryCrashGuard(context, {...SOUND, probe: async () => isGone ? 'gone' : 'silent'});
	const recordAnswer = guard.inquire!({...SENT, sentAt: 0, onCrash: () => undefined});
	await context.pass(1000);
	recordAnswer();
	isGone = true;
	await context.pass(1000);
	t.deepEqual(listRecords(), []);
});

test('a request that completed elsewhere before the health check was not the cause of the crash', async t => {
	// Guards against the quarantine of innocent requests that are sent again, and served, while their upstream is checked.
	const context = createFakeContext();
	const {guard, listRecords} = createEntryCrashGuard(context, {...SOUND, probe: async () => 'gone'});
	await guard.detectCrash(LOST);
	await context.pass(50);
	guard.recordSurvival(SERVICE, 'x');
	await context.pass(200);
	t.true(listRecords().every(({crashes}) => crashes.length === 0));
});

type Silence = {
	readonly name: string;
	/**
	Milliseconds from the loss to each heartbeat, negative before it.
	*/
	readonly heartbeats: readonly number[];
	readonly replacedAt?: number;
	/**
	Whether the loss counts as a crash after 3 s and at the end.
	*/
	readonly isCrash: readonly [soon: boolean, end: boolean];
};

const SILENCES: readonly Silence[] = [
	{name: 'a silent upstream that sends no more heartbeats', heartbeats: [-1000], isCrash: [true, true]},
	{name: 'a silent upstream that goes on sending heartbeats', heartbeats: [-1000, 500, 2000, 3500], isCrash: [false, false]},
	{name: 'a silent upstream whose heartbeats had stopped before', heartbeats: [-4000], isCrash: [false, false]},
	{name: 'a silent upstream that sends a heartbeat late', heartbeats: [-1000, 5000], isCrash: [true, false]},
	{
		name: 'a silent upstream that is replaced', heartbeats: [-1000], replacedAt: 400, isCrash: [true, true],
	},
];

const LOSS_AT = 10_000;

for (const {name, heartbeats, replacedAt = Infinity, isCrash} of SILENCES) {
	test(`the control hosts decide on ${name}`, async t => {
		// Guards against a crashing request that is sent on because its upstreams fall silent in place of refusing connections.
		const context = createFakeContext();
		const told: CrashRecord[] = [];
		const {methods} = createCrashRegistry(context, {
			folder: FOLDER,
			findHeartbeatStatus: (): HeartbeatStatus => ({
				heardAt: Math.max(...heartbeats.map(at => LOSS_AT + at).filter(at => at <= context.now())), isReplaced: context.now() >= LOSS_AT + replacedAt,
			}),
			notifyEntryHosts(_method, parameters) {
				told.push(...parameters as CrashRecord[]);
			},
		});
		await context.pass(LOSS_AT);
		for (const upstream of ['a', 'b', 'c']) {
			void methods[METHODS.losses]!([{fingerprint: 'x', upstream, ageMilliseconds: 0}] as never, createFakeLink(() => undefined));
		}

		await context.pass(3000);
		t.is(told.some(record => isQuarantined(record)), isCrash[0]);
		await context.pass(5000);
		t.is(isQuarantined(told.at(-1)), isCrash[1]);
	});
}

test('records survive a restart of all hosts on the disk of a control host', async t => {
	const context = createFakeContext();
	const folder = path.join(FOLDER, 'kept');
	const saved = createCrashRegistry(context, {folder, notifyEntryHosts: () => undefined, findHeartbeatStatus: isUnknown});
	await saved.load();
	saved.methods[METHODS.crashes]!([{fingerprint: 'boom', crashes: [['a', 0], ['b', 0], ['c', 0]]}] as never, createFakeLink(() => undefined));
	await context.pass(200);
	while (!files.existsSync(path.join(folder, 'crashes.json'))) {
		// eslint-disable-next-line no-await-in-loop -- Polls until the file is written.
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	const loaded = createCrashRegistry(context, {folder, notifyEntryHosts: () => undefined, findHeartbeatStatus: isUnknown});
	await loaded.load();
	const received: unknown[] = [];
	loaded.sendTo(createLinkTo((_method, parameters) => {
		received.push(parameters);
	}), 'entry');
	t.is((received as CrashRecord[][])[0]?.[0]?.crashes.length, 3);
});

test('a request that has crashed few upstreams is forgotten after a while', async t => {
	const context = createFakeContext();
	const records = createCrashRecords(context.now);
	const crash = (upstream: string) => records.merge({fingerprint: 'x', crashes: [[upstream, 0]]});
	crash('a');
	crash('b');
	await context.pass(601_000);
	crash('c');
	t.false(isQuarantined(records.find('x')));
});
