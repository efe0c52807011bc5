/**
Tests of how a stopping traffic server ends requests that it can't finish, and which ones it still starts.
*/
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as utils from 'wagtailroute-utils';
import type * as core from 'wagtailroute-core';
import * as proxy from '../../index.ts';
import {openFixture, type Setup} from './fixture.ts';
import {startRawUpstream} from './raw-upstream.ts';

const NEVER = Promise.withResolvers<never>().promise;
const POLL_MILLISECONDS = 10;
const KEPT_MILLISECONDS = 2000;
const READ = 'GET /x HTTP/1.1\r\nhost: a\r\n\r\n';
const HALF_RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhe';

type Caller = {
	readonly socket: net.Socket;
	/**
	Everything that was received until the connection closed.
	*/
	readonly received: Promise<string>;
};

function connect(t: ExecutionContext, address: core.Address): Caller {
	const socket = net.connect(address.port, address.ip);
	const {promise, resolve} = Promise.withResolvers<string>();
	const parts: string[] = [];
	socket.on('data', chunk => {
		parts.push(String(chunk));
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		resolve(parts.join(''));
	});
	t.teardown(() => {
		socket.destroy();
	});
	return {socket, received: promise};
}

async function waitUntil(check: () => boolean): Promise<void> {
	while (!check()) {
		// eslint-disable-next-line no-await-in-loop -- Waits for an event on another connection.
		await timers.setTimeout(POLL_MILLISECONDS);
	}
}

function createPendingAdmission(): proxy.PendingAdmission {
	const {promise, resolve} = Promise.withResolvers<proxy.RequestFailure>();
	return {
		result: promise,
		cancel() {
			resolve(proxy.createRequestFailure('queue-timeout', 'Withdrawn.'));
		},
	};
}

type AbortCase = {
	readonly title: string;
	readonly waitsFor: proxy.WaitCause;
	readonly setup?: Partial<Setup>;
	readonly text?: string;
	/**
	What the upstream sends of its response.
	*/
	readonly head?: string;
	readonly status: number;
	readonly kind: proxy.RequestFailureKind;
};

const NOT_RUN = {status: 503, kind: 'host-draining'} as const;

const ABORT_CASES: readonly AbortCase[] = [
	{
		title: 'waits for routes', waitsFor: 'routes', setup: {routes: {areKnown: () => false, wait: async () => NEVER}}, ...NOT_RUN,
	},
	{
		title: 'waits for admission', waitsFor: 'admission', setup: {admit: createPendingAdmission}, ...NOT_RUN,
	},
	{
		title: 'is not received whole', waitsFor: 'body', text: 'POST /write HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhe', ...NOT_RUN,
	},
	{
		title: 'waits for a slot', waitsFor: 'slot', setup: {isSlotPending: true}, ...NOT_RUN,
	},
	{
		title: 'was forwarded and waits for a slot',
		waitsFor: 'slot',
		setup: {isSlotPending: true},
		text: `GET /x HTTP/1.1\r\nhost: a\r\n${proxy.FORWARDED_HEADER}: other\r\n\r\n`,
		status: 503,
		kind: 'forwarding-refused',
	},
	{
		title: 'was sent', waitsFor: 'upstream', status: 504, kind: 'deadline-after-send',
	},
];

