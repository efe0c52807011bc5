/**
Tests of what a stop does to each kind of request: it is answered whole before its connection closes, and nothing behind it is run.
*/
import * as net from 'node:net';
import * as http from 'node:http';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as utils from 'wagtailroute-utils';
import {connect, MAX_WAIT_MILLISECONDS} from './callers.ts';
import {type Fixture, openFixture} from './fixture.ts';

const WAIT_MILLISECONDS = 10;
const HALF_OPEN = {allowHalfOpen: true};
const SETTLE_MILLISECONDS = 100;
const SENT_PIECES = 10;
const BODY = 'x'.repeat(100_000);
/**
More than the caller's system takes for a caller that reads nothing, and less than both systems' buffers hold.
*/
const WIDE_BODY = 'x'.repeat(400_000);
const NEXT = 'GET /next HTTP/1.1\r\nhost: archive\r\n\r\n';

/**
A backend server whose responses are held back until `release`.
*/
type HeldUpstream = {
	readonly address: {readonly ip: string; readonly port: number};
	/**
	Paths of the requests that have arrived, without their bodies.
	*/
	readonly paths: string[];
	readonly release: () => void;
};

const ANSWERS: Readonly<Record<string, (response: http.ServerResponse) => void>> = {
	'/empty'(response) {
		response.writeHead(204).end();
	},
	'/unchanged'(response) {
		response.writeHead(304, {etag: '"a"'}).end();
	},
	'/chunked'(response) {
		response.write('served');
		response.end();
	},
	'/wide'(response) {
		response.writeHead(200, {'content-length': WIDE_BODY.length}).end(WIDE_BODY);
	},
	'/large'(response) {
		response.writeHead(200, {'content-length': BODY.length}).end(BODY);
	},
};

async function startHeldUpstream(t: ExecutionContext): Promise<HeldUpstream> {
	const paths: string[] = [];
	const held: Array<() => void> = [];
	let isReleased = false;
	const server = http.createServer((message, response) => {
		paths.push(message.url!);
		message.resume();
		message.once('end', () => {
			const answer = () => {
				const send = ANSWERS[message.url!] ?? (() => response.writeHead(200, {'content-length': 6}).end('served'));
				send(response);
			};

			if (isReleased) {
				answer();
			} else {
				held.push(answer);
			}
		});
	});
	const address = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(async () => utils.closeServer(server));
	return {
		address,
		paths,
		release() {
			isReleased = true;
			for (const answer of held) {
				answer();
			}
		},
	};
}

type Case = {
	readonly name: string;
	readonly first: string;
	/**
	Sent after the drain has begun.
	*/
	readonly rest?: string;
	readonly paths: readonly string[];
	readonly expected: RegExp;
};

const SERVED = /^HTTP\/1.1 200 .*\r\n\r\nserved$/sv;
const SERVED_THRICE = /^(?:HTTP\/1.1 200 (?:(?!HTTP).)*?\r\n\r\nserved){3}$/sv;
const POST = 'POST /write HTTP/1.1\r\nhost: archive\r\n';

