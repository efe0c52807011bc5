/**
Tests of the registry of a control host: what it tells, what it keeps, and what does not come back.
*/
import test from 'ava';
import type * as instances from 'wagtailroute-instances';
import type {InstanceStore} from '../../instance-store.ts';
import type {HeartbeatBatch, InstanceChanges} from '../../messages.ts';
import {type InstanceRegistry, startInstanceRegistry} from '../../registry.ts';
import * as fixture from './fixture.ts';

const HEARTBEAT: instances.Heartbeat = {
	upstream: 'u', service: 'archive', address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: 4, warmupMilliseconds: 0, sequence: 1,
};

type Setup = {
	readonly context: fixture.FakeContext;
	readonly registry: InstanceRegistry;
	readonly told: HeartbeatBatch[];
	readonly saved: Array<readonly instances.Heartbeat[]>;
};

function setUp(kept: readonly instances.Heartbeat[] = []): Setup {
	const context = fixture.createFakeContext();
	const told: HeartbeatBatch[] = [];
	const saved: Array<readonly instances.Heartbeat[]> = [];
	const store: InstanceStore = {
		load: async () => kept,
		async save(heartbeats) {
			saved.push(heartbeats);
		},
	};
	const registry = startInstanceRegistry(context, {
		notifyControls(_method, parameters) {
			told.push(parameters as HeartbeatBatch);
		},
		onChanged: () => undefined,
		store,
	});
	return {
		context, registry, told, saved,
	};
}

const listNames = (registry: InstanceRegistry) => registry.listCandidates('archive').map(({upstream}) => upstream);

test('news are told at once and whole, what changes nothing later and short', async t => {
	const {context, registry, told} = setUp();
	registry.receiveHeartbeat(HEARTBEAT);
	registry.receiveHeartbeat({...HEARTBEAT, sequence: 2});
	t.deepEqual(told, [{news: [{...HEARTBEAT, ageMilliseconds: 0}], refreshed: []}]);
	await context.pass(500);
	t.deepEqual(told.at(-1), {news: [], refreshed: [['u', 2, 0]]});
});

test('what another control host heard counts here', t => {
	const {registry} = setUp();
	registry.receiveRelayed({news: [{...HEARTBEAT, ageMilliseconds: 20}], refreshed: [['unknown', 3, 0]]});
	t.deepEqual(listNames(registry), ['u']);
});

test('instances are there again after a restart', async t => {
	const {context, registry} = setUp([HEARTBEAT]);
	await context.pass(1);
	t.deepEqual(listNames(registry), ['u']);
});

test('one that was acknowledged as draining is not kept as serving', async t => {
	// Symptom: after a restart of a control host, an upstream that drains gets requests for a moment.
	// Sequence: it is heard and kept on disk; it is retired; the host restarts and reads the list before it hears the group.
	// Cause: the list was only written anew when an instance came.
	const {context, registry, saved} = setUp();
	registry.receiveHeartbeat(HEARTBEAT);
	await context.pass(1000);
	registry.retire({upstream: 'u', state: 'draining'});
	await context.pass(1000);
	t.deepEqual(saved.map(list => list.length), [1, 0]);
	t.true(registry.listCandidates('archive')[0]?.isDraining);
});

test('a follower is told of changes and given everything at first', t => {
	const {registry} = setUp();
	const follower = fixture.createFakeLink(() => undefined);
	registry.receiveHeartbeat(HEARTBEAT);
	t.deepEqual(registry.getSnapshot().heard.map(({upstream}) => upstream), ['u']);
	registry.follow(follower);
	registry.receiveHeartbeat({...HEARTBEAT, sequence: 2});
	t.is(follower.notified.length, 0);
	registry.receiveHeartbeat({...HEARTBEAT, upstream: 'v', address: {ip: '10.0.0.2', port: 80}});
	t.deepEqual((follower.notified[0]?.[1] as InstanceChanges).heard.map(({upstream}) => upstream), ['v']);
});

test('an upstream that was silent and is heard again may be tried again', async t => {
	const {context, registry} = setUp();
	registry.receiveHeartbeat(HEARTBEAT);
	await context.pass(5000);
	registry.receiveHeartbeat({...HEARTBEAT, sequence: 2});
	t.false(registry.listCandidates('archive')[0]?.isSilent);
});
