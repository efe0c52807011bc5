/**
Tests of requests that are answered before their whole body has been received: what becomes of the rest, of the requests behind it and of their connection.
*/
import * as buffer from 'node:buffer';
import * as timers from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type Caller, connect, MAX_WAIT_MILLISECONDS} from './callers.ts';
import {type Fixture, openFixture, type Setup} from './fixture.ts';
import {createResponse, type RawResponse, startRawUpstream} from './raw-upstream.ts';

const BODY_BYTES = 300_000;
const PIECES = 15;
const PIECE = 'x'.repeat(BODY_BYTES / PIECES);
const CHUNK = `${PIECE.length.toString(16)}\r\n${PIECE}\r\n`;
const NEXT = 'POST /write/next HTTP/1.1\r\nhost: archive\r\ncontent-length: 2\r\n\r\nok';
const LINGER_MILLISECONDS = 2000;

async function sendPieces({socket}: Caller, pieces: readonly string[], intervalMilliseconds: number): Promise<void> {
	for (const piece of pieces) {
		socket.write(piece);
		// eslint-disable-next-line no-await-in-loop -- One piece after the other.
		await timers.setTimeout(intervalMilliseconds);
	}
}

const RESPONSES: Readonly<Record<string, RawResponse | undefined>> = {
	'/write/early': {head: 'HTTP/1.1 500 Too early\r\ncontent-length: 8\r\n\r\nrejected'},
	'/write/chunked': {head: 'HTTP/1.1 500 Too early\r\ntransfer-encoding: chunked\r\n\r\n8\r\nrejected\r\n0\r\n\r\n'},
	'/write/next': createResponse('served'),
	'/write/silent': undefined,
};

async function openEarly(t: ExecutionContext, setup: Partial<Setup> = {}): Promise<Fixture> {
	const upstream = await startRawUpstream(t, path => RESPONSES[path]);
	return openFixture(t, {faults: [], addresses: [upstream.address], ...setup});
}

/**
An entry host that forwards to another one, whose upstream answers early.
*/
async function openForwarding(t: ExecutionContext): Promise<Fixture> {
	const carrier = await openEarly(t);
	return openFixture(t, {faults: [], addresses: [carrier.address], isForwarding: true});
}

type Case = {
	readonly name: string;
	readonly head: string;
	readonly pieces: readonly string[];
	readonly intervalMilliseconds?: number;
	readonly open?: (t: ExecutionContext) => Promise<Fixture>;
};

