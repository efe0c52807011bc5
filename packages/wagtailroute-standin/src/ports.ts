/**
Free ports for hosts in tests and in `dev`, which must know their ports before they listen.

Asking the system for a free port and giving it back is not enough: tests that run side by side get the same port a moment
later, and one of them fails now and then with EADDRINUSE. So each process takes ports in turn from a block of its own, below
the range that the system hands out, and passes over those in use.
*/
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import process from 'node:process';

const FIRST_PORT = 10_000;
const BLOCKS = 200;
const BLOCK_PORTS = 50;
const LOOPBACK = '127.0.0.1';

let taken = 0;

/**
Returns a port on the loopback address that is free for TCP and UDP.
*/
export async function findFreePort(): Promise<number> {
	for (let tries = 0; tries < BLOCK_PORTS; tries++) {
		const port = FIRST_PORT + (process.pid % BLOCKS * BLOCK_PORTS) + (taken % BLOCK_PORTS);
		taken++;
		// eslint-disable-next-line no-await-in-loop -- One port after the other.
		if (await isFree(port)) {
			return port;
		}
	}

	throw new RangeError('All ports of this process are in use.');
}

async function isFree(port: number): Promise<boolean> {
	const isTcpFree = await new Promise<boolean>(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, LOOPBACK, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
	return isTcpFree && isUdpFree(port);
}

async function isUdpFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = dgram.createSocket('udp4');
		socket.once('error', () => {
			socket.close();
			resolve(false);
		});
		socket.bind(port, LOOPBACK, () => {
			socket.close(() => {
				resolve(true);
			});
		});
	});
}
