/**
Tests of upstreams that send bytes without end, in each place of a response.

They guard against memory that grows with what an upstream sends, a response that looks complete although it isn't, a connection that is used again with such bytes
on it, and an upstream that stays in use because the ending isn't counted against it.
*/
import * as net from 'node:net';
import * as process from 'node:process';
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import test, {type ExecutionContext} from 'ava';
import * as undici from 'undici';
import type * as proxy from '../../index.ts';
import {type Fixture, openFixture} from './fixture.ts';
import {
	createResponse,
	type RawResponse,
	type RawUpstream,
	startRawUpstream,
} from './raw-upstream.ts';

const TIMEOUT_MILLISECONDS = 1200;
const MAX_LATENESS_MILLISECONDS = 2500;
const MAX_MEMORY_GROWTH_BYTES = 6_000_000;
// What the buffers of the system hold, and what is read before the response is recognised as malformed.
const MAX_MALFORMED_BYTES = 8_000_000;
const MAX_SERVED_MILLISECONDS = 700;
const SAMPLE_MILLISECONDS = 50;
const HELD_SAMPLES = 3;

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/**
What the caller gets. `refused`: 502 of the fleet. `cut`: a response that doesn't look complete. `whole`: the declared body, nothing beyond it.
*/
type Received = 'refused' | 'cut' | 'whole';

type Case = RawResponse & {
	readonly name: string;
	readonly received: Received;
	readonly ending: proxy.AttemptEnding;
	/**
	The response is recognised as malformed, so that little of it is read.
	*/
	readonly isMalformed?: boolean;
};

const CASES: readonly Case[] = [
	{
		name: 'status line', head: 'HTTP/1.1 200 ', filler: 'a', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'header name', head: 'HTTP/1.1 200 OK\r\n', filler: 'a', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'header value', head: 'HTTP/1.1 200 OK\r\nx: ', filler: 'a', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'header section', head: 'HTTP/1.1 200 OK\r\n', filler: 'x: y\r\n', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'header section of empty values', head: 'HTTP/1.1 200 OK\r\n', filler: 'x:\r\n', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'sequence of interim responses', head: '', filler: 'HTTP/1.1 103 Early Hints\r\n\r\n', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'sequence of 100 Continue', head: '', filler: 'HTTP/1.1 100 Continue\r\n\r\n', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'noise', head: '', filler: '\u{16}\u{3}\u{1}\u{0}\u{FF}', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'sequence of blank lines', head: '', filler: '\r\n', received: 'refused', ending: 'reset', isMalformed: true,
	},
	{
		name: 'body that goes on beyond its length', head: createResponse('hello').head, filler: 'a', received: 'whole', ending: 'success', isMalformed: true,
	},
	{
		name: 'sequence of blank lines behind a response', head: createResponse('hello').head, filler: '\r\n', received: 'whole', ending: 'success', isMalformed: true,
	},
	{
		name: 'body of a length that never ends', head: 'HTTP/1.1 200 OK\r\ncontent-length: 9000000000000\r\n\r\n', filler: 'a', received: 'cut', ending: 'timeout',
	},
	{
		name: 'chunked body', head: CHUNKED_HEAD, filler: `1000\r\n${'a'.repeat(4096)}\r\n`, received: 'cut', ending: 'timeout',
	},
	{
		name: 'chunk', head: `${CHUNKED_HEAD}fffffffffff\r\n`, filler: 'a', received: 'cut', ending: 'timeout',
	},
	{
		name: 'body that ends with the connection', head: 'HTTP/1.1 200 OK\r\n\r\n', filler: 'a', received: 'cut', ending: 'timeout',
	},
	{
		name: 'chunk size', head: CHUNKED_HEAD, filler: '0', received: 'cut', ending: 'truncated', isMalformed: true,
	},
	{
		name: 'chunk extension', head: `${CHUNKED_HEAD}5;`, filler: 'a', received: 'cut', ending: 'truncated', isMalformed: true,
	},
	{
		name: 'sequence of chunks with long extensions', head: CHUNKED_HEAD, filler: `1;${'a'.repeat(1000)}\r\nx\r\n`, received: 'cut', ending: 'truncated', isMalformed: true,
	},
	{
		name: 'trailer', head: `${CHUNKED_HEAD}5\r\nhello\r\n0\r\nx: `, filler: 'a', received: 'cut', ending: 'truncated', isMalformed: true,
	},
	{
		name: 'trailer section', head: `${CHUNKED_HEAD}5\r\nhello\r\n0\r\n`, filler: 'x: y\r\n', received: 'cut', ending: 'truncated', isMalformed: true,
	},
];

async function getMemoryBytes(): Promise<number> {
	// Buffers found unused by a collection are freed in the background.
	collectGarbage();
	await timers.setTimeout(SAMPLE_MILLISECONDS);
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}

type Answer = {
	readonly received: Received;
	readonly milliseconds: number;
};

async function receive(origin: string, headers: Record<string, string>): Promise<Answer> {
	const dispatcher = new undici.Agent({keepAliveTimeout: 1});
	const startedAt = performance.now();
	const finish = (received: Received): Answer => ({received, milliseconds: performance.now() - startedAt});
	try {
		const {statusCode, body} = await undici.request(`${origin}/endless`, {dispatcher, headers});
		let bytes = 0;
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
		}

		if (statusCode !== 502 && bytes !== 'hello'.length) {
			throw new Error(`${bytes} bytes look like a whole response of status ${statusCode}`);
		}

		return finish(statusCode === 502 ? 'refused' : 'whole');
	} catch (error) {
		if (error instanceof undici.errors.SocketError) {
			return finish('cut');
		}

		throw error;
	} finally {
		await dispatcher.destroy();
	}
}

