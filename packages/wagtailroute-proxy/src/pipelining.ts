/**
Serves the pipelined requests of a connection: a few safe ones beside each other, all others one after the other.

Node hands over a pipelined request as soon as it is parsed. If an unsafe one were served at once, it could run behind a response that closes the connection: its caller
never gets an answer and takes it for not read. A safe one may be sent again, and is cancelled when the connection closes. All requests of a connection could also run
at once, and their responses wait in memory for a slow caller.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';
import {MAX_PARALLEL_PIPELINED_REQUESTS, MAX_PIPELINED_REQUESTS} from './constants.ts';

type PipelinedRequest = {
	readonly response: http.ServerResponse;
	/**
	Whether it may run although its caller takes it for not read: its method is safe.
	*/
	readonly mayRunBeside: boolean;
	readonly serve: () => void;
};

type ConnectionQueue = {
	running: number;
	/**
	Whether the request that runs must run alone.
	*/
	isExclusive: boolean;
	/**
	More requests arrived than are held: the connection is closed behind the last one that is held.
	*/
	isOverfull: boolean;
	/**
	Response to the request that was started last.
	*/
	last: http.ServerResponse | undefined;
	readonly waiting: PipelinedRequest[];
};

/**
The requests of all connections.
*/
export type Pipeline = {
	/**
	Serves a safe request beside other safe ones, and any other when the responses to all earlier ones on its connection have been sent. Never, when
	one of these closes the connection.
	*/
	readonly add: (socket: net.Socket, request: PipelinedRequest) => void;
};

/**
Creates a pipeline without requests.

@param isDraining Whether a connection is closed behind the last request that was received on it, so that its caller looks up another address.
*/
export function createPipeline(isDraining: () => boolean): Pipeline {
	const queues = new WeakMap<net.Socket, ConnectionQueue>();

	// Known only when the head is written: until then further requests are received, which would be lost behind a response that closes the connection.
	const mustClose = ({isOverfull, last, waiting}: ConnectionQueue, response: http.ServerResponse) =>
		last === response && waiting.length === 0 && (isOverfull || isDraining());

	const mayStart = ({running, isExclusive}: ConnectionQueue, {mayRunBeside}: PipelinedRequest) =>
		running === 0 || (mayRunBeside && !isExclusive && running < MAX_PARALLEL_PIPELINED_REQUESTS);

	const start = (socket: net.Socket, queue: ConnectionQueue, {response, mayRunBeside, serve}: PipelinedRequest) => {
		queue.running++;
		queue.isExclusive = !mayRunBeside;
		queue.last = response;
		response.once('finish', () => {
			queue.running--;
			// Node's own listener runs first and ends the connection where the response says so.
			if (socket.writable) {
				startWaiting(socket, queue);
			} else {
				queue.waiting.length = 0;
			}
		});
		onHead(response, () => {
			if (mustClose(queue, response)) {
				response.setHeader('connection', 'close');
			}
		});
		serve();
	};

	const startWaiting = (socket: net.Socket, queue: ConnectionQueue) => {
		while (queue.waiting.length > 0 && mayStart(queue, queue.waiting[0]!)) {
			start(socket, queue, queue.waiting.shift()!);
		}
	};

	return {
		add(socket, request) {
			const queue = queues.get(socket) ?? {
				running: 0, isExclusive: false, isOverfull: false, last: undefined, waiting: [],
			};
			queues.set(socket, queue);
			if (queue.waiting.length === 0 && mayStart(queue, request)) {
				start(socket, queue, request);
			} else if (queue.isOverfull || queue.waiting.length >= MAX_PIPELINED_REQUESTS) {
				queue.isOverfull = true;
				socket.pause();
			} else {
				queue.waiting.push(request);
			}
		},
	};
}

/**
Runs a function right before the head of a response is written.
*/
function onHead(response: http.ServerResponse, run: () => void): void {
	const writeHead = response.writeHead.bind(response) as (...head: unknown[]) => http.ServerResponse;
	response.writeHead = (...head: unknown[]) => {
		run();
		return writeHead(...head);
	};
}
