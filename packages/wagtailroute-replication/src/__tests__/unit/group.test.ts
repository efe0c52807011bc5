import test from 'ava';
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as replication from '../../index.ts';
import * as fakeDisk from './fake-disk.ts';
import * as fakeHosts from './fake-hosts.ts';

const SEED = 11;
const NAMES = ['a', 'b', 'c', 'd', 'e'] as const;
const INITIAL_MEMBERS: replication.InitialMembers = {hosts: NAMES};

async function startAll() {
	const world = fakeHosts.createFakeHosts(SEED);
	const disks = new Map(NAMES.map(name => [name as string, fakeDisk.createFakeDisk()]));
	const start = async (name: string) => world.start(name, replication.createDurableStore('folder', disks.get(name)), INITIAL_MEMBERS);
	for (const name of NAMES) {
		await start(name); // eslint-disable-line no-await-in-loop -- in order.
	}

	await world.advance(3000);
	return {world, disks, start};
}

test('a batch of proposals shares one sync per host', async t => {
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

// Guards against the loss of a committed change: a host loses its disk and is repaired, right after that another one does. The
// change is lost if a repaired host counts towards quorums before it holds the log, or under its lost identity.
test('changes survive 20 disk losses, each right after a repair', async t => {
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

// Guards against a second bootstrap that discards the group's changes: the whole group stops, and the host that bootstrapped
// it loses its disk and restarts first with a few others. Its settings still list the initial members.
test('a host that bootstrapped the group and lost its disk does not bootstrap it again', async t => {
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

// Guards against an isolated leader that keeps leading while its callers wait forever: it can send but not receive, receive
// but not send, or neither. A leader must rely on the responses to its heartbeats, not on sending them.
for (const isSending of [true, false]) {
	for (const isReceiving of isSending ? [false] : [true, false]) {
		test(`a leader that ${isSending ? 'can' : 'cannot'} send and ${isReceiving ? 'can' : 'cannot'} receive steps down`, async t => {
			const {world} = await startAll();
			const old = world.getLeader();
			const name = old.group.getStatus().leader!;
			for (const other of NAMES) {
				world.cutLinks.add(isSending ? '' : `${name}>${other}`);
				world.cutLinks.add(isReceiving ? '' : `${other}>${name}`);
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
			// The host that returns doesn't depose the leader.
			t.is(world.getLeader().group.getStatus().term, term);
			t.is(old.values.at(-1), 'new');
		});
	}
}

// Guards against acknowledging changes that are not on disk: a sync fails or the disk is full, and the process continues
// because the failure was ignored or a second sync succeeded.
test('a host whose sync fails stops replicating', async t => {
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

test('a group does not start from a corrupt store', async t => {
	const store: replication.Store = {
		...replication.createVolatileStore(),
		load: async () => results.Err(core.createFailure('corrupt', 'A record is damaged.')),
	};
	await t.throwsAsync(fakeHosts.createFakeHosts(SEED).start('a', store, INITIAL_MEMBERS));
});

// Guards against restart time and disk use that grow with the history: thousands of changes accumulate while the state stays
// small.
test('restarts and disk use depend on the live state', async t => {
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

test('the maximum size of a command is a setting of the group', async t => {
	// Guards against a catalogue that can't be stored: with one limit for the commands of all groups, a catalogue of more than
	// a megabyte (some thousand routes) was never acknowledged, and its operator got 503 forever.
	const world = fakeHosts.createFakeHosts(SEED);
	await world.start('a', replication.createDurableStore('folder', fakeDisk.createFakeDisk()), {hosts: ['a']}, {maxCommandBytes: 3_000_000});
	await world.advance(3000);
	const answer = await world.settle(world.getLeader().group.propose('x'.repeat(2_000_000)));
	t.true(answer.isOk());
	const refused = await world.settle(world.getLeader().group.propose('x'.repeat(3_000_000)));
	t.like(refused, {error: {reason: 'command-too-large'}});
});
