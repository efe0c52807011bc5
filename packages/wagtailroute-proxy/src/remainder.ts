/**
The rest of a request's body that its response no longer depends on, as after an upstream's early response.

Node reads what is behind a body only when the body has been read. If the rest were left, the next request on the connection would never be received; if the connection were closed
while the caller still sends, the system would reset it, and the caller could lose the response.
*/
import type * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as utils from 'wagtailroute-utils';
import {MAX_REMAINDER_BYTES, MAX_REMAINDER_MILLISECONDS} from './constants.ts';

/**
The one iterator of each message: while a message has one, its stream can be read by no other means.
*/
const iterators = new WeakMap<http.IncomingMessage, AsyncIterator<buffer.Buffer>>();

const discards = new WeakMap<http.IncomingMessage, Promise<boolean>>();

/**
Returns the chunks of a request's body that were not read yet.
*/
export function getChunks(message: http.IncomingMessage): AsyncIterator<buffer.Buffer> {
	// The iterator must not destroy the message: that would close the caller's connection before it is answered.
	const chunks = iterators.get(message) ?? message.iterator({destroyOnReturn: false}) as AsyncIterator<buffer.Buffer>;
	iterators.set(message, chunks);
	return chunks;
}

/**
Returns whether a request has been received completely, so that nothing of its body is left on the connection.
*/
export function isFullyRead({complete, headers}: http.IncomingMessage): boolean {
	return complete || (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined);
}

/**
Reads and drops the rest of a request's body. Resolves with whether all of it was received: not if the caller leaves, sends nothing for `LINGER_MILLISECONDS`, takes longer than
`MAX_REMAINDER_MILLISECONDS`, or sends more than `MAX_REMAINDER_BYTES`.
*/
export async function discardRemainder(message: http.IncomingMessage): Promise<boolean> {
	const discard = discards.get(message) ?? readToEnd(message);
	discards.set(message, discard);
	return discard;
}

/**
Has the next request on the connection of a response received, once the response has no use for the rest of its request's body. If the rest does not come, the connection is closed behind the
response.
*/
export async function receiveNextRequest(response: http.ServerResponse): Promise<void> {
	if (isFullyRead(response.req) || await discardRemainder(response.req)) {
		return;
	}

	const {socket} = response.req;
	if (response.writableFinished) {
		socket.destroy();
	} else {
		response.once('finish', () => {
			socket.destroy();
		});
	}
}

/**
Ends a response. One that closes its connection is ended once the rest of its request's body was received or does not come.
*/
export function endResponse(response: http.ServerResponse): void {
	if (isFullyRead(response.req) || !isConnectionClosed(response)) {
		response.end();
		return;
	}

	void endAfterRemainder(response);
}

async function endAfterRemainder(response: http.ServerResponse): Promise<void> {
	await discardRemainder(response.req);
	response.end();
}

function isConnectionClosed(response: http.ServerResponse): boolean {
	return !response.shouldKeepAlive || response.getHeader('connection') === 'close';
}

async function readToEnd(message: http.IncomingMessage): Promise<boolean> {
	const {promise, resolve} = Promise.withResolvers<boolean>();
	let isExceeded = false;
	const discard = utils.startDiscard({milliseconds: MAX_REMAINDER_MILLISECONDS, bytes: MAX_REMAINDER_BYTES}, () => {
		isExceeded = true;
		resolve(false);
	});
	void (async () => {
		resolve(await readChunks(message, discard, () => isExceeded));
	})();

	const isReceived = await promise;
	discard.end();
	return isReceived;
}

async function readChunks(message: http.IncomingMessage, discard: utils.Discard, isExceeded: () => boolean): Promise<boolean> {
	const chunks = getChunks(message);
	try {
		while (!isExceeded()) {
			// eslint-disable-next-line no-await-in-loop -- The chunks of a body arrive one after the other.
			const chunk = await chunks.next();
			if (chunk.done === true) {
				return message.complete;
			}

			discard.count(chunk.value.length);
		}
	} catch {
		// The caller has left.
	}

	return false;
}
