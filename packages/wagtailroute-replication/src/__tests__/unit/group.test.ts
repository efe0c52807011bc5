import test from 'ava';
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as replication from '../../index.ts';
import * as fakeDisk from './fake-disk.ts';
import * as fakeHosts from './fake-hosts.ts';

const SEED = 11;
const NAMES = ['a', 'b', 'c', 'd', 'e'] as const;
const FIRST: replication.InitialMembers = {hosts: NAMES};

async function startAll() {
	const world = fakeHosts.createFakeHosts(SEED);
	const disks = new Map(NAMES.map(name => [name as string, fakeDisk.createFakeDisk()]));
	const start = async (name: string) => world.start(name, replication.createDurableStore('folder', disks.get(name)), FIRST);
	for (const name of NAMES) {
		await start(name); // eslint-disable-line no-await-in-loop -- in order.
	}

	await world.advance(3000);
	return {world, disks, start};
}

test('a batch of proposals shares one sync a host', async t => {
	const {world, disks} = await startAll();
	const leader = world.getLeader();
	const before = disks.get('a')!.operations;
	const answers = await world.settle(Promise.all(Array.from({length: 100}, async (_, at) => leader.group.propose(at))));
	t.deepEqual(answers.map(answer => answer.unwrap().value), Array.from({length: 100}, (_, at) => at + 1));
	// One append and one sync.
	t.is(disks.get('a')!.operations - before, 2);
	const read = await world.settle(leader.group.readBarrier());
	t.true(read.isOk());
	const follower = world.hosts.values().find(host => host !== leader)!;
	const refused = await world.settle(follower.group.propose('x'));
	t.like(refused, {error: {kind: 'not-leader', leader: leader.group.getStatus().leader}});
});

// Symptom: a change that was accepted is gone.
// Sequence: one host loses its disk and is repaired; right after, another host loses its disk; then the whole group restarts.
// Cause: a repaired host counted for quorums before it held the log, or under the identity whose promises it forgot.
test('changes survive a loss right after a repair, 20 times', async t => {
	const {world, disks, start} = await startAll();
	const accepted: number[] = [];
	for (let round = 0; round < 20; round++) {
		const name = NAMES[round % NAMES.length]!;
		const answer = await world.settle(world.getLeader().group.propose(round)); // eslint-disable-line no-await-in-loop
		accepted.push(...answer.isOk() ? [round] : []);
		await world.stop(name); // eslint-disable-line no-await-in-loop
		disks.set(name, fakeDisk.createFakeDisk());
		await start(name); // eslint-disable-line no-await-in-loop
		await world.repair(NAMES); // eslint-disable-line no-await-in-loop
	}

	t.is(accepted.length, 20);
	const {members} = world.getLeader().group.getStatus();
	t.is(members.length, 5);
	t.true(members.every(member => member.role === 'voter' && member.isCaughtUp));
	for (const host of world.hosts.values()) {
		t.deepEqual(host.values, accepted);
	}
});

// Symptom: accepted changes are gone, the group starts anew.
// Sequence: the whole group stops; the host that created it loses its disk, and is the first one up with a few others.
// Cause: it took itself and them for a new group, since its settings still name the first hosts.
test('a wiped creator does not create the group again', async t => {
	const {world, disks, start} = await startAll();
	await world.settle(world.getLeader().group.propose('kept'));
	await Promise.all(NAMES.map(async name => world.stop(name)));
	disks.set('a', fakeDisk.createFakeDisk());
	for (const name of ['a', 'b', 'c']) {
		await start(name); // eslint-disable-line no-await-in-loop
	}

	await world.advance(6000);
	t.true(world.hosts.values().every(host => host.group.getStatus().role !== 'leader'));
	await start('d');
	await world.advance(4000);
	await world.repair(NAMES);
	t.deepEqual(world.hosts.get('a')!.values, ['kept']);
});

