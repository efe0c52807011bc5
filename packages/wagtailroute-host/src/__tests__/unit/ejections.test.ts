/**
Ejection requests, tables and leases of several hosts, against the real records.
*/
import * as timers from 'node:timers/promises';
import test from 'ava';
import type * as core from 'wagtailroute-core';
import type * as detection from 'wagtailroute-detection';
import type * as replication from 'wagtailroute-replication';
import * as records from 'wagtailroute-records';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import type {HostContext} from '../../context.ts';
import {type EjectionLeases, startEjectionLeases} from '../../ejection-leases.ts';
import {registerEjectionTables} from '../../ejection-tables.ts';
import {createEjectionRequests, type EjectionRequests} from '../../ejection-requests.ts';
import {startServiceDetection} from '../../service-detection.ts';
import {createFakeRecords, type FakeRecords} from './fake-records.ts';

const SERVICE = 's';
const UPSTREAMS = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];
const ALLOWED = 1;
const CONTROL: core.Address = {ip: '127.0.0.1', port: 1};
const ENTRY = {
	name: SERVICE, healthyFloor: '70%', detection: 'fast',
};
const FINDING = {symptom: 'errors', evidence: 20} as unknown as detection.Finding;

type Host = {
	readonly context: HostContext;
	readonly ejectionRequests: EjectionRequests;
	readonly leases: EjectionLeases;
	readonly listed: Set<string>;
	readonly readmitted: string[];
	isCut: boolean;
};

type Fleet = {
	readonly fakeRecords: FakeRecords;
	readonly hosts: readonly Host[];
	/**
	Whether a quorum confirms the leader.
	*/
	isConfirmed: boolean;
};

type Methods = Map<string, (parameters: unknown) => unknown>;

function createFleet(count: number): Fleet {
	const fakeRecords = createFakeRecords();
	const methods: Methods = new Map();
	const fleet: Fleet = {fakeRecords, hosts: Array.from({length: count}, (_, index) => createHost(fakeRecords, `h${index}`, methods)), isConfirmed: true};
	const group = {
		getStatus: () => ({role: 'leader', leader: 'control'}),
		readBarrier: async () => fleet.isConfirmed ? results.Ok(1) : results.Err({kind: 'no-quorum', message: ''}),
	} as unknown as replication.Group;
	const control = createContext(fakeRecords, 'control', {methods, isCut: () => false});
	registerEjectionTables(control, fakeRecords.machine.records, () => group);
	return fleet;
}

function createHost(fakeRecords: FakeRecords, id: string, methods: Methods): Host {
	const listed = new Set(UPSTREAMS);
	const readmitted: string[] = [];
	const host: {isCut: boolean} = {isCut: false};
	const context = createContext(fakeRecords, id, {methods, isCut: () => host.isCut});
	const leases = startEjectionLeases(context, {
		getServices: () => [SERVICE],
		onEjected: () => undefined,
		onReadmitted(_service, upstream) {
			readmitted.push(upstream);
		},
	});
	const ejectionRequests = createEjectionRequests(context, createAnnouncer(listed), async (...parameters) => host.isCut
		? results.Err({kind: 'no-quorum', message: '', isPossiblyTaken: false})
		: fakeRecords.propose(...parameters));
	return Object.assign(host, {
		context, ejectionRequests, leases, listed, readmitted,
	});
}

function createAnnouncer(listed: ReadonlySet<string>) {
	return {
		getUpstreams: () => [...listed].map(id => ({id, state: 'serving'})) as never,
	};
}

function createContext(fakeRecords: FakeRecords, id: string, {methods, isCut}: {
	readonly methods: Methods;
	readonly isCut: () => boolean;
}): HostContext {
	const context = fakeRecords.createContext(id);
	const entries = new Map([[SERVICE, {entry: ENTRY}]]) as never;
	context.store.update(state => ({...state, view: {...state.view, entries}}));
	const settings: HostContext['settings'] = {...context.settings, initialControl: [{id: 'control', address: CONTROL}]};
	const peer = {
		registerMethod(name: string, method: (parameters: unknown) => unknown) {
			if (id === 'control') {
				methods.set(name, method);
			}

			return () => undefined;
		},
		call: async (_address: core.Address, name: string, parameters: unknown) => isCut()
			? results.Err({kind: 'unreachable', message: ''})
			: results.Ok(await methods.get(name)!(parameters)),
	} as unknown as HostContext['peer'];
	return {...context, settings, peer};
}

async function advance(fleet: Fleet, milliseconds: number): Promise<void> {
	fleet.fakeRecords.advance(milliseconds);
	await timers.setImmediate();
	await timers.setImmediate();
}

