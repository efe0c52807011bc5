/**
Tests of drains of HTTP servers: which connections are closed, and when.
*/
import * as buffer from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as utils from '../../index.ts';
import {type Caller, connect, MAX_WAIT_MILLISECONDS} from './callers.ts';

const LARGE_BYTES = 20_000_000;
const SLOW_MILLISECONDS = 300;
const SETTLE_MILLISECONDS = 50;
const WAITING_CALLERS = 100;
const BUSY_MILLISECONDS = 10;
const MAX_CLOSE_MILLISECONDS = 1000;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

type Fixture = {
	readonly drain: () => Promise<void>;
	readonly connect: (options?: Partial<net.TcpNetConnectOpts>) => Caller;
	readonly served: string[];
};

/**
Answers `/large` with more than the system's buffers hold, `/slow` after a while, `/busy` with much processor time, all others at once.
*/
async function open(t: ExecutionContext): Promise<Fixture> {
	const served: string[] = [];
	const server = http.createServer((message, response) => {
		served.push(message.url!);
		if (message.url === '/busy') {
			spendProcessorTime(BUSY_MILLISECONDS);
		}

		if (message.url === '/large') {
			response.writeHead(200, {'content-length': LARGE_BYTES});
			response.end(buffer.Buffer.alloc(LARGE_BYTES, 'x'));
		} else {
			setTimeout(() => {
				response.end('served');
			}, message.url === '/slow' ? SLOW_MILLISECONDS : 0);
		}
	});
	const drain = utils.createDrain(server);
	const {port} = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return {drain, served, connect: options => connect(t, port, options)};
}

function spendProcessorTime(milliseconds: number): void {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// Spins.
	}
}

// Guards against a response whose last bytes are lost: it was ended, but its reader had not taken them when the drain began.
test('a response that was ended and not yet written is written whole', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller();
	caller.socket.pause();
	caller.socket.write(REQUEST.replace('/', '/large'));
	await caller.waitFor(() => served.length === 1);
	await timers.setTimeout(SETTLE_MILLISECONDS);
	const drained = drain();
	await timers.setTimeout(SETTLE_MILLISECONDS);
	caller.socket.resume();
	await drained;
	await caller.waitFor(() => caller.socket.closed);
	t.is(caller.received().length - caller.received().indexOf('\r\n\r\n') - 4, LARGE_BYTES);
});

// Guards against the same while another connection becomes idle, at which all idle ones are looked for.
test('another connection that becomes idle meanwhile cuts no response', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const [reader, other] = [connectCaller(), connectCaller()];
	reader.socket.pause();
	reader.socket.write(REQUEST.replace('/', '/large'));
	other.socket.write(REQUEST.replace('/', '/slow'));
	await reader.waitFor(() => served.length === 2);
	const drained = drain();
	t.true(await other.waitFor(() => other.socket.closed));
	t.true(other.received().endsWith('served'), other.received());
	reader.socket.resume();
	await drained;
	await reader.waitFor(() => reader.socket.closed);
	t.is(reader.received().length - reader.received().indexOf('\r\n\r\n') - 4, LARGE_BYTES);
});

test('a connection that waits for its next request is closed at once', async t => {
	const {drain, connect: connectCaller} = await open(t);
	const caller = connectCaller();
	caller.socket.write(REQUEST);
	await caller.waitFor(() => caller.received().endsWith('served'));
	await drain();
	t.true(await caller.waitFor(() => caller.socket.closed));
});

test('a request that is being received when the drain begins is served', async t => {
	const {drain, connect: connectCaller} = await open(t);
	const caller = connectCaller();
	caller.socket.write(REQUEST);
	await caller.waitFor(() => caller.received().endsWith('served'));
	caller.socket.write(REQUEST.slice(0, 10));
	await timers.setTimeout(SETTLE_MILLISECONDS);
	const drained = drain();
	await timers.setTimeout(SETTLE_MILLISECONDS);
	caller.socket.write(REQUEST.slice(10));
	t.true(await caller.waitFor(() => caller.received().split('served').length === 3));
	await drained;
});

test('pipelined requests that were received are all answered', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller();
	caller.socket.write(`${REQUEST.replace('/', '/slow')}${REQUEST}${REQUEST}`);
	await caller.waitFor(() => served.length === 3);
	await drain();
	await caller.waitFor(() => caller.socket.closed);
	t.is(caller.received().split('served').length, 4);
});