for (const {
	title, waitsFor, setup, text = READ, status, kind,
} of ABORT_CASES) {
	// Guards against a stop that closes the connections of all requests in flight at once, those that have never been sent among them.
	test(`a request that ${title} when its host has to end is answered with ${status}`, async t => {
		let isDraining = false;
		const upstream = await startRawUpstream(t, () => undefined);
		const fixture = await openFixture(t, {
			faults: [], addresses: [upstream.address], isDraining: () => isDraining, ...setup,
		});
		const {socket, received} = connect(t, fixture.address);
		socket.write(text);
		const sent = waitsFor === 'upstream' ? 1 : 0;
		await waitUntil(() => fixture.server.listInProgress()[0]?.waitsFor === waitsFor && upstream.paths.length === sent);
		isDraining = true;
		fixture.server.limitTime(performance.now());
		fixture.server.abort('unanswered');
		await waitUntil(() => fixture.requestReports.length > 0);
		// What is left of a body that the caller doesn't send is waited for.
		fixture.server.abort('all');
		const answer = await received;
		t.true(answer.startsWith(`HTTP/1.1 ${status} `), `received: ${answer}`);
		t.regex(answer, /^connection: close\r$/imv);
		t.true(answer.includes(`urn:wagtailroute:problem:${kind}`), `received: ${answer}`);
		t.is(/^retry-after: \d/imv.test(answer), status === 503);
		t.is(upstream.paths.length, sent);
		t.true(fixture.attemptReports.every(({ending}) => ending === 'cancelled'), 'no evidence against the upstream');
	});
}

const ENDINGS: ReadonlyArray<{readonly title: string; readonly setup: Partial<Setup>; readonly text?: string; readonly status: number}> = [
	{title: 'relayed response', setup: {faults: [[{kind: 'slow', delayMilliseconds: 200}]]}, status: 200},
	{title: 'relayed failure', setup: {faults: [[{kind: 'slow', delayMilliseconds: 200}, {kind: 'fail', status: 500}]]}, status: 500},
	{title: 'failure of the host', setup: {timeoutMilliseconds: 200, isSlotPending: true}, status: 504},
	{
		title: 'stored answer',
		setup: {claim: {kind: 'stored', answer: {status: 201, headers: {}, body: ''}}, admit: () => ({result: timers.setTimeout(200, undefined), cancel: () => undefined})},
		text: 'POST /write HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\ncontent-length: 1\r\n\r\nx',
		status: 201,
	},
];

for (const {
	title, setup, text = READ, status,
} of ENDINGS) {
	// Guards against callers that keep a connection to a stopping host for their next request, because the stop began after the last one had arrived.
	test(`a ${title} to a request that arrived before the stop closes its connection`, async t => {
		let isDraining = false;
		const fixture = await openFixture(t, {faults: [], isDraining: () => isDraining, ...setup});
		const {socket, received} = connect(t, fixture.address);
		socket.write(text);
		await waitUntil(() => fixture.server.getInFlight() > 0);
		isDraining = true;
		const answer = await Promise.race([received, timers.setTimeout(KEPT_MILLISECONDS, 'The connection was kept.')]);
		t.true(answer.startsWith(`HTTP/1.1 ${status} `), `received: ${answer}`);
		t.regex(answer, /^connection: close\r$/imv);
	});
}

test('pipelined requests that are in flight when a stop begins are all answered', async t => {
	// Guards against a response that closes the connection while others behind it have been passed on.
	let isDraining = false;
	const fixture = await openFixture(t, {faults: [[{kind: 'slow', delayMilliseconds: 200}]], isDraining: () => isDraining});
	const {socket, received} = connect(t, fixture.address);
	socket.write(`${READ}${READ}${READ}`);
	await waitUntil(() => fixture.server.getInFlight() === 3);
	isDraining = true;
	void fixture.server.drain();
	const answer = await received;
	t.is(answer.match(/HTTP\/1\.1 200 /gv)?.length, 3, `received: ${answer}`);
});

const RESPONSES = [
	{title: 'finished when its last bytes come in time', isFinished: true},
	{title: 'cut off when they do not', isFinished: false},
];

