/**
Tests of requests that wait, are aborted, or meet a backend server that crashes, and of what is reported to the host.
*/
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test from 'ava';
import * as undici from 'undici';
import type * as proxy from '../../index.ts';
import {openFixture, send, type Setup} from './fixture.ts';

function createQueue(): {readonly admit: proxy.ServicePort['admit']; readonly pendingAdmissions: Array<{isCancelled: boolean}>} {
	const pendingAdmissions: Array<{isCancelled: boolean}> = [];
	return {
		pendingAdmissions,
		admit() {
			const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure | undefined>();
			const pending = {isCancelled: false};
			pendingAdmissions.push(pending);
			return {
				result: promise,
				cancel() {
					pending.isCancelled = true;
					resolve({kind: 'deadline-before-send', message: 'Given up.'});
				},
			};
		},
	};
}

async function waitUntil(hasHappened: () => boolean): Promise<void> {
	while (!hasHappened()) {
		// eslint-disable-next-line no-await-in-loop -- Waits for an event on another connection.
		await timers.setImmediate();
	}
}

test('a queued request whose deadline passes is withdrawn and answered', async t => {
	// Guards against requests that are run after their deadline: they are admitted late from a long queue, because only the timer
	// of the queue ends the wait.
	const queue = createQueue();
	const fixture = await openFixture(t, {faults: [[]], admit: queue.admit});
	const answer = await send(fixture, '/x', {headers: {'request-timeout-ms': '20'}});
	t.is(answer.status, 504);
	t.is(answer.outcome, 'not-run');
	t.true(queue.pendingAdmissions[0]?.isCancelled);
	t.deepEqual(fixture.releases, []);
	t.is(fixture.standins[0]?.counters().runs, 0);
});

test('a queued request whose caller disconnects is withdrawn', async t => {
	const queue = createQueue();
	const fixture = await openFixture(t, {faults: [[]], admit: queue.admit});
	const controller = new AbortController();
	const sent = undici.request(`${fixture.origin}/x`, {signal: controller.signal});
	await waitUntil(() => queue.pendingAdmissions.length > 0);
	controller.abort();
	await t.throwsAsync(sent);
	await waitUntil(() => fixture.requestReports.length > 0);
	t.true(queue.pendingAdmissions[0]?.isCancelled);
	t.is(fixture.requestReports[0]?.failure?.kind, 'cancelled-before-send');
});

test('the deadline ends the wait for a body that does not arrive', async t => {
	const fixture = await openFixture(t, {faults: [[]]});
	const socket = net.connect(fixture.address.port, fixture.address.ip);
	socket.write('POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nRequest-Timeout-Ms: 20\r\n\r\nhe');
	const parts: string[] = [];
	for await (const part of socket) {
		parts.push(String(part));
	}

	t.regex(parts.join(''), /^http\/1\.1 504 [\s\S]*wagtailroute-outcome: not-run/iv);
	t.is(fixture.releases[0]?.ending, 'failed');
});

const ENDINGS: ReadonlyArray<{readonly title: string; readonly setup: Setup; readonly ending: proxy.ReleaseEnding}> = [
	{title: 'an answer', setup: {faults: [[]]}, ending: 'completed'},
	{title: 'a shed', setup: {faults: [[{kind: 'shed'}]]}, ending: 'overloaded'},
	{title: 'an error', setup: {faults: [[{kind: 'fail', status: 500}]]}, ending: 'failed'},
	{title: 'a reset', setup: {faults: [[{kind: 'reset'}]]}, ending: 'failed'},
	{title: 'no upstream', setup: {faults: []}, ending: 'failed'},
];

for (const {title, setup, ending} of ENDINGS) {
	test(`${title} is released to admission as ${ending}`, async t => {
		const fixture = await openFixture(t, setup);
		await send(fixture, '/x');
		t.deepEqual(fixture.releases.map(release => release.ending), [ending]);
	});
}

test('a lost connection is checked for a crash before the caller is answered', async t => {
	const fixture = await openFixture(t, {faults: [[{kind: 'reset'}]], hasCrashed: true});
	const answer = await send(fixture, '/write', {method: 'POST', body: 'boom'});
	t.like(JSON.parse(answer.text), {type: 'urn:wagtailroute:problem:upstream-crashed', outcome: 'unknown'});
	t.is(fixture.lostAttempts.length, 1);
	t.false(fixture.lostAttempts[0]?.isOnTrial);
	t.true(fixture.attemptReports[0]?.hasCrashed, 'no evidence against the server');
});