test('a connection without a request may send its first one', async t => {
	const {drain, connect: connectCaller} = await open(t);
	const caller = connectCaller();
	await caller.waitFor(() => !caller.socket.connecting);
	await timers.setTimeout(SETTLE_MILLISECONDS);
	const drained = drain();
	caller.socket.write(REQUEST);
	await drained;
	t.true(await caller.waitFor(() => caller.received().includes('served')));
});

test('a caller that leaves does not delay the drain', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller();
	caller.socket.pause();
	caller.socket.write(REQUEST.replace('/', '/large'));
	await caller.waitFor(() => served.length === 1);
	const drained = drain();
	caller.socket.destroy();
	t.is(await Promise.race([drained, timers.setTimeout(MAX_WAIT_MILLISECONDS, 'delayed')]), undefined);
});

// Guards against requests that are lost as the system resets connections which the process has not accepted when its listening socket is closed.
for (const {title, path} of [
	{title: 'a host', path: '/'},
	{title: 'a busy host', path: '/busy'},
]) {
	test(`the requests on connections that were established before the drain of ${title} and not accepted are served`, async t => {
		const {drain, connect: connectCaller, served} = await open(t);
		const callers = Array.from({length: WAITING_CALLERS}, () => connectCaller());
		for (const {socket} of callers) {
			socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
		}

		// In one turn of the event loop all connections are established, and one is accepted.
		await timers.setImmediate();
		t.true(served.length < WAITING_CALLERS);
		await drain();
		t.true(await callers.at(-1)!.waitFor(() => callers.every(({socket}) => socket.closed)));
		t.is(callers.filter(caller => caller.received().endsWith('served')).length, WAITING_CALLERS);
	});
}

// Guards against a drain that never ends, as it waits for a moment without a new connection.
test('a drain ends while new connections keep coming', async t => {
	const {drain, connect: connectCaller} = await open(t);
	const ending = new AbortController();
	const comingCallers = async () => {
		while (!ending.signal.aborted) {
			const {socket} = connectCaller();
			socket.once('connect', () => {
				socket.destroy();
			});
			// eslint-disable-next-line no-await-in-loop -- One connection in each turn.
			await timers.setImmediate();
		}
	};

	const coming = comingCallers();
	t.is(await Promise.race([drain(), timers.setTimeout(MAX_WAIT_MILLISECONDS, 'endless')]), undefined);
	ending.abort();
	await coming;
});

// Guards against a request that the caller has sent and the process has not received when its idle connection is closed.
test('a request that waits unread on an idle connection when the drain begins is served', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller();
	caller.socket.write(REQUEST);
	await caller.waitFor(() => caller.received().endsWith('served'));
	await timers.setTimeout(SETTLE_MILLISECONDS);
	caller.socket.write(REQUEST);
	t.is(served.length, 1);
	await drain();
	t.true(await caller.waitFor(() => caller.socket.closed));
	t.is(caller.received().split('served').length, 3);
	t.deepEqual(caller.errors, []);
});

// Guards against a connection that is never seen as idle, as its only request was refused before it was handed over.
test('a connection whose request had an unknown expectation is closed', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller();
	caller.socket.write('GET / HTTP/1.1\r\nhost: a\r\nexpect: other\r\n\r\n');
	t.true(await caller.waitFor(() => caller.received().startsWith('HTTP/1.1 417 ')));
	t.is(await Promise.race([drain(), timers.setTimeout(MAX_WAIT_MILLISECONDS, 'held')]), undefined);
	t.deepEqual(served, []);
});

// Guards against a stop that waits for callers whose responses arrived long ago, and reads requests that it will not run.
test('a connection that has been idle for as long as one lingers is closed at once, and a request that crosses the close is not read', async t => {
	const {drain, connect: connectCaller, served} = await open(t);
	const caller = connectCaller({allowHalfOpen: true});
	caller.socket.write(REQUEST);
	await caller.waitFor(() => caller.received().endsWith('served'));
	await timers.setTimeout(utils.LINGER_MILLISECONDS + SETTLE_MILLISECONDS);
	const startedAt = performance.now();
	await drain();
	t.true(performance.now() - startedAt < MAX_CLOSE_MILLISECONDS);
	t.true(await caller.waitFor(() => {
		// The system answers the first write with a reset, which the next one shows.
		caller.socket.write(REQUEST);
		return caller.errors.length > 0;
	}));
	t.deepEqual(served, ['/']);
});