const LENGTH = `host: archive\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;
const CHUNKED = 'host: archive\r\ntransfer-encoding: chunked\r\n\r\n';
const WHOLE = Array.from({length: PIECES}, () => PIECE);
const CHUNKS = [...Array.from({length: PIECES}, () => CHUNK), '0\r\n\r\n'];

const CASES: readonly Case[] = [
	{name: 'with a length', head: `POST /write/early HTTP/1.1\r\n${LENGTH}`, pieces: WHOLE},
	{name: 'in chunks', head: `POST /write/early HTTP/1.1\r\n${CHUNKED}`, pieces: CHUNKS},
	{name: 'in chunks with a trailer section', head: `POST /write/early HTTP/1.1\r\n${CHUNKED}`, pieces: [...CHUNKS.slice(0, -1), '0\r\ndigest: a\r\n\r\n']},
	{name: 'that waits for 100 Continue', head: `POST /write/early HTTP/1.1\r\nexpect: 100-continue\r\n${LENGTH}`, pieces: WHOLE},
	{name: 'of an HTTP/1.0 caller that keeps its connection', head: `POST /write/early HTTP/1.0\r\nconnection: keep-alive\r\n${LENGTH}`, pieces: WHOLE},
	{name: 'that is answered in chunks', head: `POST /write/chunked HTTP/1.1\r\n${LENGTH}`, pieces: WHOLE},
	{
		name: 'that is forwarded to another host', head: `POST /write/early HTTP/1.1\r\n${LENGTH}`, pieces: WHOLE, open: openForwarding,
	},
	{
		name: 'that is still being sent when the timeout of its route has passed',
		head: `POST /write/early HTTP/1.1\r\n${LENGTH}`,
		pieces: WHOLE,
		intervalMilliseconds: 240,
		open: async t => openEarly(t, {timeoutMilliseconds: 2000}),
	},
];

for (const {
	name, head, pieces, intervalMilliseconds = 5, open = openEarly,
} of CASES) {
	// Guards against a connection that is kept but never read again: the next request on it got neither an answer nor the end of the connection.
	test(`behind an upload ${name} and is answered early, the next request is answered`, async t => {
		const fixture = await open(t);
		const caller = connect(t, fixture);
		await sendPieces(caller, [head, ...pieces, NEXT], intervalMilliseconds);
		t.true(await caller.waitFor(() => caller.received().endsWith('served')), caller.received());
		t.true(caller.received().includes('rejected'), 'the early response comes first');
		t.deepEqual(caller.errors, []);
		t.is(fixture.server.getHeldBytes(), 0);
	});
}

// Guards against requests that were sent at once behind an upload, and are lost with its rest.
test('requests pipelined behind an upload that is answered early are answered in order', async t => {
	const fixture = await openEarly(t);
	const caller = connect(t, fixture);
	const upload = `POST /write/early HTTP/1.1\r\n${LENGTH}${'x'.repeat(BODY_BYTES)}`;
	caller.socket.write(`${upload}${NEXT}${upload}${NEXT}`);
	t.true(await caller.waitFor(() => caller.received().split('served').length === 3), caller.received());
	t.deepEqual(caller.received().match(/rejected|served/gv), ['rejected', 'served', 'rejected', 'served']);
});

// Guards against a caller that never sends the rest, and holds a connection for ever.
test('a connection on which the rest of an answered upload does not come is closed', async t => {
	const fixture = await openEarly(t);
	const caller = connect(t, fixture);
	caller.socket.write(`POST /write/early HTTP/1.1\r\n${LENGTH}${'x'.repeat(BODY_BYTES / 2)}`);
	t.true(await caller.waitFor(() => caller.received().endsWith('rejected')), 'the answer does not wait for the rest');
	t.true(await caller.waitFor(() => caller.socket.closed, LINGER_MILLISECONDS * 2), 'the connection is closed');
	t.is(fixture.server.getHeldBytes(), 0);
	t.is(fixture.server.getInFlight(), 0);
	t.true(fixture.requestReports[0]?.isBodyUnread);
});

// Guards against a stop that waits for a caller which never sends the rest.
test('the rest of an answered upload that does not come delays a stop for a bounded time', async t => {
	const fixture = await openEarly(t);
	const caller = connect(t, fixture);
	caller.socket.write(`POST /write/early HTTP/1.1\r\n${LENGTH}${'x'.repeat(BODY_BYTES / 2)}`);
	await caller.waitFor(() => caller.received().endsWith('rejected'));
	const startedAt = performance.now();
	await fixture.server.drain();
	t.true(performance.now() - startedAt < LINGER_MILLISECONDS * 2);
});

const CLOSING = [
	{
		name: 'the early response of an upstream, of a host that drains', path: '/write/early', expected: 'rejected', setup: {isDraining: () => true},
	},
	{
		name: 'an early response in chunks, of a host that drains', path: '/write/chunked', expected: '0\r\n\r\n', setup: {isDraining: () => true},
	},
	{
		name: 'the failure of a request that takes too long', path: '/write/silent', expected: '}', setup: {timeoutMilliseconds: 200},
	},
	{
		name: 'the refusal of a request without upstream', path: '/write/early', expected: '}', setup: {addresses: []},
	},
];

for (const {name, path, expected, setup} of CLOSING) {
	// Guards against a connection that is reset while its caller sends: the caller lost the response.
	test(`${name} arrives whole although its caller sends on, and closes the connection`, async t => {
		const fixture = await openEarly(t, setup);
		const caller = connect(t, fixture);
		await sendPieces(caller, [`POST ${path} HTTP/1.1\r\n${LENGTH}`, ...WHOLE], 40);
		t.true(await caller.waitFor(() => caller.socket.closed), 'the connection is closed');
		t.true(caller.received().endsWith(expected), caller.received());
		t.regex(caller.received(), /^connection: close\r$/imv);
		t.deepEqual(caller.errors, []);
	});
}

// Guards against a response that is held back until its caller has sent everything, which may first read it.
test('a large early response is relayed while its caller only sends', async t => {
	const body = 'y'.repeat(2_000_000);
	const upstream = await startRawUpstream(t, path => createResponse(path === '/write/next' ? 'served' : body));
	const fixture = await openFixture(t, {faults: [], addresses: [upstream.address]});
	const caller = connect(t, fixture);
	caller.socket.pause();
	await sendPieces(caller, [`POST /write/early HTTP/1.1\r\nhost: archive\r\ncontent-length: ${BODY_BYTES * 20}\r\n\r\n`], 0);
	const isSent = new Promise<void>(resolve => {
		caller.socket.write(buffer.Buffer.alloc(BODY_BYTES * 20, 'x'), () => {
			resolve();
		});
	});
	t.is(await Promise.race([isSent, timers.setTimeout(MAX_WAIT_MILLISECONDS, 'stuck')]), undefined, 'the caller can send everything');
	caller.socket.resume();
	caller.socket.write(NEXT);
	t.true(await caller.waitFor(() => caller.received().endsWith('served')));
	t.true(caller.received().length > body.length);
});
