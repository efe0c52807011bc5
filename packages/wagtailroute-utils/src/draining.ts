/**
Drains of HTTP servers: no new connections, and the open ones are closed as soon as they are idle.

Node counts a connection as idle once its last response was ended. What a slow reader has not taken by then still waits in the process, and would be lost with the connection.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import {LINGER_MILLISECONDS} from './discards.ts';
import {createLingeringClose, MAX_LINGERING_CONNECTIONS} from './lingering.ts';

/**
Connections that the system holds for a listening socket until the process accepts them, with Node's default backlog.
*/
const MAX_WAITING_CONNECTIONS = 512;

/**
Turns of the event loop without a new connection after which none waits. Less than one turn may be left of the first.
*/
const QUIET_TURNS = 2;

const UNKNOWN_EXPECTATION_STATUS = 417;

/**
`accepting`: the drain has begun and accepts the connections that wait. `closing`: it closes each connection as soon as it is idle.
*/
type DrainStage = 'serving' | 'accepting' | 'closing';

type ConnectionState = {
	/**
	Requests that are not received or not answered whole.
	*/
	pending: number;
	/**
	Bytes that had been received when the connection became idle last; undefined before its first request.
	*/
	idleBytes: number | undefined;
	/**
	Monotonic time in milliseconds when the connection became idle last.
	*/
	idleAt: number;
};

/**
Has a server close a connection as idle only after all of its responses were written and all of its requests received, and linger on each connection that may still have
a response on its way, also behind a response with `Connection: close`. To be called before the server listens.

@returns Starts the drain; resolves when all connections are closed. A connection on which no request has been received stays open for its first one.
*/
export function createDrain(server: http.Server): () => Promise<void> {
	const connections = new Map<net.Socket, ConnectionState>();
	let stage: DrainStage = 'serving';
	// A drain closes all connections at about the same time. It accepts new ones only at its beginning, so that the number of the open ones is the bound.
	const closeLingering = createLingeringClose(() => stage === 'serving' ? MAX_LINGERING_CONNECTIONS : Infinity);

	const closeIfIdle = (socket: net.Socket, {pending, idleBytes, idleAt}: ConnectionState) => {
		if (pending > 0 || socket.bytesRead !== idleBytes) {
			return;
		}

		// A caller that has sent nothing for as long as a connection lingers has had the time for its response. A request that crosses the close stays unread then, and
		// the reset tells its caller so.
		if (performance.now() - idleAt >= LINGER_MILLISECONDS) {
			socket.destroy();
		} else {
			closeLingering(socket);
		}
	};

	const settle = (socket: net.Socket, state: ConnectionState) => {
		state.pending--;
		state.idleBytes = socket.bytesRead;
		state.idleAt = performance.now();
		if (stage === 'closing') {
			closeIfIdle(socket, state);
		}
	};

	// Called by `close` as well.
	server.closeIdleConnections = () => {
		for (const [socket, state] of connections) {
			closeIfIdle(socket, state);
		}
	};

	server.on('connection', (socket: net.Socket) => {
		connections.set(socket, {pending: 0, idleBytes: undefined, idleAt: 0});
		// Called by Node behind a response that closes its connection.
		socket.destroySoon = () => {
			closeLingering(socket);
		};

		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const track = (message: http.IncomingMessage, response: http.ServerResponse) => {
		const {socket} = message;
		const state = connections.get(socket);
		if (state === undefined) {
			return;
		}

		state.pending++;
		response.once('close', () => {
			if (message.complete) {
				settle(socket, state);
				return;
			}

			message.once('close', () => {
				settle(socket, state);
			});
		});
	};

	server.on('request', track);
	// Node answers an expectation that it does not know by itself, and without a request.
	server.on('checkExpectation', (message: http.IncomingMessage, response: http.ServerResponse) => {
		track(message, response);
		response.writeHead(UNKNOWN_EXPECTATION_STATUS).end();
	});
	return async () => {
		stage = 'accepting';
		await acceptWaiting(server);
		stage = 'closing';
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
	};
}

/**
Accepts the connections that the system has established and the process has not accepted yet, and receives what has arrived on the others. The system resets the former
when the listening socket is closed, with the requests that were sent on them. Node accepts one in each turn of the event loop, so a busy process takes long; a limit in
time would leave some of them. While new connections keep coming, all that waited at first have been accepted after as many as the system holds.
*/
async function acceptWaiting(server: http.Server): Promise<void> {
	let accepted = 0;
	let quietTurns = 0;
	const record = () => {
		accepted++;
		quietTurns = -1;
	};

	const mayWait = () => quietTurns < QUIET_TURNS && accepted < MAX_WAITING_CONNECTIONS;
	server.on('connection', record);
	while (mayWait()) {
		// eslint-disable-next-line no-await-in-loop -- One turn after the other.
		await timers.setImmediate();
		quietTurns++;
	}

	server.off('connection', record);
}
