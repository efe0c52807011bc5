/**
Tests of how connections are closed: what reaches a caller that still sends or reads slowly, and how long a connection may linger.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as utils from '../../index.ts';
import {type Caller, connect} from './callers.ts';

/**
More than the caller's system takes for a caller that reads nothing, and less than both systems' buffers hold.
*/
const BODY_BYTES = 400_000;
const ARRIVAL_MILLISECONDS = 50;
const SLACK_MILLISECONDS = 1000;
const MAX_CONNECTIONS = 3;
const SMALL_BYTES = 6;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const CLOSING_REQUEST = REQUEST.replace('\r\n\r\n', '\r\nconnection: close\r\n\r\n');
const SMALL_REQUEST = REQUEST.replace('/', '/small');
const CLOSING_HELD_REQUEST = CLOSING_REQUEST.replace('/', '/held');

type Fixture = {
	readonly port: number;
	readonly server: http.Server;
	readonly drain: () => Promise<void>;
	/**
	Paths of the requests that were handed over.
	*/
	readonly served: string[];
	/**
	Resolves as soon as the system has taken a whole response.
	*/
	readonly written: Promise<void>;
	/**
	Answers the requests for `/held`.
	*/
	readonly release: () => void;
};

async function open(t: ExecutionContext): Promise<Fixture> {
	const served: string[] = [];
	const {promise: written, resolve} = Promise.withResolvers<void>();
	const held: Array<() => void> = [];
	const server = http.createServer((message, response) => {
		served.push(message.url!);
		response.once('finish', () => {
			resolve();
		});
		const bytes = message.url === '/' ? BODY_BYTES : SMALL_BYTES;
		const answer = () => {
			response.writeHead(200, {'content-length': bytes});
			response.end(buffer.Buffer.alloc(bytes, 'x'));
		};

		if (message.url === '/held') {
			held.push(answer);
		} else {
			answer();
		}
	});
	const drain = utils.createDrain(server);
	const {port} = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return {
		port,
		server,
		drain,
		served,
		written,
		release() {
			for (const answer of held) {
				answer();
			}
		},
	};
}

function getBodyBytes(caller: Caller): number {
	return caller.received().length - caller.received().indexOf('\r\n\r\n') - 4;
}

type Case = {
	readonly name: string;
	readonly request: string;
	/**
	Runs once the system has taken the whole response, of which the caller has read nothing.
	*/
	readonly close: (fixture: Fixture, caller: Caller) => Promise<void>;
};

const CASES: readonly Case[] = [
	{
		name: 'an idle connection that is closed while a next request waits unread',
		request: REQUEST,
		async close({server, drain}, {socket}) {
			socket.write(REQUEST);
			server.closeIdleConnections();
			await drain();
		},
	},
	{
		name: 'an idle connection that a drain closes before a next request arrives',
		request: REQUEST,
		async close({drain}, {socket}) {
			const drained = drain();
			await timers.setTimeout(ARRIVAL_MILLISECONDS);
			socket.write(REQUEST);
			await drained;
		},
	},
	{
		name: 'a connection that its response closes while a next request waits unread',
		request: CLOSING_REQUEST,
		async close(_fixture, {socket}) {
			socket.write(REQUEST);
		},
	},
	{
		name: 'a connection that its response closes before a next request arrives',
		request: CLOSING_REQUEST,
		async close(_fixture, {socket}) {
			await timers.setTimeout(ARRIVAL_MILLISECONDS);
			socket.write(REQUEST);
		},
	},
	{
		name: 'a connection of an HTTP/1.0 caller before a next request arrives',
		request: REQUEST.replace('1.1', '1.0'),
		async close(_fixture, {socket}) {
			await timers.setTimeout(ARRIVAL_MILLISECONDS);
			socket.write(REQUEST);
		},
	},
];

for (const {name, request, close} of CASES) {
	// Guards against a reset: the system drops what of a response it has not sent yet when a connection is closed with unread bytes, or gets bytes after its close.
	test(`the response arrives whole on ${name}`, async t => {
		const fixture = await open(t);
		const caller = connect(t, fixture.port);
		caller.socket.pause();
		caller.socket.write(request);
		await fixture.written;
		const closing = close(fixture, caller);
		await timers.setTimeout(ARRIVAL_MILLISECONDS * 3);
		caller.socket.resume();
		t.true(await caller.waitFor(() => caller.socket.closed), 'the connection is closed');
		await closing;
		t.is(getBodyBytes(caller), BODY_BYTES);
		t.deepEqual(caller.errors, []);
		t.deepEqual(fixture.served, ['/'], 'the next request is not run');
	});
}

type Straggler = {
	readonly name: string;
	readonly maxMilliseconds: number;
	/**
	Runs every `ARRIVAL_MILLISECONDS` after the connection was closed for writing.
	*/
	readonly act?: (caller: Caller) => void;
};

const STRAGGLERS: readonly Straggler[] = [
	{name: 'never closes its connection', maxMilliseconds: utils.LINGER_MILLISECONDS},
	{
		name: 'sends on without end',
		maxMilliseconds: utils.MAX_LINGER_MILLISECONDS,
		act({socket}) {
			socket.write(REQUEST);
		},
	},
];