const CASES: readonly Case[] = [
	{
		name: 'a GET',
		first: 'GET /a HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/a'],
		expected: SERVED,
	},
	{
		name: 'a GET with a large response',
		first: 'GET /large HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/large'],
		expected: /^HTTP\/1.1 200 .*\r\n\r\nx{100000}$/sv,
	},
	{
		name: 'a HEAD',
		first: 'HEAD /a HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/a'],
		expected: /^HTTP\/1.1 200 .*\r\n\r\n$/sv,
	},
	{
		name: 'a request that is answered with 204',
		first: 'GET /empty HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/empty'],
		expected: /^HTTP\/1.1 204 .*\r\n\r\n$/sv,
	},
	{
		name: 'a request that is answered with 304',
		first: 'GET /unchanged HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/unchanged'],
		expected: /^HTTP\/1.1 304 .*\r\n\r\n$/sv,
	},
	{
		name: 'a request with a response in chunks',
		first: 'GET /chunked HTTP/1.1\r\nhost: archive\r\n\r\n',
		paths: ['/chunked'],
		expected: /^HTTP\/1.1 200 .*\r\n\r\n6\r\nserved\r\n0\r\n\r\n$/sv,
	},
	{
		name: 'an HTTP/1.0 request',
		first: 'GET /a HTTP/1.0\r\nhost: archive\r\n\r\n',
		paths: ['/a'],
		expected: SERVED,
	},
	{
		name: 'an HTTP/1.0 request that keeps its connection',
		first: 'GET /a HTTP/1.0\r\nhost: archive\r\nconnection: keep-alive\r\n\r\n',
		paths: ['/a'],
		expected: SERVED,
	},
	{
		name: 'an HTTP/1.0 request with a response without length',
		first: 'GET /chunked HTTP/1.0\r\nhost: archive\r\n\r\n',
		paths: ['/chunked'],
		expected: SERVED,
	},
	{
		name: 'an upload that is still being received',
		first: `${POST}content-length: ${BODY.length * 2}\r\n\r\n${BODY}`,
		rest: BODY,
		paths: ['/write'],
		expected: SERVED,
	},
	{
		name: 'an upload in chunks that is still being received',
		first: `${POST}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`,
		rest: '5\r\nworld\r\n0\r\n\r\n',
		paths: ['/write'],
		expected: SERVED,
	},
	{
		name: 'an upload that waits for 100 Continue',
		first: `${POST}expect: 100-continue\r\ncontent-length: 5\r\n\r\n`,
		rest: 'hello',
		paths: ['/write'],
		expected: /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 .*\r\n\r\nserved$/sv,
	},
	{
		name: 'each of the safe requests that are pipelined',
		first: `GET /a HTTP/1.1\r\nhost: archive\r\n\r\n${NEXT}${NEXT}`,
		paths: ['/a', '/next', '/next'],
		expected: SERVED_THRICE,
	},
	{
		name: 'each of the requests that are pipelined behind an unsafe one',
		first: `${POST}content-length: 5\r\n\r\nhello${NEXT}${NEXT}`,
		paths: ['/write', '/next', '/next'],
		expected: SERVED_THRICE,
	},
];

const STARTS = [
	{name: 'is answered whole when a stop begins meanwhile', isBefore: false},
	{name: 'is answered whole during a stop', isBefore: true},
];

for (const {
	name, first, rest, paths, expected,
} of CASES) {
	for (const {name: start, isBefore} of STARTS) {
		// Guards against requests that were read and are lost with their connection in a stop.
		test(`${name} ${start}`, async t => {
			const upstream = await startHeldUpstream(t);
			let isDraining = isBefore;
			const fixture = await openFixture(t, {faults: [], addresses: [upstream.address], isDraining: () => isDraining});
			const caller = connect(t, fixture, HALF_OPEN);
			caller.socket.write(first);
			await timers.setTimeout(SETTLE_MILLISECONDS);
			isDraining = true;
			const drained = fixture.server.drain();
			if (rest !== undefined) {
				caller.socket.write(rest);
			}

			await timers.setTimeout(SETTLE_MILLISECONDS);
			upstream.release();
			t.true(await caller.waitFor(() => caller.socket.readableEnded), 'the connection is closed');
			caller.socket.end();
			await drained;
			t.regex(caller.received(), expected);
			t.is(caller.received().match(/^connection: close\r$/gimv)?.length, 1, 'the last response announces the close');
			t.deepEqual(upstream.paths, paths);
			t.deepEqual(caller.errors, []);
			t.is(fixture.server.getInFlight(), 0);
		});
	}
}

// Guards against a request that is read between a response with `Connection: close` and the close: it was passed on, and lost with the connection.
test('a request that arrives together with the response that closes its connection is not passed on', async t => {
	const upstream = await startHeldUpstream(t);
	const fixture = await openFixture(t, {faults: [], addresses: [upstream.address], isDraining: () => true});
	const caller = connect(t, fixture, HALF_OPEN);
	caller.socket.write('GET /a HTTP/1.1\r\nhost: archive\r\n\r\n');
	t.true(await caller.waitFor(() => upstream.paths.length === 1));
	await timers.setTimeout(SETTLE_MILLISECONDS);
	// Both run in the same turn of the event loop, so the system has both, in this order, before the host reads either of them.
	setImmediate(upstream.release);
	setImmediate(() => {
		caller.socket.write(NEXT);
	});
	t.true(await caller.waitFor(() => caller.socket.readableEnded), 'the connection is closed');
	t.true(caller.received().endsWith('served'), caller.received());
	await timers.setTimeout(SETTLE_MILLISECONDS);
	t.deepEqual(upstream.paths, ['/a']);
	t.is(fixture.requestReports.length, 1);
});

