/**
Tests of callers that send a request without end, in each place of it.

They guard against memory that grows with what a caller sends, and against a backend server that takes such a request for complete.
*/
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import test from 'ava';
import * as undici from 'undici';
import type * as core from 'wagtailroute-core';
import {countRuns, openFixture} from './fixture.ts';

const FILLER_BYTES = 65_536;
const MAX_CLOSE_MILLISECONDS = 8000;
const MAX_SERVED_MILLISECONDS = 1000;
const MAX_SENT_BYTES = 16_000_000;

const CHUNKED_HEAD = 'POST /write HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

const CASES: ReadonlyArray<{
	readonly name: string;
	readonly head: string;
	readonly filler: string;
	/**
	Status of the answer; undefined where the connection is closed without one.
	*/
	readonly status: number | undefined;
	/**
	Maximum number of bytes sent, where the body limit of the service and the linger time allow more than `MAX_SENT_BYTES`.
	*/
	readonly maxBytes?: number;
}> = [
	{
		name: 'method', head: '', filler: 'G', status: 400,
	},
	{
		name: 'target', head: 'GET /', filler: 'a', status: 431,
	},
	{
		name: 'header name', head: 'GET / HTTP/1.1\r\nHost: a\r\n', filler: 'a', status: 431,
	},
	{
		name: 'header value', head: 'GET / HTTP/1.1\r\nHost: a\r\nx: ', filler: 'a', status: 431,
	},
	{
		name: 'header section', head: 'GET / HTTP/1.1\r\nHost: a\r\n', filler: 'x: y\r\n', status: 431,
	},
	{
		name: 'chunk extension', head: `${CHUNKED_HEAD}5;`, filler: 'a', status: undefined,
	},
	{
		name: 'trailer section', head: `${CHUNKED_HEAD}5\r\nhello\r\n0\r\n`, filler: 'x: y\r\n', status: undefined,
	},
	{
		name: 'body beyond its length', head: 'POST /write HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello', filler: '\u{1}', status: undefined,
	},
	{
		name: 'chunked body', head: CHUNKED_HEAD, filler: `4000\r\n${'a'.repeat(16_384)}\r\n`, status: 400, maxBytes: 1_000_000_000,
	},
];

/**
Sends until the connection is closed, and returns what was received and the number of bytes sent.
*/
async function sendEndless({ip, port}: core.Address, head: string, filler: string): Promise<{readonly received: string; readonly sentBytes: number; readonly milliseconds: number}> {
	const startedAt = performance.now();
	const socket = net.connect(port, ip);
	const block = buffer.Buffer.from(filler.repeat(Math.ceil(FILLER_BYTES / filler.length)), 'latin1');
	let received = '';
	let sentBytes = 0;
	const closed = Promise.withResolvers<undefined>();
	const pump = () => {
		while (socket.writable && performance.now() - startedAt < MAX_CLOSE_MILLISECONDS) {
			sentBytes += block.length;
			if (!socket.write(block)) {
				socket.once('drain', pump);
				return;
			}
		}

		socket.destroy();
	};

	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.once('close', () => {
		closed.resolve(undefined);
	});
	socket.write(head);
	pump();
	await closed.promise;
	return {received, sentBytes, milliseconds: performance.now() - startedAt};
}

for (const {
	name, head, filler, status, maxBytes = MAX_SENT_BYTES,
} of CASES) {
	test.serial(`a request whose ${name} never ends is cut off`, async t => {
		const fixture = await openFixture(t, {faults: [[]]});
		const sending = sendEndless(fixture.address, head, filler);
		await timers.setImmediate();
		const startedAt = performance.now();
		const {body} = await undici.request(`${fixture.origin}/other`);
		await body.text();
		const servedMilliseconds = performance.now() - startedAt;
		const {received, sentBytes, milliseconds} = await sending;
		t.log({
			received: received.slice(0, 60), sentBytes, milliseconds, servedMilliseconds,
		});
		t.true(milliseconds < MAX_CLOSE_MILLISECONDS);
		t.true(servedMilliseconds < MAX_SERVED_MILLISECONDS);
		t.true(sentBytes < maxBytes, `${sentBytes} bytes sent`);
		t.is(received.slice(0, 'HTTP/1.1 400'.length), status === undefined ? '' : `HTTP/1.1 ${status}`);
		t.is(countRuns(fixture), 1);
	});
}
