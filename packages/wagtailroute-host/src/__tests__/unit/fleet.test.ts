/**
Tests of the guarantees of the fleet on three hosts with real sockets: a keyed request runs once whichever hosts receive it, a
host without a quorum answers not-run, a request that crashes backend servers is quarantined.
*/
import process from 'node:process';
import test, {registerCompletionHandler} from 'ava';
import {startFleet, type FakeFleet, waitUntil} from './fake-fleet.ts';

const HOSTS = 3;

// A host that stops drains until the directory's answers have expired; the tests do not wait for that.
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

test('a keyed request runs once, though it is sent through every host, concurrently and repeatedly', async t => {
	// Guards against a transfer that runs twice, when a caller loses the answer and sends again through another host, or two
	// hosts receive the request at the same time, and each host keeps its own record of keys.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 3});
	const request = {path: '/transfers', key: 'k1', body: 'a tree'};
	const racing = await Promise.all([0, 1, 2, 0, 1, 2].map(async host => fleet.send(host, request)));
	t.is(countRuns(fleet, 'k1'), 1);
	for (const {status, outcome} of racing) {
		t.true((status === 200 && outcome === 'ran') || (status === 409 && outcome === 'unknown'), `${status} ${String(outcome)}`);
	}

	// The answer is settled in the background; until then a resend is answered that the request is running.
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

test('a host without a quorum answers not-run to a keyed request, and goes on serving reads', async t => {
	// Guards against a transfer that runs twice, or a caller that waits for ever, when a host that is cut off from the records
	// sends a keyed request without a claim and its caller sends it again through another host.
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

test('a host lost while it runs a keyed request leaves the outcome unknown, and the request never runs twice', async t => {
	// Guards against a booking that runs twice, or is answered as running for ever, when a host is lost between its send and the
	// settlement and the caller sends again through another host: the record must neither end with its host nor stay running.
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
	// Unless the records learn that the host is lost, the record stays `running` until the deadline of the request.
	t.is(fleet.standins.filter(started => started.counters().inFlight > 0).length, 1, 'the request still runs');
	const answer = await running;
	t.deepEqual([answer.status, answer.outcome], [200, 'ran']);
	const resent = await fleet.send(1, request);
	t.deepEqual([resent.status, resent.outcome], [409, 'unknown']);
	t.is(countRuns(fleet, 'k3'), 1);
});

test('a request that crashes backend servers is quarantined after two of them, whichever hosts receive it', async t => {
	// Guards against a service that loses one backend server after the other, when a caller sends the request again through
	// each host and each host knows only the crashes that it saw.
	const fleet = await startFleet(t, {hosts: HOSTS, standins: 5});
	for (const started of fleet.standins) {
		started.behave({kind: 'crash', mark: 'boom'});
	}

	for (const host of [0, 1, 2, 0, 1, 2, 0, 1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- The caller sends one request after the other.
		const answer = await fleet.send(host, {path: '/x?boom'});
		t.not(answer.status, 200);
	}

	t.is(countCrashed(fleet), 2);
	const answers = await Promise.all([0, 1, 2].map(async host => fleet.send(host, {path: '/x?boom'})));
	for (const {status, outcome, text} of answers) {
		t.deepEqual([status, outcome], [503, 'not-run']);
		t.regex(text, /quarantined/v);
	}

	const innocent = await Promise.all([0, 1, 2].map(async host => fleet.send(host, {path: '/x'})));
	t.true(innocent.every(({outcome}) => outcome === 'ran' || outcome === 'not-run'));
	t.is(countCrashed(fleet), 2);
});
