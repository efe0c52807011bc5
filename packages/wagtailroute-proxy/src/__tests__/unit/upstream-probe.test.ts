/**
Tests of health checks against servers that answer, shed, crash and fall silent.
*/
import * as http from 'node:http';
import * as net from 'node:net';
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as proxy from '../../index.ts';

const LOOPBACK = '127.0.0.1';
const INSTANCE_HEADER = 'instance';

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
];

for (const {name, server: create, isClosed = false, result} of CASES) {
	test(`a health check of ${name}`, async t => {
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
	});
}
