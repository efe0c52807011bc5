/**
Serves the pipelined requests of a connection one after the other.

Node hands over a pipelined request as soon as it is parsed. If it were served at once, it could run behind a response that closes the connection: its caller never
gets an answer and takes it for not read. All requests of a connection could also run at once, and their responses wait in memory for a slow caller.
*/
import type * as http from 'node:http';
import type * as net from 'node:net';
import {MAX_PIPELINED_REQUESTS} from './constants.ts';

type PipelinedRequest = {
	readonly response: http.ServerResponse;
	readonly serve: () => void;
};

type ConnectionQueue = {
	isBusy: boolean;
	/**
	More requests arrived than are held: the connection is closed behind the last one that is held.
	*/
	isOverfull: boolean;
	readonly waiting: PipelinedRequest[];
};

/**
The requests of all connections.
*/
export type Pipeline = {
	/**
	Serves a request when the responses to all earlier ones on its connection have been sent. Never, when one of these closes the connection.
	*/
	readonly add: (socket: net.Socket, request: PipelinedRequest) => void;
};

/**
Creates a pipeline without requests.
*/
export function createPipeline(): Pipeline {
	const queues = new WeakMap<net.Socket, ConnectionQueue>();

	const start = (socket: net.Socket, queue: ConnectionQueue, {response, serve}: PipelinedRequest) => {
		queue.isBusy = true;
		response.once('finish', () => {
			// Node's own listener runs first and ends the connection where the response says so.
			const next = socket.writable ? queue.waiting.shift() : undefined;
			if (next === undefined) {
				queue.isBusy = false;
				queue.waiting.length = 0;
			} else {
				start(socket, queue, next);
			}
		});
		if (queue.isOverfull && queue.waiting.length === 0) {
			response.setHeader('connection', 'close');
		}

		serve();
	};

	return {
		add(socket, request) {
			const queue = queues.get(socket) ?? {isBusy: false, isOverfull: false, waiting: []};
			queues.set(socket, queue);
			if (!queue.isBusy) {
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
