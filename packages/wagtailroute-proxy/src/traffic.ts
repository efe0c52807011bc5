/**
The server that callers and backend servers talk to.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {answerFailure} from './answers.ts';
import {type Connections, createConnections} from './connections.ts';
import {
	HEADER_BYTES,
	HEADERS_MILLISECONDS,
	KEEP_ALIVE_MILLISECONDS,
	MAXIMUM_CALLER_CONNECTIONS,
	PACED_PIECE_BYTES,
	REQUEST_MILLISECONDS,
} from './constants.ts';
import {serveExchange} from './exchange.ts';
import {createRequestFailure, type RequestFailure} from './failures.ts';
import type {TrafficPorts} from './ports.ts';

/**
The traffic server of a host.
*/
export type TrafficServer = {
	readonly connections: Connections;
	/**
	The address it listens on, with the port that the system chose for port 0.
	*/
	readonly address: core.Address;
	/**
	Requests under way.
	*/
	readonly getInFlight: () => number;
	/**
	Bytes of ended requests and their answers so far, as callers' connections carried them.
	*/
	readonly getBytes: () => number;
	/**
	Bytes of large bodies of the requests under way, as far as they are declared.
	*/
	readonly getLargeBytes: () => number;
	/**
	Takes no new connections, finishes every request in flight, then closes.
	*/
	readonly drain: () => Promise<void>;
};

/**
Opens the server.
*/
export async function openTrafficServer(address: core.Address, ports: TrafficPorts): Promise<TrafficServer> {
	const connections = createConnections(ports.connectMilliseconds);
	const inFlightOn = new WeakMap<net.Socket, number>();
	const countedOn = new WeakMap<net.Socket, number>();
	let inFlight = 0;
	let bytes = 0;
	let largeBytes = 0;
	let isClosing = false;
	const server = http.createServer({
		maxHeaderSize: HEADER_BYTES,
		headersTimeout: HEADERS_MILLISECONDS,
		requestTimeout: REQUEST_MILLISECONDS,
		keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
		noDelay: true,
		...ports.paces !== undefined && {highWaterMark: PACED_PIECE_BYTES},
	}, (message, response) => {
		const {socket} = message;
		const declared = Number(message.headers['content-length'] ?? 0);
		const large = declared > PACED_PIECE_BYTES ? declared : 0;
		largeBytes += large;
		inFlight++;
		inFlightOn.set(socket, (inFlightOn.get(socket) ?? 0) + 1);
		response.once('close', () => {
			inFlight--;
			largeBytes -= large;
			const carried = socket.bytesRead + socket.bytesWritten;
			bytes += carried - (countedOn.get(socket) ?? 0);
			countedOn.set(socket, carried);
			inFlightOn.set(socket, (inFlightOn.get(socket) ?? 1) - 1);
			if (isClosing) {
				// The answer may have begun before the drain and kept its connection: Node closes what is idle only once, at the
				// close, so the host would wait for its caller's next request or the keep-alive time.
				setImmediate(() => {
					server.closeIdleConnections();
				});
			}
		});
		serve(ports, connections, message, response);
	});
	server.maxConnections = MAXIMUM_CALLER_CONNECTIONS;
	server.on('clientError', (error: ClientError, socket: net.Socket) => {
		// Bytes that follow a whole request may be malformed while it is under way. A `not-run` written then would be read as its
		// answer although it runs, and be sent again; a connection that is cut says what is known, nothing.
		if ((inFlightOn.get(socket) ?? 0) > 0) {
			socket.destroy();
			return;
		}

		answerClientError(ports, error, socket);
	});
	const listening = await utils.listen(server, address);
	return {
		connections,
		address: listening,
		getInFlight: () => inFlight,
		getBytes: () => bytes,
		getLargeBytes: () => largeBytes,
		async drain() {
			// Closes idle connections now and the others after their answer.
			isClosing = true;
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			await connections.close();
		},
	};
}

function serve(
	ports: TrafficPorts,
	connections: Connections,
	message: http.IncomingMessage,
	response: http.ServerResponse,
): void {
	// Without a listener an error on a caller's connection would end the process; 'close' tells all there is to know.
	message.on('error', () => undefined);
	response.on('error', () => undefined);
	const arrivedAt = ports.now();
	const serveRouted = () => {
		const failure = response.destroyed ? undefined : findRoute(ports, connections, {message, response, arrivedAt});
		if (failure !== undefined) {
			answerFailure(response, () => ports.dialect.createProblem(failure, ports.random));
		}
	};

	if (ports.routes?.areKnown() ?? true) {
		serveRouted();
		return;
	}

	void (async () => {
		await ports.routes!.wait();
		serveRouted();
	})();
}

type Arrival = {
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly arrivedAt: number;
};

function findRoute(ports: TrafficPorts, connections: Connections, {message, response, arrivedAt}: Arrival): RequestFailure | undefined {
	const parsed = ports.dialect.parseRequest(message);
	if (parsed.isErr()) {
		return parsed.error;
	}

	const request = parsed.value;
	if (ports.dialect.isReserved(request.path)) {
		ports.answerReserved(message, response, request.path);
		return undefined;
	}

	if (ports.isDraining()) {
		// The answer closes the connection, so that the caller asks for another address.
		response.setHeader('connection', 'close');
	}

	const routed = ports.route(request);
	if ('kind' in routed) {
		return routed;
	}

	void serveExchange({
		ports,
		connections,
		message,
		response,
		request,
		arrivedAt,
		match: routed.match,
		service: routed.service,
		organisation: routed.organisation,
	});
	return undefined;
}

type ClientError = Error & {readonly code?: string};

/**
Answers what the parser refused: malformed requests, conflicting lengths, header sections that are too large or too slow.
*/
function answerClientError({dialect, random}: TrafficPorts, error: ClientError, socket: net.Socket): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const failure = isTooLarge
		? createRequestFailure('header-too-large', `The header section is larger than ${HEADER_BYTES} bytes.`)
		: createRequestFailure('malformed-request', `The request was refused by the parser (${error.code ?? error.name}).`);
	const problem = dialect.createProblem(failure, random);
	const fields = Object.entries(problem.headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const reason = http.STATUS_CODES[problem.status] ?? '';
	socket.end(`HTTP/1.1 ${problem.status} ${reason}\r\n${fields}connection: close\r\n\r\n${problem.body}`);
}
