/**
Tests of requests that wait, are given up, or meet a backend server that crashes: what the host is told of them.
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
		// eslint-disable-next-line no-await-in-loop -- Waits for what happens on another connection.
		await timers.setImmediate();
	}
}

test('a queued request whose deadline passes is withdrawn and answered', async t => {
	// Symptom: requests are answered long after their deadline, and then run for nobody. Sequence: the queue is long, the
	// deadline passes, the place comes. Cause: only the queue's own clock ended the wait.
	const queue = createQueue();
	const fixture = await openFixture(t, {faults: [[]], admit: queue.admit});
	const answer = await send(fixture, '/x', {headers: {'request-timeout-ms': '20'}});
	t.is(answer.status, 504);
	t.is(answer.outcome, 'not-run');
	t.true(queue.pendingAdmissions[0]?.isCancelled);
	t.deepEqual(fixture.releases, []);
	t.is(fixture.standins[0]?.counters().runs, 0);
});

test('a queued request whose caller leaves is withdrawn', async t => {
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

test('a deadline ends the wait for a body that does not come', async t => {
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
	test(`${title} gives its place back as ${ending}`, async t => {
		const fixture = await openFixture(t, setup);
		await send(fixture, '/x');
		t.deepEqual(fixture.releases.map(release => release.ending), [ending]);
	});
}

test('a lost connection is looked into before the caller is told', async t => {
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
	{title: 'nobody listening', setup: {faults: [], unreachableCount: 1}, ending: 'not-sent'},
];

for (const {title, setup, ending} of TRIALS) {
	test(`a trial ends by ${title} as ${ending}`, async t => {
		const fixture = await openFixture(t, {...setup, quarantineStatus: 'suspect', trial: 'granted'});
		await send(fixture, '/write', {method: 'POST', body: 'boom'});
		t.deepEqual(fixture.trialEndings, [ending]);
	});
}

const SLOW = {kind: 'slow', delayMilliseconds: 600} as const;
const HANGING = {kind: 'slow', delayMilliseconds: 60_000} as const;

const OVERDUE = [
	{
		// Symptom: reads end with their deadline while other upstreams idle, a hundred in a day with a hanging upstream.
		// Sequence: an upstream hangs, its connections stay open; a read is sent there.
		// Cause: an attempt lasted until it failed or the deadline passed.
		title: 'moves to another upstream', method: 'GET', faults: [[HANGING], []], status: 200, endings: ['overdue', 'success'],
	},
	{
		title: 'stays where there is no other, and is answered late', method: 'GET', faults: [[SLOW]], status: 200, endings: ['success'],
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

test('a request that comes before there are routes is served once they are there', async t => {
	// Symptom: after a restart of everything, callers are refused three times within half a second and give up, though the host serves from then on.
	// Sequence: the host listens before it has fetched its routes; callers come back to the address that they had.
	// Cause: whatever came before the routes was refused.
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

test('the time for which routes were waited for is the caller\'s', async t => {
	const fixture = await openFixture(t, {faults: [[]], routes: {areKnown: () => false, wait: async () => timers.setTimeout(50)}});
	const answer = await send(fixture, '/x', {headers: {'request-timeout-ms': '30'}});
	t.is(answer.outcome, 'not-run');
	t.is(fixture.standins[0]?.counters().runs, 0);
});

test('a request tells for how long it was waited for its target', async t => {
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
