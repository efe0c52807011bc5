/**
The promises of the fleet on three hosts with real sockets: a keyed request runs once through whichever hosts it comes, a
host without a quorum says not-run, a request that crashes backend servers is stopped.
*/
import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {startFleet, type FakeFleet, waitUntil} from './fake-fleet.ts';

const HOSTS = 3;

// A host that stops drains for as long as callers keep an answer of the directory.
registerCompletionHandler(() => {
	// eslint-disable-next-line unicorn/no-process-exit -- See above.
	process.exit();
});

function countRuns(fleet: FakeFleet, key: string): number {
	return fleet.standins.reduce((sum, started) => sum + (started.counters().runsByKey[key] ?? 0), 0);
}

function countCrashed(fleet: FakeFleet): number {
	return fleet.standins.filter(started => started.counters().events.crashed > 0).length;
}

test('a keyed request runs once, though it is sent through every host, at once and again', async t => {
	// Symptom: a transfer is made twice. Sequence: a caller loses the answer and sends again through another host, or two
	// hosts get the same request at the same moment. Cause: a record of keys that each host keeps for itself.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 3});
	const request = {path: '/transfers', key: 'k1', body: 'a tree'};
	const racing = await Promise.all([0, 1, 2, 0, 1, 2].map(async host => fleet.send(host, request)));
	t.is(countRuns(fleet, 'k1'), 1);
	for (const {status, outcome} of racing) {
		t.true((status === 200 && outcome === 'ran') || (status === 409 && outcome === 'unknown'), `${status} ${String(outcome)}`);
	}

	// The answer is settled in the background: until then a resend is truthfully told that the request is running.
	const first = racing.find(({status}) => status === 200);
	await waitUntil(async () => {
		const {status} = await fleet.send(0, request);
		return status !== 409;
	});
	for (const host of [0, 1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- One resend after the other.
		const resent = await fleet.send(host, request);
		t.deepEqual([resent.status, resent.outcome, resent.text], [200, 'ran', first?.text]);
	}

	const other = await fleet.send(1, {...request, body: 'another tree'});
	t.deepEqual([other.status, other.outcome], [422, 'not-run']);
	t.is(countRuns(fleet, 'k1'), 1);
});

test('a host without a quorum tells not-run of a keyed request, and goes on serving reads', async t => {
	// Symptom: a transfer runs twice, or a caller waits for ever. Sequence: a host is cut off from the records and its caller
	// sends a keyed request, then sends it again through another host. Cause: a request sent without a claim.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 3});
	fleet.cut(2);
	const request = {path: '/transfers', key: 'k2', body: 'a tree'};
	const refused = await fleet.send(2, request);
	t.deepEqual([refused.status, refused.outcome], [503, 'not-run']);
	t.regex(refused.text, /earlier one/v);
	t.is(countRuns(fleet, 'k2'), 0);
	const read = await fleet.send(2, {path: '/x'});
	t.is(read.status, 200);
	const resent = await fleet.send(0, request);
	t.deepEqual([resent.status, resent.outcome], [200, 'ran']);
	t.is(countRuns(fleet, 'k2'), 1);
});

test('a host lost while it runs a keyed request leaves unknown, never a second run', async t => {
	// Symptom: a booking is made twice, or its caller is told for ever that it is running. Sequence: a host is lost between its
	// send and the settlement, the caller sends again through another host. Cause: a record that ends with its host, or never.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 3});
	for (const started of fleet.standins) {
		started.behave({kind: 'slow', delayMilliseconds: 15_000});
	}

	const request = {path: '/transfers', key: 'k3', body: 'a tree'};
	const running = fleet.send(2, request);
	await waitUntil(async () => countRuns(fleet, 'k3') === 1);
	fleet.cut(2);
	await waitUntil(async () => {
		const {text} = await fleet.send(0, request);
		return text.includes('idempotency-key-outcome-unknown');
	});
	// Without the news that the host is lost, the record would stay `running` until the budget of the request is over.
	t.is(fleet.standins.filter(started => started.counters().inFlight > 0).length, 1, 'the request still runs');
	const told = await running;
	t.deepEqual([told.status, told.outcome], [200, 'ran']);
	const resent = await fleet.send(1, request);
	t.deepEqual([resent.status, resent.outcome], [409, 'unknown']);
	t.is(countRuns(fleet, 'k3'), 1);
});

test('a request that crashes backend servers is stopped after two of them, through whichever hosts it comes', async t => {
	// Symptom: a service loses one backend server after the other. Sequence: the request is sent again by its caller through
	// each host. Cause: each host knows only the crashes that it saw.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 5});
	for (const started of fleet.standins) {
		started.behave({kind: 'crash', mark: 'boom'});
	}

	for (const host of [0, 1, 2, 0, 1, 2, 0, 1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- A caller that sends again and again.
		const told = await fleet.send(host, {path: '/x?boom'});
		t.not(told.status, 200);
	}

	t.is(countCrashed(fleet), 2);
	const told = await Promise.all([0, 1, 2].map(async host => fleet.send(host, {path: '/x?boom'})));
	for (const {status, outcome, text} of told) {
		t.deepEqual([status, outcome], [503, 'not-run']);
		t.regex(text, /quarantined/v);
	}

	const innocent = await Promise.all([0, 1, 2].map(async host => fleet.send(host, {path: '/x'})));
	t.true(innocent.every(({outcome}) => outcome === 'ran' || outcome === 'not-run'));
	t.is(countCrashed(fleet), 2);
});
