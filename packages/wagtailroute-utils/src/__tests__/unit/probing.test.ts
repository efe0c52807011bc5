/**
Tests of probes of addresses, on loopback.
*/
import * as net from 'node:net';
import test from 'ava';
import * as utils from '../../index.ts';

const LOOPBACK = '127.0.0.1';
const TIMEOUT_MILLISECONDS = 500;

type Case = {
	readonly name: string;
	readonly accept?: (socket: net.Socket) => void;
	readonly openMilliseconds?: number;
	readonly isRefusing: boolean;
};

const CASES: readonly Case[] = [
	{name: 'an address without a listener', isRefusing: true},
	{
		name: 'a server that keeps connections open', accept: () => undefined, openMilliseconds: 50, isRefusing: false,
	},
	{
		name: 'a server that resets connections',
		accept(socket) {
			socket.resetAndDestroy();
		},
		openMilliseconds: 50,
		isRefusing: true,
	},
	{
		name: 'a server that ends connections',
		accept(socket) {
			socket.end();
		},
		openMilliseconds: 50,
		isRefusing: true,
	},
];

for (const {name, accept, openMilliseconds, isRefusing} of CASES) {
	test(`${name} ${isRefusing ? 'refuses' : 'accepts'} connections`, async t => {
		const server = net.createServer(accept);
		const {port} = await utils.listen(server, {ip: LOOPBACK, port: 0});
		if (accept === undefined) {
			await new Promise(resolve => {
				server.close(resolve);
			});
		} else {
			t.teardown(() => {
				server.close();
			});
		}

		t.is(await utils.isRefusing({ip: LOOPBACK, port}, {timeoutMilliseconds: TIMEOUT_MILLISECONDS, ...openMilliseconds !== undefined && {openMilliseconds}}), isRefusing);
	});
}
