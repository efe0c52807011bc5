/**
A backend server on a plain socket, which sends any bytes as its response.
*/
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';

/**
What the server sends to a request: `head` once, then `filler` again and again while the connection is open.
*/
export type RawResponse = {
	readonly head: string;
	readonly filler?: string | undefined;
	/**
	The connection is closed behind `head`.
	*/
	readonly isClosed?: boolean;
	/**
	The connection is reset once `head` has arrived.
	*/
	readonly isReset?: boolean;
	/**
	`head` is sent byte by byte.
	*/
	readonly isSlow?: boolean;
};

/**
Milliseconds in which what was written arrives.
*/
const ARRIVAL_MILLISECONDS = 30;

/**
One connection of the server.
*/
export type RawConnection = {
	/**
	Paths of its requests.
	*/
	readonly paths: string[];
	sentBytes: number;
	isClosed: boolean;
};

/**
A running server.
*/
export type RawUpstream = {
	readonly address: core.Address;
	readonly connections: RawConnection[];
	/**
	Paths of all requests in the order of their arrival.
	*/
	readonly paths: string[];
};

const FILLER_BYTES = 65_536;
const REQUEST_LINE_PATTERN = /^[A-Z]+ (?<path>\S+) HTTP\/1\.1\r\n/gmv;

/**
Starts a server that answers each path as `respond` says; undefined leaves the request unanswered.
*/
export async function startRawUpstream(t: ExecutionContext, respond: (path: string) => RawResponse | undefined): Promise<RawUpstream> {
	const connections: RawConnection[] = [];
	const paths: string[] = [];
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		const connection: RawConnection = {paths: [], sentBytes: 0, isClosed: false};
		connections.push(connection);
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			connection.isClosed = true;
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			for (const {groups} of String(chunk).matchAll(REQUEST_LINE_PATTERN)) {
				const {path = ''} = groups!;
				connection.paths.push(path);
				paths.push(path);
				const response = respond(path);
				if (response !== undefined) {
					void send(socket, connection, response);
				}
			}
		});
	});
	const address = await utils.listen(server, {ip: '127.0.0.1', port: 0});
	t.teardown(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
	});
	return {address, connections, paths};
}

async function writeBytes(socket: net.Socket, text: string): Promise<void> {
	socket.setNoDelay(true);
	for (const byte of buffer.Buffer.from(text, 'latin1')) {
		socket.write(buffer.Buffer.of(byte));
		// eslint-disable-next-line no-await-in-loop -- One byte follows the other.
		await timers.setImmediate();
	}
}

async function send(socket: net.Socket, connection: RawConnection, {
	head, filler, isClosed, isReset, isSlow,
}: RawResponse): Promise<void> {
	connection.sentBytes += head.length;
	if (isSlow === true) {
		await writeBytes(socket, head);
	} else {
		socket.write(head, 'latin1');
	}

	if (isClosed === true) {
		socket.end();
	}

	if (isReset === true) {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, ARRIVAL_MILLISECONDS);
	}

	if (filler === undefined) {
		return;
	}

	const block = buffer.Buffer.from(filler.repeat(Math.ceil(FILLER_BYTES / filler.length)), 'latin1');
	const pump = () => {
		while (socket.writable) {
			connection.sentBytes += block.length;
			if (!socket.write(block)) {
				socket.once('drain', pump);
				return;
			}
		}
	};

	pump();
}

/**
A valid response.
*/
export function createResponse(body: string): RawResponse {
	return {head: `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`};
}