function listEjected({leases}: Host): readonly string[] {
	return UPSTREAMS.filter(upstream => leases.getEpoch(SERVICE, upstream) !== undefined);
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
	test(`hosts that request ejections at once and are cut off at times never go below the healthy floor, seed ${seed}`, async t => {
		// A host that ejects by itself, or acts on a table that it can't renew, breaks the floor of the service: hosts eject
		// different upstreams at once, or miss ejections that end and begin while they are cut off.
		const random = utils.createRandom(seed);
		const fleet = createFleet(8);
		let most = 0;
		for (let round = 0; round < 150; round++) {
			const selectedHosts = fleet.hosts.filter(() => random() < 0.3);
			for (const host of fleet.hosts) {
				host.isCut = host.isCut ? random() < 0.96 : random() < 0.05;
			}

			fleet.isConfirmed = random() < 0.9;
			// eslint-disable-next-line no-await-in-loop -- The rounds run one after the other.
			await Promise.all(selectedHosts.map(async host => {
				const upstream = UPSTREAMS[utils.pickIndex(random, UPSTREAMS.length)]!;
				const epoch = host.leases.getEpoch(SERVICE, upstream);
				return epoch === undefined
					? host.ejectionRequests.requestEjection(SERVICE, upstream, FINDING)
					: host.ejectionRequests.endEjection(SERVICE, upstream, epoch);
			}));
			// eslint-disable-next-line no-await-in-loop -- See above.
			await advance(fleet, 1000);
			const union = new Set(fleet.hosts.flatMap(host => listEjected(host)));
			most = Math.max(most, union.size);
			t.true(union.size <= ALLOWED, `round ${round}: ${[...union].join(', ')}`);
		}

		t.is(most, ALLOWED);
	});
}

test('a host whose lease expires returns all upstreams to service, and reads the table again later', async t => {
	// A host that is cut off and keeps its table for ever misses that an ejection ended; together with the next ejection
	// the floor is broken.
	const fleet = createFleet(2);
	const [near, far] = fleet.hosts as readonly [Host, Host];
	t.is(await near.ejectionRequests.requestEjection(SERVICE, 'u1', FINDING), 'granted');
	await advance(fleet, 1000);
	t.deepEqual(fleet.hosts.map(host => listEjected(host)), [['u1'], ['u1']]);
	far.isCut = true;
	await advance(fleet, records.EJECTION_LEASE_MILLISECONDS - 1000);
	t.deepEqual(listEjected(far), ['u1']);
	await advance(fleet, 2000);
	t.deepEqual(listEjected(far), []);
	t.deepEqual(far.readmitted, ['u1']);
	t.deepEqual(listEjected(near), ['u1']);
	far.isCut = false;
	await advance(fleet, 1000);
	t.deepEqual(listEjected(far), ['u1']);
});

test('a leader that no quorum confirms returns no table, and its hosts return all upstreams to service', async t => {
	// A leader that is cut off from the other members and reads tables without a quorum lets hosts renew their lease on
	// ejections that a new leader has ended.
	const fleet = createFleet(1);
	const host = fleet.hosts[0]!;
	await host.ejectionRequests.requestEjection(SERVICE, 'u1', FINDING);
	await advance(fleet, 1000);
	t.deepEqual(listEjected(host), ['u1']);
	fleet.isConfirmed = false;
	await advance(fleet, records.EJECTION_LEASE_MILLISECONDS - 1000);
	t.deepEqual(listEjected(host), ['u1']);
	await advance(fleet, 2000);
	t.deepEqual(listEjected(host), []);
});

test('an ejected upstream that announces itself again stays ejected', async t => {
	// An upstream that is new to the machine counts as serving, so an unhealthy server must not return to service by
	// announcing itself again.
	const fleet = createFleet(1);
	const host = fleet.hosts[0]!;
	const serviceDetection = startServiceDetection(host.context, {
		entry: ENTRY as never,
		epoch: 1,
		announcer: createAnnouncer(host.listed) as never,
		ejectionRequests: host.ejectionRequests,
		leases: host.leases,
		sendSummary: () => undefined,
		onChange: () => undefined,
	});
	await host.ejectionRequests.requestEjection(SERVICE, 'u1', FINDING);
	await advance(fleet, 1000);
	serviceDetection.send({kind: 'ejected', upstream: 'u1'});
	t.is(serviceDetection.getEjectionState('u1'), 'ejected');
	host.listed.delete('u1');
	serviceDetection.refresh();
	host.listed.add('u1');
	serviceDetection.refresh();
	t.is(serviceDetection.getEjectionState('u1'), 'ejected');
	t.is(serviceDetection.getEjectionState('u2'), 'in');
	serviceDetection.stop();
});