for (const {title, isFinished} of RESPONSES) {
	test(`a response that has begun when its host has to end is ${title}`, async t => {
		const sockets: net.Socket[] = [];
		const upstream = net.createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(HALF_RESPONSE);
			});
		});
		const address = await utils.listen(upstream, {ip: '127.0.0.1', port: 0});
		t.teardown(() => {
			for (const socket of sockets) {
				socket.destroy();
			}

			upstream.close();
		});
		const fixture = await openFixture(t, {faults: [], addresses: [address]});
		const {socket, received} = connect(t, fixture.address);
		socket.write(READ.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n'));
		await waitUntil(() => fixture.server.listInProgress()[0]?.waitsFor === 'response');
		fixture.server.abort('unanswered');
		if (isFinished) {
			sockets[0]!.write('llo');
			await waitUntil(() => fixture.server.getInFlight() === 0);
		}

		fixture.server.abort('all');
		const answer = await received;
		t.true(answer.endsWith(isFinished ? '\r\n\r\nhello' : '\r\n\r\nhe'), `received: ${answer}`);
	});
}

const TIME_LEFT_MILLISECONDS = 1000;

const LATE_CASES = [
	{
		title: 'its own limit ends before the host does', timeoutMilliseconds: 500, status: 200, headers: '',
	},
	{
		title: 'its own limit is longer', timeoutMilliseconds: 3000, status: 503, headers: '',
	},
	{
		title: 'it states no limit and its route has a longer one', timeoutMilliseconds: undefined, status: 503, headers: '',
	},
	{
		title: 'it was forwarded and its limit is longer', timeoutMilliseconds: 3000, status: 503, headers: `${proxy.FORWARDED_HEADER}: other\r\n`,
	},
];

for (const {title, timeoutMilliseconds, status, headers} of LATE_CASES) {
	// Guards against a request that comes late on an open connection, is passed on to an upstream and loses its connection when the host ends.
	test(`a late request is answered with ${status} when ${title}`, async t => {
		const fixture = await openFixture(t, {faults: [[]], isDraining: () => true});
		const {socket, received} = connect(t, fixture.address);
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
		});
		// The server has the connection once another one, opened later, has been served.
		const other = connect(t, fixture.address);
		other.socket.write(READ);
		await other.received;
		fixture.server.limitTime(performance.now() + TIME_LEFT_MILLISECONDS);
		const drained = fixture.server.drain();
		const timeout = timeoutMilliseconds === undefined ? '' : `request-timeout-ms: ${timeoutMilliseconds}\r\n`;
		socket.write(`POST /write HTTP/1.1\r\nhost: a\r\n${headers}${timeout}content-length: 1\r\n\r\nx`);
		const answer = await received;
		t.true(answer.startsWith(`HTTP/1.1 ${status} `), `received: ${answer}`);
		t.regex(answer, /^connection: close\r$/imv);
		t.is(answer.includes(headers === '' ? 'problem:host-draining' : 'problem:forwarding-refused'), status === 503);
		t.is(fixture.standins[0]!.counters().runs, status === 503 ? 1 : 2);
		t.like(fixture.requestReports.at(-1), {status, attempts: status === 503 ? 0 : 1});
		await drained;
	});
}

const DEADLINES = [
	{
		title: 'shortened to the end of its host', limitMilliseconds: 1000, min: 1, max: 1000,
	},
	{
		title: 'its own when that is sooner', limitMilliseconds: 4000, min: 1001, max: 2000,
	},
];

for (const {title, limitMilliseconds, min, max} of DEADLINES) {
	test(`the deadline that an upstream is told is ${title}`, async t => {
		const told: number[] = [];
		const upstream = http.createServer((message, response) => {
			told.push(Number(message.headers['request-timeout-ms']));
			response.end();
		});
		const address = await utils.listen(upstream, {ip: '127.0.0.1', port: 0});
		t.teardown(async () => utils.closeServer(upstream));
		const fixture = await openFixture(t, {faults: [], addresses: [address]});
		fixture.server.limitTime(performance.now() + limitMilliseconds);
		const {socket, received} = connect(t, fixture.address);
		socket.write('GET /x HTTP/1.1\r\nhost: a\r\nrequest-timeout-ms: 2000\r\nconnection: close\r\n\r\n');
		const answer = await received;
		t.true(answer.startsWith('HTTP/1.1 200 '));
		t.true(told[0]! >= min && told[0]! <= max, String(told));
	});
}
