/**
Tests of health checks against servers that answer, shed, crash and fall silent.
*/
import {once} from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as threads from 'node:worker_threads';
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as proxy from '../../index.ts';
import {getCuts, READABLE_RESPONSES} from './cut-cases.ts';
import {startCutUpstream} from './cut-upstream.ts';

const LOOPBACK = '127.0.0.1';
const INSTANCE_HEADER = 'instance';
const MAX_CLOSE_WAITS = 100;
const CLOSE_WAIT_MILLISECONDS = 10;
const FILLER_CHARACTERS = 65_536;
/**
Longer than a health check may take.
*/
const STALL_MILLISECONDS = 700;

/**
Answers with the instance that the address belongs to.
*/
const DIALECT: Pick<proxy.Dialect, 'createProbeHeaders' | 'isAnswerOfOther'> = {
	createProbeHeaders: () => ({}),
	isAnswerOfOther: (_status, headers, instance) => headers[INSTANCE_HEADER] !== instance,
};

const answer = (status: number, instance = 'i'): net.Server => http.createServer((_message, response) => {
	response.writeHead(status, {[INSTANCE_HEADER]: instance}).end();
});

/**
Sends the text, then the filler without end.
*/
const stream = (head: string, filler: string): net.Server => net.createServer(socket => {
	const block = filler.repeat(Math.ceil(FILLER_CHARACTERS / filler.length));
	const pump = () => {
		while (socket.writable && socket.write(block)) {
			// Fills the buffer of the socket.
		}
	};

	socket.on('error', () => undefined);
	socket.on('drain', pump);
	socket.resume();
	socket.write(head);
	pump();
});

type Case = {
	readonly name: string;
	readonly server: () => net.Server;
	readonly isClosed?: boolean;
	readonly result: proxy.ProbeResult;
};

const CASES: readonly Case[] = [
	{name: 'a healthy server', server: () => answer(200), result: 'answered'},
	{name: 'a server that reports that it is unhealthy', server: () => answer(503), result: 'answered'},
	{name: 'another instance at the address', server: () => answer(200, 'other'), result: 'gone'},
	{
		name: 'an address without a server', server: () => answer(200), isClosed: true, result: 'gone',
	},
	{
		name: 'a server that resets connections', server: () => net.createServer(socket => {
			socket.resetAndDestroy();
		}), result: 'closed',
	},
	{
		name: 'a server that closes connections', server: () => net.createServer(socket => {
			socket.end();
		}), result: 'closed',
	},
	{
		name: 'a server that accepts connections in silence', server: () => net.createServer(socket => {
			socket.resume();
		}), result: 'silent',
	},
	{
		name: 'a server that sends something else', server: () => net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.end('not an answer\r\n\r\n');
		}), result: 'answered',
	},
	{name: 'a server whose status line never ends', server: () => stream('HTTP/1.1 200 ', 'a'), result: 'answered'},
	{name: 'a server whose header section never ends', server: () => stream('HTTP/1.1 200 OK\r\n', 'x: y\r\n'), result: 'answered'},
	{name: 'a server whose interim responses never end', server: () => stream('', 'HTTP/1.1 103 Early Hints\r\n\r\n'), result: 'answered'},
	{name: 'a server that sends blank lines without end', server: () => stream('', '\r\n'), result: 'answered'},
	{name: 'a server whose response body never ends', server: () => stream('HTTP/1.1 200 OK\r\ninstance: i\r\n\r\n', 'a'), result: 'answered'},
	{
		name: 'a server that sends an interim response first', server: () => net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.end('HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ninstance: i\r\ncontent-length: 0\r\n\r\n');
		}), result: 'answered',
	},
];

for (const {name, server: create, isClosed = false, result} of CASES) {
	// Serial, as a server that sends without end takes the time of the process from the others.
	test.serial(`a health check of ${name}`, async t => {
		const server = create();
		const sockets = new Set<net.Socket>();
		server.on('connection', (socket: net.Socket) => {
			sockets.add(socket);
		});
		const address = await utils.listen(server, {ip: LOOPBACK, port: 0});
		const close = async () => {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		};

		await (isClosed ? close() : undefined);
		t.teardown(isClosed ? () => undefined : close);
		t.is(await proxy.createUpstreamProbe(DIALECT)({upstream: 'i', address, healthPath: '/health'}), result);
		for (let waits = 0; [...sockets].some(socket => !socket.destroyed && !socket.writableEnded) && waits < MAX_CLOSE_WAITS; waits++) {
			// eslint-disable-next-line no-await-in-loop -- Waits for the close to arrive.
			await timers.setTimeout(CLOSE_WAIT_MILLISECONDS);
		}

		// Guards against a connection that stays open while its server sends on.
		t.true([...sockets].every(socket => socket.destroyed || socket.writableEnded));
	});
}

const UNASKABLE = [
	{name: 'with a port beyond the largest', address: {ip: '127.0.0.9', port: 80_800}, healthPath: '/health'},
	{name: 'with an IP number that is none', address: {ip: '127.0.0.256', port: 80}, healthPath: '/health'},
	{name: 'whose health path can not be sent', address: {ip: LOOPBACK, port: 80}, healthPath: 'a path\r\n'},
];

for (const {name, address, healthPath} of UNASKABLE) {
	// Guards against a check that rejects: the process ended as nobody handled it.
	test(`an upstream ${name} counts as silent`, async t => {
		t.is(await proxy.createUpstreamProbe(DIALECT)({upstream: 'i', address, healthPath}), 'silent');
	});
}

const ANY_INSTANCE: Pick<proxy.Dialect, 'createProbeHeaders' | 'isAnswerOfOther'> = {createProbeHeaders: () => ({}), isAnswerOfOther: () => false};

for (const closing of ['closed', 'reset'] as const) {
	for (const response of READABLE_RESPONSES) {
		// Guards against an upstream that counts as answering by a part of a head.
		test.serial(`a health check answered with ${response.name} needs the whole head when the connection is ${closing}`, async t => {
			const {address} = await startCutUpstream(t, {response, closing});
			const probe = proxy.createUpstreamProbe(ANY_INSTANCE);
			const results = await Promise.all(getCuts(response).map(async cut => probe({upstream: 'i', address, healthPath: `/cut/${cut}`})));
			t.deepEqual(results, getCuts(response).map(cut => cut < response.head.length ? 'closed' : 'answered'));
		});
	}
}

// Guards against a host that got no processor time for a moment, and took upstreams that had answered meanwhile for silent and itself for one without paths.
test.serial('a health check whose answer arrived while the event loop stood still is answered', async t => {
	const thread = new threads.Worker(new URL('answering-thread.ts', import.meta.url));
	t.teardown(async () => {
		await thread.terminate();
	});
	const [port] = await once(thread, 'message') as [number];
	const asked = once(thread, 'message');
	const result = proxy.createUpstreamProbe(ANY_INSTANCE)({upstream: 'i', address: {ip: LOOPBACK, port}, healthPath: '/'});
	await asked;
	const end = performance.now() + STALL_MILLISECONDS;
	while (performance.now() < end) {
		// Stands still.
	}

	t.is(await result, 'answered');
});
