/**
The short part of the fault experiments: the same verdicts each run, on hosts and backend servers in this process.
*/
import process from 'node:process';
import test, {type ExecutionContext, registerCompletionHandler} from 'ava';
import {TOKEN} from '../../fixture.ts';
import {
	countRuns,
	type LocalFleet,
	type LocalHost,
	openLocalFleet,
	waitUntil,
} from '../../in-process.ts';
import * as operators from '../../operators.ts';

const ENTRY = {
	name: 'archive',
	owner: 'team',
	routes: [
		{pathPrefix: '/transfers', class: 'non-idempotent', requireIdempotencyKey: true},
		{pathPrefix: '/uploads', class: 'non-idempotent'},
		{pathPrefix: '/', class: 'read'},
	],
	limits: {concurrency: 100, timeoutMilliseconds: 20_000},
};

const IN_FLIGHT = 10;

// Hosts that were not stopped go on running: each stop would drain for as long as callers keep an answer of the directory.
registerCompletionHandler(() => {
	// eslint-disable-next-line unicorn/no-process-exit -- See above.
	process.exit();
});

async function openFleet(t: ExecutionContext, counts: {readonly hosts: number; readonly standins: number}): Promise<LocalFleet> {
	const plans = Array.from({length: counts.hosts}, (_, index) => ({id: `host-${index}`, roles: ['entry', 'control']} as const));
	const fleet = await openLocalFleet(plans, ENTRY, counts.standins);
	t.teardown(async () => fleet.close());
	return fleet;
}

async function isDrainingAt(host: LocalHost, id: string): Promise<boolean> {
	const {body} = await operators.ask(host.admin, TOKEN, '/fleet');
	const {hosts} = body as {hosts: ReadonlyArray<{id: string; state: string}>};
	return hosts.some(other => other.id === id && other.state === 'draining');
}

async function hasInFlight(fleet: LocalFleet, count: number): Promise<boolean> {
	return fleet.standins.reduce((sum, started) => sum + started.counters().inFlight, 0) === count;
}

test('a host that stops answers what is in flight, and a keyed request sent again through another host does not run again', async t => {
	// Symptom: a lookup is cut off, or a transfer is made twice, when a host is upgraded. Sequence: a host is told to stop while
	// it serves; the caller of a transfer that it served asks again elsewhere. Cause: connections that end with the process,
	// and keys that only the first host knew.
	const fleet = await openFleet(t, {hosts: 3, standins: 3});
	const [first, second] = fleet.hosts;
	const transfer = {path: '/transfers', key: 'k1', body: 'a tree'};
	const told = await fleet.send(first!, transfer);
	t.deepEqual([told.status, told.outcome], [200, 'ran']);

	for (const started of fleet.standins) {
		started.behave({kind: 'slow', delayMilliseconds: 8000});
	}

	const slow = Array.from({length: IN_FLIGHT}, async (_, index) => fleet.send(first!, {path: `/uploads/${index}`, body: 'a picture'}));
	await waitUntil(async () => hasInFlight(fleet, IN_FLIGHT));
	void first!.stop();
	const answers = await Promise.all(slow);
	t.deepEqual(answers.map(({status, outcome}) => [status, outcome]), answers.map(() => [200, 'ran']));

	for (const started of fleet.standins) {
		started.behave();
	}

	await waitUntil(async () => {
		const {outcome} = await fleet.send(first!, {path: '/x'});
		return outcome === 'lost';
	});
	const resent = await fleet.send(second!, transfer);
	t.deepEqual([resent.status, resent.outcome, resent.text], [200, 'ran', told.text]);
	t.is(countRuns(fleet.standins, 'k1'), 1);
	t.deepEqual(fleet.defects, []);
});

test('a backend server that drains answers what is in flight, and the others serve', async t => {
	// Symptom: a lookup is cut off when a backend server is upgraded. Sequence: it announces that it drains while it works.
	// Cause: an entry host that drops the connections of a server that leaves.
	const fleet = await openFleet(t, {hosts: 1, standins: 2});
	const [host] = fleet.hosts;
	for (const started of fleet.standins) {
		started.behave({kind: 'slow', delayMilliseconds: 4000});
	}

	const slow = Array.from({length: IN_FLIGHT}, async (_, index) => fleet.send(host!, {path: `/uploads/${index}`, body: 'a picture'}));
	await waitUntil(async () => hasInFlight(fleet, IN_FLIGHT));
	const [drained, other] = fleet.standins;
	t.true(drained!.counters().inFlight > 0);
	await drained!.drain();
	t.false(drained!.isListening());
	t.is(drained!.counters().events.aborted, 0);
	const answers = await Promise.all(slow);
	t.deepEqual(answers.map(({status, outcome}) => [status, outcome]), answers.map(() => [200, 'ran']));

	other!.behave();
	const later = await Promise.all(Array.from({length: IN_FLIGHT}, async () => fleet.send(host!, {path: '/x'})));
	t.deepEqual(later.map(({status, outcome}) => [status, outcome]), later.map(() => [200, 'ran']));
	t.deepEqual(fleet.defects, []);
});