for (const {name, maxMilliseconds, act} of STRAGGLERS) {
	// Guards against a connection that holds a drain, or a descriptor, for as long as its caller likes.
	test(`a caller that ${name} delays a drain for a bounded time`, async t => {
		const {port, drain, served} = await open(t);
		const caller = connect(t, port, {allowHalfOpen: true});
		caller.socket.write(REQUEST);
		t.true(await caller.waitFor(() => getBodyBytes(caller) === BODY_BYTES));
		const startedAt = performance.now();
		const drained = drain();
		const interval = setInterval(() => act?.(caller), ARRIVAL_MILLISECONDS);
		t.teardown(() => {
			clearInterval(interval);
		});
		await drained;
		const milliseconds = performance.now() - startedAt;
		t.true(milliseconds < maxMilliseconds + SLACK_MILLISECONDS, `${Math.round(milliseconds)} ms`);
		t.true(milliseconds > maxMilliseconds - SLACK_MILLISECONDS, `${Math.round(milliseconds)} ms`);
		t.deepEqual(served, ['/']);
	});
}

test('a caller that closes its connection does not delay a drain', async t => {
	const {port, drain} = await open(t);
	const caller = connect(t, port);
	caller.socket.write(REQUEST);
	t.true(await caller.waitFor(() => getBodyBytes(caller) === BODY_BYTES));
	const startedAt = performance.now();
	await drain();
	t.true(performance.now() - startedAt < SLACK_MILLISECONDS);
});

// Guards against a connection that is read no further, on which the end of its caller's side is never seen.
test('a paused connection that its response closes is read, and closed with its caller', async t => {
	const {port, server, written} = await open(t);
	const closed = Promise.withResolvers<number>();
	server.on('request', ({socket}: http.IncomingMessage) => {
		socket.pause();
		socket.once('close', () => {
			closed.resolve(performance.now());
		});
	});
	const caller = connect(t, port);
	caller.socket.write(CLOSING_REQUEST);
	await written;
	const startedAt = performance.now();
	t.true(await closed.promise - startedAt < SLACK_MILLISECONDS);
	t.is(getBodyBytes(caller), BODY_BYTES);
});

type Crowd = {
	readonly name: string;
	/**
	Request of the slow reader.
	*/
	readonly request: string;
	/**
	Request of each of the other callers.
	*/
	readonly otherRequest: string;
	/**
	Runs once the system has taken the response to the slow reader, and has each connection linger.
	*/
	readonly close: (fixture: Fixture) => Promise<void>;
	readonly isWhole: boolean;
};

const CROWDS: readonly Crowd[] = [
	{
		name: 'a drain closes them as idle',
		request: REQUEST,
		otherRequest: SMALL_REQUEST,
		async close({drain}) {
			void drain();
		},
		isWhole: true,
	},
	{
		name: 'a drain closes it as idle, and the others behind their responses',
		request: REQUEST,
		otherRequest: CLOSING_HELD_REQUEST,
		async close({drain, release}) {
			void drain();
			await timers.setTimeout(ARRIVAL_MILLISECONDS);
			release();
		},
		isWhole: true,
	},
	{
		name: 'its response has closed its connection, and a drain closes the others as idle',
		request: CLOSING_REQUEST,
		otherRequest: SMALL_REQUEST,
		async close({drain}) {
			void drain();
		},
		isWhole: true,
	},
	{
		name: 'its response has closed its connection, and the others are closed behind their responses while a drain begins',
		request: CLOSING_REQUEST,
		otherRequest: CLOSING_HELD_REQUEST,
		async close({drain, release}) {
			void drain();
			release();
		},
		isWhole: true,
	},
	{
		name: 'a server at work closes all behind their responses',
		request: CLOSING_REQUEST,
		otherRequest: CLOSING_HELD_REQUEST,
		async close({release}) {
			release();
		},
		isWhole: false,
	},
];

for (const {name, request, otherRequest, close, isWhole} of CROWDS) {
	// Guards against a drain that cuts responses on their way, as more connections than a server at work may have linger at once.
	test.serial(`the response to a slow reader beside many others that never close their connections, where ${name}`, async t => {
		const fixture = await open(t);
		const slow = connect(t, fixture.port);
		slow.socket.pause();
		slow.socket.write(request);
		await fixture.written;
		const others = Array.from({length: utils.MAX_LINGERING_CONNECTIONS}, () => connect(t, fixture.port, {allowHalfOpen: true}));
		for (const {socket} of others) {
			socket.write(otherRequest);
		}

		t.true(await slow.waitFor(() => fixture.served.length === others.length + 1), 'all requests are received');
		await close(fixture);
		t.true(await slow.waitFor(() => others.every(({socket}) => socket.readableEnded || socket.destroyed)), 'all connections linger');
		// Beyond the bound the connection is closed entirely by now, and the system answers further bytes with a reset.
		slow.socket.write(REQUEST);
		await timers.setTimeout(ARRIVAL_MILLISECONDS);
		slow.socket.resume();
		t.true(await slow.waitFor(() => slow.socket.closed), 'the connection is closed');
		t.is(getBodyBytes(slow) === BODY_BYTES, isWhole, `${getBodyBytes(slow)} of ${BODY_BYTES} bytes arrived`);
	});
}

// Guards against callers that never close their connections and take all descriptors of the process.
test('of the connections that linger, the longest ones are closed beyond a number', async t => {
	const lingering: net.Socket[] = [];
	const closeLingering = utils.createLingeringClose(() => MAX_CONNECTIONS);
	const server = net.createServer({allowHalfOpen: true}, socket => {
		lingering.push(socket);
		closeLingering(socket);
	});
	const {port} = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(() => server.close());
	const callers = Array.from({length: MAX_CONNECTIONS + 2}, () => connect(t, port, {allowHalfOpen: true}));
	t.true(await callers[0]!.waitFor(() => lingering.length === callers.length));
	t.deepEqual(lingering.map(({destroyed}) => destroyed), [true, true, false, false, false]);
});