/**
Sends other requests until the answer has arrived, and returns the longest time that one took, and the memory held at the end.
*/
async function measureMeanwhile({origin}: Fixture, answer: Promise<unknown>): Promise<{servedMilliseconds: number; growthBytes: number}> {
	const state = {hasEnded: false};
	const watchEnd = async () => {
		try {
			await answer;
		} finally {
			// Without it, the requests below would go on for ever when the answer is none of the expected ones.
			state.hasEnded = true;
		}
	};

	const ended = watchEnd();
	const baseBytes = await getMemoryBytes();
	let servedMilliseconds = 0;
	const samples: number[] = [];
	do {
		const startedAt = performance.now();
		// eslint-disable-next-line no-await-in-loop -- One request follows the other.
		const {body} = await undici.request(`${origin}/other`);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await body.text();
		servedMilliseconds = Math.max(servedMilliseconds, performance.now() - startedAt);
		// eslint-disable-next-line no-await-in-loop -- See above.
		samples.push(await getMemoryBytes() - baseBytes);
	} while (!state.hasEnded);

	await ended;
	// Memory that is held grows until the end; buffers that are no longer used come and go.
	return {servedMilliseconds, growthBytes: Math.min(...samples.slice(-HELD_SAMPLES))};
}

async function openEndless(t: ExecutionContext, response: RawResponse): Promise<{readonly upstream: RawUpstream; readonly fixture: Fixture}> {
	const upstream = await startRawUpstream(t, path => path === '/endless' ? response : createResponse('served'));
	const fixture = await openFixture(t, {faults: [], addresses: [upstream.address], timeoutMilliseconds: TIMEOUT_MILLISECONDS});
	return {upstream, fixture};
}

for (const {
	name, received, ending, isMalformed = false, ...response
} of CASES) {
	test.serial(`a ${name} without end is bounded`, async t => {
		const {upstream, fixture} = await openEndless(t, response);
		const pending = receive(fixture.origin, {});
		const {servedMilliseconds, growthBytes} = await measureMeanwhile(fixture, pending);
		const answer = await pending;
		const sentBytes = Math.max(...upstream.connections.map(connection => connection.sentBytes));
		t.log({
			...answer, servedMilliseconds, growthBytes, sentBytes,
		});
		t.is(answer.received, received);
		t.true(answer.milliseconds < TIMEOUT_MILLISECONDS + MAX_LATENESS_MILLISECONDS, `${answer.milliseconds} ms`);
		t.true(growthBytes < MAX_MEMORY_GROWTH_BYTES, `${growthBytes} bytes more in memory`);
		t.true(servedMilliseconds < MAX_SERVED_MILLISECONDS, `another request took ${servedMilliseconds} ms`);
		t.true(!isMalformed || sentBytes < MAX_MALFORMED_BYTES, `${sentBytes} bytes sent`);
		t.is(fixture.attemptReports.find(report => report.ending !== 'success')?.ending ?? 'success', ending);
		await checkConnections(t, {upstream, fixture});
	});
}

/**
Checks that the connection of the endless response is destroyed and never carried another request after it.
*/
async function checkConnections(
	t: ExecutionContext,
	{upstream, fixture}: {readonly upstream: RawUpstream; readonly fixture: Fixture},
): Promise<void> {
	const connection = upstream.connections.find(({paths}) => paths.includes('/endless'))!;
	for (let waits = 0; !connection.isClosed && waits < 100; waits++) {
		// eslint-disable-next-line no-await-in-loop -- Waits for the close to arrive.
		await timers.setTimeout(10);
	}

	t.true(connection.isClosed);
	const {body} = await undici.request(`${fixture.origin}/other`);
	t.is(await body.text(), 'served');
	t.is(connection.paths.at(-1), '/endless');
}

test.serial('a body without end stops at the deadline of its caller, which is no evidence against the upstream', async t => {
	const {upstream, fixture} = await openEndless(t, {head: 'HTTP/1.1 200 OK\r\n\r\n', filler: 'a'});
	const answer = await receive(fixture.origin, {'request-timeout-ms': '300'});
	t.is(answer.received, 'cut');
	t.true(answer.milliseconds < 300 + MAX_LATENESS_MILLISECONDS);
	t.is(fixture.attemptReports[0]?.ending, 'impatience');
	await checkConnections(t, {upstream, fixture});
});

test.serial('a response without length that is cut off never looks complete to an HTTP/1.0 caller', async t => {
	// Such a caller is told the end of the response by the end of the connection only, so that it has to be reset.
	const {fixture} = await openEndless(t, {head: 'HTTP/1.1 200 OK\r\n\r\n', filler: 'a'});
	const socket = net.connect(fixture.address.port, fixture.address.ip);
	socket.write('GET /endless HTTP/1.0\r\n\r\n');
	socket.resume();
	const closed = Promise.withResolvers<unknown>();
	socket.once('error', closed.resolve);
	socket.once('end', () => {
		closed.resolve('ended');
	});
	t.like(await closed.promise, {code: 'ECONNRESET'});
});
