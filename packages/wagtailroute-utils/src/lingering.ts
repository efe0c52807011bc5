/**
Lingering closes of connections.

When a connection is closed while received bytes wait unread, or when bytes arrive after its close, the system resets it and drops what it still has to send: a response that was written
whole would reach a slow reader cut. So only the sending side is closed at first. What still comes is read and dropped until the other side has closed as well.
*/
import type * as net from 'node:net';
import {type Discard, startDiscard} from './discards.ts';

/**
Milliseconds that a connection lingers at most from when all has been written.
*/
export const MAX_LINGER_MILLISECONDS = 5000;

/**
Bytes that are dropped on a lingering connection.
*/
const MAX_LINGER_BYTES = 67_108_864;

/**
Connections of one server at work that linger at the same time. Each one takes a descriptor; beyond this number the one that has lingered longest is closed.
*/
export const MAX_LINGERING_CONNECTIONS = 512;

/**
Returns a function that closes a connection: at once for writing and receiving requests, and entirely when the other side has closed too or the limits are exceeded.

@param getMaxConnections Returns how many connections may linger at the time of a call.
*/
export function createLingeringClose(getMaxConnections: () => number): (socket: net.Socket) => void {
	const lingering = new Set<net.Socket>();
	return socket => {
		if (socket.destroyed || lingering.has(socket)) {
			return;
		}

		const [longest] = lingering.size >= getMaxConnections() ? lingering : [];
		longest?.destroy();
		lingering.add(socket);
		socket.once('close', () => {
			lingering.delete(socket);
		});
		linger(socket);
	};
}

function linger(socket: net.Socket): void {
	let discard: Discard | undefined;
	// Takes the connection from the parser of HTTP, so that no further request is received.
	socket.removeAllListeners('data');
	socket.on('data', chunk => {
		discard?.count(chunk.length);
	});
	// A stream that the parser had paused takes a read for pending; this ends it, so that `resume` starts a new one.
	socket.push('');
	socket.resume();
	const start = () => {
		discard = startDiscard({milliseconds: MAX_LINGER_MILLISECONDS, bytes: MAX_LINGER_BYTES}, () => {
			socket.destroy();
		});
	};

	if (socket.writableFinished) {
		start();
	} else {
		socket.once('finish', start);
	}

	socket.once('close', () => {
		discard?.end();
	});
	socket.end();
}
