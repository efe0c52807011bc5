/**
HTTP server that receives the requests of callers.
*/
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {answerFailure, cutOff} from './answers.ts';
import {type ConnectionPools, createConnectionPools} from './connections.ts';
import {
	HEADERS_TIMEOUT_MILLISECONDS,
	KEEP_ALIVE_MILLISECONDS,
	MAX_CALLER_CONNECTIONS,
	MAX_HEADER_BYTES,
	PACED_CHUNK_BYTES,
	REQUEST_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import {serveExchange} from './exchange.ts';
import {createRequestFailure, type RequestFailure} from './failures.ts';
import {createHeldBytes, type HeldBytes} from './held-bytes.ts';
import {createPipeline} from './pipelining.ts';
import type {TrafficPorts} from './ports.ts';
import {createRequestAbortController, type RequestAbortController} from './request-abort.ts';
import {
	createRequestProgress,
	describeProgress,
	type RequestInProgress,
	type RequestProgress,
} from './request-progress.ts';
import {createStopLimit, type StopLimit} from './stop-limit.ts';

/**
A running traffic server.
*/
export type TrafficServer = {
	readonly connections: ConnectionPools;
	/**
	Address on which the server listens, with the port that the system chose for port 0.
	*/
	readonly address: core.Address;
	/**
	Returns the number of requests in progress.
	*/
	readonly getInFlight: () => number;
	/**
	Describes the requests in progress.
	*/
	readonly listInProgress: () => readonly RequestInProgress[];
	/**
	Returns the total number of bytes received from and sent to callers for finished requests.
	*/
	readonly getTransferredBytes: () => number;
	/**
	Returns the sum of the Content-Lengths of large request bodies in progress.
	*/
	readonly getLargeBodyBytes: () => number;
	/**
	Returns the number of bytes that are held in memory for slow readers.
	*/
	readonly getHeldBytes: () => number;
	/**
	Sets the monotonic time in milliseconds at which requests are ended, by `abort`. Deadlines are shortened to it; once the drain has begun, a request whose own deadline is later is refused as not run.
	*/
	readonly limitTime: (endsAt: number) => void;
	/**
	Ends requests in progress: those to which no response has begun are answered with a failure, and with `all` the responses that are not finished are cut off.
	*/
	readonly abort: (scope: AbortScope) => void;
	/**
	Accepts no new connections, and resolves when all requests in progress are finished and the connections closed.
	*/
	readonly drain: () => Promise<void>;
};

/**
Which of the requests in progress are ended.
*/
export type AbortScope = 'unanswered' | 'all';

/**
Optional parts of a traffic server.
*/
export type TrafficServerOptions = {
	/**
	Address at which other hosts forward requests to this one; absent where they use the callers' address or none does.
	*/
	readonly forwardingAddress?: core.Address;
};

/**
Opens the server and the connection pools to upstreams.
*/
export async function openTrafficServer(address: core.Address, ports: TrafficPorts, {forwardingAddress}: TrafficServerOptions = {}): Promise<TrafficServer> {
	const connections = createConnectionPools(ports.connectTimeoutMilliseconds);
	const heldBytes = createHeldBytes();
	const inFlightBySocket = new WeakMap<net.Socket, number>();
	const countedBytesBySocket = new WeakMap<net.Socket, number>();
	const stopLimit = createStopLimit();
	const inProgress = new Map<RequestProgress, RequestAbortController>();
	let transferredBytes = 0;
	let largeBodyBytes = 0;
	const pipeline = createPipeline();
	const countRequest = (message: http.IncomingMessage, progress: RequestProgress): RequestAbortController => {
		const abortController = createRequestAbortController();
		const {socket} = message;
		const declaredBytes = Number(message.headers['content-length'] ?? 0);
		const largeBytes = declaredBytes > PACED_CHUNK_BYTES ? declaredBytes : 0;
		largeBodyBytes += largeBytes;
		inProgress.set(progress, abortController);
		inFlightBySocket.set(socket, (inFlightBySocket.get(socket) ?? 0) + 1);
		progress.response.once('close', () => {
			inProgress.delete(progress);
			largeBodyBytes -= largeBytes;
			const socketBytes = socket.bytesRead + socket.bytesWritten;
			transferredBytes += socketBytes - (countedBytesBySocket.get(socket) ?? 0);
			countedBytesBySocket.set(socket, socketBytes);
			inFlightBySocket.set(socket, (inFlightBySocket.get(socket) ?? 1) - 1);
		});
		return abortController;
	};

	const createServer = (isForwarding: boolean) => http.createServer({
		maxHeaderSize: MAX_HEADER_BYTES,
		headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
		requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
		keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
		noDelay: true,
		...ports.pacers !== undefined && {highWaterMark: PACED_CHUNK_BYTES},
	}, (message, response) => {
		// Without a listener an error on a caller's connection would end the process. Exchanges react to the 'close' that follows.
		message.on('error', () => undefined);
		response.on('error', () => undefined);
		const arrivedAt = ports.now();
		pipeline.add(message.socket, {
			response,
			// What stands behind a response that closes the connection must not run, and here it is known beforehand.
			mayRunBeside: SAFE_METHODS.has(message.method ?? '') && response.shouldKeepAlive && !ports.isDraining(),
			serve() {
				const closeIfDraining = () => {
					// Other requests of the connection may have been passed on already; their responses come behind this one.
					const isAlone = inFlightBySocket.get(message.socket) === 1;
					if (isAlone && !response.headersSent && ports.isDraining()) {
						response.setHeader('connection', 'close');
					}
				};

				const progress = createRequestProgress(response, arrivedAt);
				const abortController = countRequest(message, progress);
				utils.runDetached(async () => serveWhenRoutable(ports, {connections, heldBytes, stopLimit}, {
					message, response, isForwarding, progress, abortController, closeIfDraining,
				}), error => {
					ports.onDefect(error);
					answerDefect(ports, response);
				});
			},
		});
	});
	const callerServer = createServer(false);
	const forwardingServer = createServer(true);
	const servers = forwardingAddress === undefined ? [callerServer] : [callerServer, forwardingServer];
	const drains = servers.map(server => utils.createDrain(server));
	for (const server of servers) {
		server.maxConnections = MAX_CALLER_CONNECTIONS;
		server.on('clientError', (error: ClientError, socket: net.Socket) => {
			// Malformed bytes may follow a complete request that is still running. A `not-run` answer written then would be taken as
			// the answer to that request, and the caller would resend it; a destroyed connection promises nothing.
			if ((inFlightBySocket.get(socket) ?? 0) > 0) {
				if (error.code === CLOSED_CONNECTION_CODE) {
					// The caller asked for the connection to be closed behind the request in progress, which is still answered.
					socket.pause();
				} else {
					socket.destroy();
				}

				return;
			}

			answerClientError(ports, error, socket);
		});
	}

	const listening = await utils.listen(callerServer, address);
	await (forwardingAddress === undefined ? undefined : utils.listen(forwardingServer, forwardingAddress));
	return {
		connections,
		address: listening,
		getInFlight: () => inProgress.size,
		listInProgress: () => inProgress.keys().map(progress => describeProgress(progress, ports.now())).toArray(),
		getTransferredBytes: () => transferredBytes,
		getLargeBodyBytes: () => largeBodyBytes,
		getHeldBytes: heldBytes.get,
		limitTime: stopLimit.setEnd,
		abort(scope) {
			for (const [{response}, abortController] of inProgress) {
				if (scope === 'all' || !response.headersSent) {
					abortController.abort('stopping');
				}

				if (scope === 'all') {
					cutOff(response);
				}
			}
		},
		async drain() {
			stopLimit.startDrain();
			await Promise.all(drains.map(async drain => drain()));
			await connections.close();
		},
	};
}

/**
Answers a request that a defect has ended. How far it came is not known.
*/
function answerDefect({dialect, random, onDefect}: TrafficPorts, response: http.ServerResponse): void {
	try {
		answerFailure(response, () => dialect.createProblem(createRequestFailure('internal-error', 'The request could not be handled.'), random));
	} catch (error) {
		onDefect(error as Error);
		response.destroy();
	}
}

async function serveWhenRoutable(ports: TrafficPorts, shared: SharedState, incoming: IncomingRequest): Promise<void> {
	const {response, abortController} = incoming;
	if (ports.routes?.areKnown() === false) {
		await abortController.race(ports.routes.wait());
	}

	const failure = response.destroyed ? undefined : await startExchange(ports, shared, incoming);
	if (failure !== undefined) {
		answerFailure(response, () => ports.dialect.createProblem(failure, ports.random));
	}
}

/**
What all requests of a host share.
*/
type SharedState = {
	readonly connections: ConnectionPools;
	readonly heldBytes: HeldBytes;
	readonly stopLimit: StopLimit;
};

type IncomingRequest = {
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	/**
	Another host forwarded the request to this host's address for that.
	*/
	readonly isForwarding: boolean;
	readonly progress: RequestProgress;
	readonly abortController: RequestAbortController;
	readonly closeIfDraining: () => void;
};

async function startExchange(
	ports: TrafficPorts,
	shared: SharedState,
	{
		message, response, isForwarding, progress, abortController, closeIfDraining,
	}: IncomingRequest,
): Promise<RequestFailure | undefined> {
	const parsedRequest = ports.dialect.parseRequest(message);
	if (parsedRequest.isErr()) {
		return parsedRequest.error;
	}

	const request = isForwarding ? {...parsedRequest.value, isForwarded: true} : parsedRequest.value;
	if (ports.dialect.isReserved(request.path)) {
		await ports.answerReserved(message, response, request.path);
		return undefined;
	}

	if (ports.isDraining()) {
		// The connection is closed after the answer, so that the caller looks up another address.
		response.setHeader('connection', 'close');
	}

	const routed = ports.route(request);
	if ('kind' in routed) {
		return routed;
	}

	progress.requestId = request.id;
	progress.service = routed.match.service;
	progress.requestClass = routed.match.route.class;
	await serveExchange({
		ports,
		...shared,
		message,
		response,
		request,
		progress,
		abortController,
		closeIfDraining,
		match: routed.match,
		service: routed.service,
		organisation: routed.organisation,
		catalogueVersion: routed.catalogueVersion,
	});
	return undefined;
}

/**
Methods whose requests may run beside each other on one connection (RFC 9112, section 9.3.2).
*/
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
Code of bytes that follow a request with `Connection: close`.
*/
const CLOSED_CONNECTION_CODE = 'HPE_CLOSED_CONNECTION';

type ClientError = Error & {readonly code?: string};

/**
Answers requests that the HTTP parser rejected: malformed requests, conflicting lengths, header sections that are too large or
received too slowly.
*/
function answerClientError({dialect, random}: TrafficPorts, error: ClientError, socket: net.Socket): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const failure = isTooLarge
		? createRequestFailure('header-too-large', `The header section is larger than ${MAX_HEADER_BYTES} bytes.`)
		: createRequestFailure('malformed-request', `The request was refused by the parser (${error.code ?? error.name}).`);
	const problem = dialect.createProblem(failure, random);
	const fields = Object.entries(problem.headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const reason = http.STATUS_CODES[problem.status] ?? '';
	socket.end(`HTTP/1.1 ${problem.status} ${reason}\r\n${fields}connection: close\r\n\r\n${problem.body}`);
}
