/**
Limits what an upstream may send on a connection besides the body of its response: status line, header section, interim responses, chunk framing, trailers, and bytes
outside of any response.

undici limits the size of header sections only. An upstream that sends a status line, interim responses or a chunk extension without end would otherwise be read until
the deadline of the request, at the full rate of the link, and a deadline set by the caller is no evidence against an upstream.
*/
import type * as net from 'node:net';
import {MAX_OVERHEAD_BYTES, MAX_OVERHEAD_PER_BODY_BYTE} from './constants.ts';

/**
Code of a connection that was destroyed because its upstream exceeded the limit. The prefix marks a malformed answer.
*/
export const OVERHEAD_CODE = 'HPE_OVERHEAD_OVERFLOW';

/**
An answer with more overhead than any valid one has.
*/
class OverheadError extends Error {
	override readonly name = 'OverheadError';
	get code(): string {
		return OVERHEAD_CODE;
	}
}

/**
Counts the overhead on one connection at a time; used for one request at a time.
*/
export type OverheadMeter = {
	/**
	Watches a new connection, which replaces the previous one.
	*/
	readonly watch: (socket: net.Socket) => void;
	/**
	Called when a request is sent.
	*/
	readonly start: () => void;
	/**
	Called when bytes of the body of the response have been received.
	*/
	readonly recordBody: (bytes: number) => void;
};

/**
Creates the meter of a client that has one connection at a time.
*/
export function createOverheadMeter(): OverheadMeter {
	let current: net.Socket | undefined;
	let startBytes = 0;
	let bodyBytes = 0;
	const reset = () => {
		startBytes = current?.bytesRead ?? 0;
		bodyBytes = 0;
	};

	return {
		watch(socket) {
			current = socket;
			reset();
			socket.on('readable', () => {
				const overheadBytes = socket.bytesRead - startBytes - bodyBytes;
				if (socket === current && overheadBytes > MAX_OVERHEAD_BYTES + (bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE)) {
					socket.destroy(new OverheadError(`The upstream sent ${overheadBytes} bytes besides the body of its response.`));
				}
			});
		},
		start: reset,
		recordBody(bytes) {
			bodyBytes += bytes;
		},
	};
}