const TRIALS: ReadonlyArray<{readonly title: string; readonly setup: Setup; readonly ending: proxy.TrialEnding}> = [
	{title: 'an answer', setup: {faults: [[]]}, ending: 'completed'},
	{title: 'an error', setup: {faults: [[{kind: 'fail', status: 500}]]}, ending: 'completed'},
	{title: 'a loss', setup: {faults: [[{kind: 'reset'}]]}, ending: 'lost'},
	{title: 'a refused connection', setup: {faults: [], unreachableCount: 1}, ending: 'not-sent'},
];

for (const {title, setup, ending} of TRIALS) {
	test(`a trial with ${title} ends as ${ending}`, async t => {
		const fixture = await openFixture(t, {...setup, quarantineStatus: 'suspect', trial: 'granted'});
		await send(fixture, '/write', {method: 'POST', body: 'boom'});
		t.deepEqual(fixture.trialEndings, [ending]);
	});
}

const SLOW = {kind: 'slow', delayMilliseconds: 600} as const;
const HANGING = {kind: 'slow', delayMilliseconds: 60_000} as const;

const OVERDUE = [
	{
		// Guards against reads that end with their deadline while other upstreams are idle, a hundred in a day with a hanging upstream:
		// its connections stay open, and an attempt there lasts until the deadline.
		title: 'moves to another upstream', method: 'GET', faults: [[HANGING], []], status: 200, endings: ['overdue', 'success'],
	},
	{
		title: 'stays when there is no other upstream, and is answered late', method: 'GET', faults: [[SLOW]], status: 200, endings: ['success'],
	},
	{
		title: 'stays when it may not be repeated', method: 'POST', faults: [[SLOW], []], status: 200, endings: ['success'],
	},
	{
		title: 'moves on from upstream to upstream', method: 'GET', faults: [[HANGING], [HANGING], []], status: 200, endings: ['overdue', 'overdue', 'success'],
	},
] as const;

for (const {title, method, faults, status, endings} of OVERDUE) {
	test(`a request whose answer is overdue ${title}`, async t => {
		const fixture = await openFixture(t, {faults, overdueMilliseconds: 100});
		const answer = await send(fixture, method === 'POST' ? '/write' : '/x', {method, body: method === 'POST' ? 'x' : undefined});
		t.is(answer.status, status);
		t.deepEqual(fixture.attemptReports.map(report => report.ending), [...endings]);
	});
}

test('a request that arrives before the routes are loaded is served once they are', async t => {
	// Guards against refusals after a restart of all hosts: a host listens before it has fetched its routes, callers return to the address that they know,
	// and are refused three times within half a second and give up, although the host serves directly after that.
	const {promise, resolve} = Promise.withResolvers<void>();
	let waitCount = 0;
	const fixture = await openFixture(t, {
		faults: [[]],
		routes: {
			areKnown: () => false,
			async wait() {
				waitCount++;
				return promise;
			},
		},
	});
	const sent = send(fixture, '/x');
	await waitUntil(() => waitCount === 1);
	t.is(fixture.standins[0]?.counters().runs, 0);
	resolve();
	const answer = await sent;
	t.is(answer.status, 200);
});

test('the wait for routes counts towards the deadline', async t => {
	const fixture = await openFixture(t, {faults: [[]], routes: {areKnown: () => false, wait: async () => timers.setTimeout(50)}});
	const answer = await send(fixture, '/x', {headers: {'request-timeout-ms': '30'}});
	t.is(answer.outcome, 'not-run');
	t.is(fixture.standins[0]?.counters().runs, 0);
});

test('a request reports how long it waited for its target', async t => {
	const {promise, resolve} = Promise.withResolvers<void>();
	const fixture = await openFixture(t, {faults: [[]], beforeTarget: promise});
	const sent = send(fixture, '/x');
	await timers.setImmediate();
	resolve();
	await sent;
	await waitUntil(() => fixture.requestReports.length > 0);
	const {choosingMilliseconds, milliseconds} = fixture.requestReports[0]!;
	t.true(choosingMilliseconds > 0 && choosingMilliseconds <= milliseconds);
});

for (const {isForwarding, survivals} of [{isForwarding: false, survivals: 1}, {isForwarding: true, survivals: 0}]) {
	test(`an answer of ${isForwarding ? 'another host' : 'a backend server'} shows ${survivals} survivals`, async t => {
		// Guards against crash records that are cleared because another host answered that it refuses the request.
		const fixture = await openFixture(t, {faults: [[]], isForwarding});
		const {status} = await send(fixture, '/x');
		t.is(status, 200);
		t.is(fixture.survivals.length, survivals);
	});
}