// Symptom: a cut-off leader keeps believing that it leads, and its callers wait for ever.
// Sequence: the leader is heard but hears nobody, or hears and is not heard, or neither.
// Cause: it counted on its own heartbeats instead of the answers to them.
for (const isHeard of [true, false]) {
	for (const isHearing of isHeard ? [false] : [true, false]) {
		test(`a leader that ${isHeard ? 'is' : 'is not'} heard and ${isHearing ? 'hears' : 'does not hear'} others steps down`, async t => {
			const {world} = await startAll();
			const old = world.getLeader();
			const name = old.group.getStatus().leader!;
			for (const other of NAMES) {
				world.cutLinks.add(isHeard ? '' : `${name}>${other}`);
				world.cutLinks.add(isHearing ? '' : `${other}>${name}`);
			}

			const lost = old.group.propose('lost');
			const read = old.group.readBarrier();
			await world.advance(6000);
			t.not(old.group.getStatus().role, 'leader');
			t.like(await lost, {error: {kind: 'unknown'}});
			t.like(await read, {error: {kind: 'not-leader'}});
			const accepted = await world.settle(world.getLeader().group.propose('new'));
			t.true(accepted.isOk());
			const {term} = world.getLeader().group.getStatus();
			world.cutLinks.clear();
			await world.advance(3000);
			// The host that comes back doesn't depose the leader.
			t.is(world.getLeader().group.getStatus().term, term);
			t.is(old.values.at(-1), 'new');
		});
	}
}

// Symptom: a host acknowledges changes that its disk doesn't hold.
// Sequence: a sync fails (or the disk is full); the process goes on.
// Cause: the failure was ignored, or a second sync said yes.
test('a host whose sync fails takes no further part', async t => {
	const {world, disks} = await startAll();
	const leader = world.getLeader();
	const name = leader.group.getStatus().leader!;
	disks.get(name)!.failAt = disks.get(name)!.operations + 2;
	const answer = await world.settle(leader.group.propose('x'));
	t.is(leader.group.getStatus().role, 'failed');
	t.true(answer.isErr());
	await world.advance(4000);
	t.like(await world.settle(leader.group.propose('y')), {error: {kind: 'refused', reason: 'replica-failed'}});
	const accepted = await world.settle(world.getLeader().group.propose('z'));
	t.true(accepted.isOk());
});

test('a damaged store is not started from', async t => {
	const store: replication.Store = {
		...replication.createVolatileStore(),
		load: async () => results.Err(core.createFailure('corrupt', 'A record is damaged.')),
	};
	await t.throwsAsync(fakeHosts.createFakeHosts(SEED).start('a', store, FIRST));
});

// Symptom: a host takes minutes to restart, or its disk fills.
// Sequence: hundreds of changes accumulate over a state that stays small.
// Cause: restart time and disk use follow the history.
test('restart and disk use follow the live state', async t => {
	const sizes: number[] = [];
	for (const changes of [100, 1000, 10_000]) {
		const world = fakeHosts.createFakeHosts(SEED);
		const disk = fakeDisk.createFakeDisk();
		const first = {hosts: ['a']};
		const {group, values} = await world.start('a', replication.createDurableStore('folder', disk), first); // eslint-disable-line no-await-in-loop
		await world.advance(3000); // eslint-disable-line no-await-in-loop
		for (let done = 0; done < changes; done += 50) {
			const batch = Array.from({length: 50}, async (_, at) => group.propose({key: at, value: `${'v'.repeat(100)}${done}`}));
			await world.settle(Promise.all(batch)); // eslint-disable-line no-await-in-loop
			// The live state is bounded.
			values.splice(0, values.length - 50);
		}

		await world.stop('a'); // eslint-disable-line no-await-in-loop
		const again = await world.start('a', replication.createDurableStore('folder', disk)); // eslint-disable-line no-await-in-loop
		await world.advance(3000); // eslint-disable-line no-await-in-loop
		t.deepEqual(again.values.slice(-50), values);
		sizes.push(disk.getFile().content.length);
		await world.stop('a'); // eslint-disable-line no-await-in-loop
	}

	t.log(`bytes on disk after 100, 1,000 and 10,000 changes: ${sizes.join(', ')}`);
	t.true(sizes[2]! < 4 * sizes[1]! && sizes[2]! < 400_000);
});

test('a command may be as large as the settings of its group say', async t => {
	// Symptom: a catalogue of some thousand routes is never acknowledged, its operator hears 503 for ever.
	// Sequence: the catalogue grows beyond a megabyte.
	// Cause: the engine had one bound for the commands of all groups.
	const world = fakeHosts.createFakeHosts(SEED);
	await world.start('a', replication.createDurableStore('folder', fakeDisk.createFakeDisk()), {hosts: ['a']}, {maxCommandBytes: 3_000_000});
	await world.advance(3000);
	const answer = await world.settle(world.getLeader().group.propose('x'.repeat(2_000_000)));
	t.true(answer.isOk());
	const refused = await world.settle(world.getLeader().group.propose('x'.repeat(3_000_000)));
	t.like(refused, {error: {reason: 'command-too-large'}});
});
