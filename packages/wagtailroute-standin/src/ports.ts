/**
Free ports for hosts in tests and in `dev`, which must know their ports before they listen.

Asking the system for a free port and giving it back is not enough: tests that run side by side get the same port a moment
later, and one of them fails now and then with EADDRINUSE. So each process takes ports in turn from a block of its own, below
the range that the system hands out, and passes over those in use.

Processes whose identifiers are equal modulo the number of blocks share a block. So each port that is given out is claimed until its process ends, by listening on the
same port of another loopback address.
*/
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import process from 'node:process';

const FIRST_PORT = 10_000;
const BLOCKS = 200;
const BLOCK_PORTS = 100;
const LOOPBACK = '127.0.0.1';
const CLAIMS_LOOPBACK = '127.0.0.2';

let taken = 0;

/**
Returns a port on the loopback address that is free for TCP and UDP.
*/
export async function findFreePort(): Promise<number> {
	for (let tries = 0; tries < BLOCK_PORTS; tries++) {
		const port = FIRST_PORT + (process.pid % BLOCKS * BLOCK_PORTS) + (taken % BLOCK_PORTS);
		taken++;
		// eslint-disable-next-line no-await-in-loop -- One port after the other.
		if (await claim(port) && await isFree(port)) {
			return port;
		}
	}

	throw new RangeError('All ports of this process are in use.');
}

/**
Claims a port until this process ends; resolves to false where another process, or an earlier call, has claimed it.
*/
async function claim(port: number): Promise<boolean> {
	const server = await listen(port, CLAIMS_LOOPBACK);
	server?.unref();
	return server !== undefined;
}

async function isFree(port: number): Promise<boolean> {
	const server = await listen(port, LOOPBACK);
	if (server === undefined) {
		return false;
	}

	await new Promise(resolve => {
		server.close(resolve);
	});
	return isUdpFree(port);
}

async function listen(port: number, ip: string): Promise<net.Server | undefined> {
	return new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, ip, () => {
			resolve(server);
		});
	});
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