test('a fleet that drains as a whole serves until it stops', async t => {
	// Symptom: callers are refused for seconds before a planned stop. Sequence: every host is told to stop at about the same
	// time; each waits until callers have heard. Cause: services carried only by hosts that do not drain.
	const fleet = await openFleet(t, {hosts: 2, standins: 2});
	const stopped = Promise.all(fleet.hosts.map(async host => host.stop()));
	await waitUntil(async () => {
		const seen = await Promise.all(fleet.hosts.flatMap(host => fleet.hosts.map(async other => isDrainingAt(host, other.id))));
		return seen.every(Boolean);
	});
	const told = await Promise.all(fleet.hosts.map(async host => fleet.send(host, {path: '/x'})));
	t.deepEqual(told.map(({status, outcome}) => [status, outcome]), told.map(() => [200, 'ran']));
	await stopped;
	t.deepEqual(fleet.defects, []);
});

test('a control leader that is cut off loses no change and tells nobody that one was taken which was not', async t => {
	// Symptom: an accepted change reverts. Sequence: the leader is cut off, is given a change, and goes on believing that it is
	// in charge; another one is elected and takes another change; the cut ends. Cause: a change acknowledged without a quorum.
	const fleet = await openFleet(t, {hosts: 3, standins: 1});
	const leader = await findLeader(fleet);
	const others = fleet.hosts.filter(host => host !== leader);
	for (const other of others) {
		fleet.cut(leader, other);
		fleet.cut(other, leader);
	}

	const revision = await operators.getRevision(leader.admin);
	const alone = await operators.sendChange(leader.admin, TOKEN, {entry: {...ENTRY, owner: 'alone'}, expected: revision!});
	t.deepEqual([alone.status, alone.outcome], [503, 'unknown']);
	const accepted = await changeThrough(others[0]!, revision!);
	const reads = await Promise.all(fleet.hosts.map(async host => fleet.send(host, {path: '/x'})));
	t.deepEqual(reads.map(({outcome}) => outcome), reads.map(() => 'ran'));

	fleet.mend();
	await waitUntil(async () => await operators.getRevision(leader.admin) === accepted);
	const owners = await Promise.all(fleet.hosts.map(async host => readOwner(host)));
	t.deepEqual(owners, fleet.hosts.map(() => 'others'));
	t.deepEqual(fleet.defects, []);
});

async function changeThrough(host: LocalHost, expected: number): Promise<number> {
	let revision = 0;
	await waitUntil(async () => {
		const result = await operators.sendChange(host.admin, TOKEN, {
			entry: {...ENTRY, owner: 'others'}, expected, changeId: 'change-through-others',
		});
		revision = result.revision;
		return result.status === 200;
	});
	return revision;
}

async function readOwner(host: LocalHost): Promise<string | undefined> {
	const {body} = await operators.ask(host.admin, TOKEN, '/catalogue');
	const {entries} = body as {entries: ReadonlyArray<{name: string; owner: string}>};
	return entries.find(({name}) => name === ENTRY.name)?.owner;
}

async function findLeader(fleet: LocalFleet): Promise<LocalHost> {
	let leader: LocalHost | undefined;
	await waitUntil(async () => {
		const bodies = await Promise.all(fleet.hosts.map(async ({admin}) => operators.ask(admin, TOKEN, '/fleet')));
		const roles = bodies.map(({body}) => (body as {groups?: Record<string, {role: string}>}).groups?.catalogue?.role);
		leader = fleet.hosts[roles.indexOf('leader')];
		return leader !== undefined;
	});
	return leader!;
}

test('a host whose log can not be written goes on serving', async t => {
	// Symptom: entry hosts end one after the other, though they need no disk. Sequence: the disk that their logs go to is full,
	// a line is written. Cause: an error of the stream that nobody listens to, which ends the process.
	const fleet = await openFleet(t, {hosts: 1, standins: 1});
	t.notThrows(() => process.stderr.emit('error', new Error('ENOSPC')));
	const told = await fleet.send(fleet.hosts[0]!, {path: '/x'});
	t.deepEqual([told.status, told.outcome], [200, 'ran']);
	t.deepEqual(fleet.defects, []);
});