const REFUSED = [
	{name: 'a malformed request', first: 'GET /a HTTP/1.1\r\nhost archive\r\n\r\n', status: 400},
	{name: 'a header section that is too large', first: `GET /a HTTP/1.1\r\nhost: archive\r\na: ${'x'.repeat(20_000)}\r\n\r\n`, status: 431},
];

for (const {name, first, status} of REFUSED) {
	// Guards against a reset that takes the answer away while the caller still sends.
	test(`the answer to ${name} arrives although its caller sends on`, async t => {
		const fixture = await openFixture(t, {faults: []});
		const caller = connect(t, fixture, HALF_OPEN);
		caller.socket.pause();
		caller.socket.write(first);
		for (let pieces = 0; pieces < SENT_PIECES; pieces++) {
			// eslint-disable-next-line no-await-in-loop -- One piece after the other.
			await timers.setTimeout(WAIT_MILLISECONDS);
			caller.socket.write(BODY);
		}

		caller.socket.resume();
		t.true(await caller.waitFor(() => caller.socket.readableEnded), 'the connection is closed');
		t.true(caller.received().startsWith(`HTTP/1.1 ${status} `), caller.received());
		t.regex(caller.received(), /\}$/v);
		t.deepEqual(caller.errors, []);
	});

	// Guards against callers that take descriptors for as long as they like.
	test(`the connection of ${name} is closed although its caller does not close it`, async t => {
		const fixture = await openFixture(t, {faults: []});
		const caller = connect(t, fixture, HALF_OPEN);
		caller.socket.write(first);
		t.true(await caller.waitFor(() => caller.socket.readableEnded));
		t.is(await Promise.race([fixture.server.drain(), timers.setTimeout(MAX_WAIT_MILLISECONDS, 'held')]), undefined);
	});
}

/**
An address of this process alone, with a port that no other test uses there.
*/
const FORWARDING_ADDRESS = {ip: `127.8.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`, port: 8149};

const SERVERS = [
	{name: 'callers', getAddress: ({address}: Fixture) => address},
	{name: 'other hosts', getAddress: () => FORWARDING_ADDRESS},
];

// Guards against a reset that cuts a response which its reader has not taken, because bytes of a next request come behind it.
test('a response to a slow reader arrives whole during a stop although its caller sends on, on the server for each kind of caller', async t => {
	const upstream = await startHeldUpstream(t);
	upstream.release();
	const fixture = await openFixture(t, {
		faults: [], addresses: [upstream.address], isDraining: () => true, forwardingAddress: FORWARDING_ADDRESS,
	});
	const callers = SERVERS.map(({getAddress}) => connect(t, {address: getAddress(fixture)}, HALF_OPEN));
	for (const {socket} of callers) {
		socket.pause();
		socket.write('GET /wide HTTP/1.1\r\nhost: archive\r\n\r\n');
	}

	await timers.setTimeout(SETTLE_MILLISECONDS * 3);
	const drained = fixture.server.drain();
	for (const {socket} of callers) {
		socket.write(NEXT);
	}

	await timers.setTimeout(SETTLE_MILLISECONDS);
	for (const [index, caller] of callers.entries()) {
		caller.socket.resume();
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		t.true(await caller.waitFor(() => caller.socket.readableEnded), SERVERS[index]!.name);
		t.is(caller.received().length - caller.received().indexOf('\r\n\r\n') - 4, WIDE_BODY.length, SERVERS[index]!.name);
		t.deepEqual(caller.errors, []);
		caller.socket.end();
	}

	await drained;
	t.deepEqual(upstream.paths, ['/wide', '/wide']);
});
