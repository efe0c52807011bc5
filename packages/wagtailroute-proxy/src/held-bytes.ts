/**
Count of the bytes that a host holds in memory for slow readers, callers and upstreams, over all connections.
*/
import {MAX_HELD_BYTES, MAX_HELD_RESPONSES_BYTES} from './constants.ts';

/**
Bytes held by a host.
*/
export type HeldBytes = {
	/**
	@param bytes Negative when they are no longer held.
	*/
	readonly add: (bytes: number) => void;
	readonly get: () => number;
	/**
	Returns whether responses that are being read should be read no further.
	*/
	readonly isFull: () => boolean;
	/**
	Returns whether nothing new should be held at all.
	*/
	readonly isExhausted: () => boolean;
	/**
	Calls a function once when the count is no longer exhausted.
	*/
	readonly onRoom: (run: () => void) => void;
};

/**
Creates a count of zero.
*/
export function createHeldBytes(maxResponsesBytes: number = MAX_HELD_RESPONSES_BYTES, maxBytes: number = MAX_HELD_BYTES): HeldBytes {
	let held = 0;
	let waiting: Array<() => void> = [];
	return {
		add(bytes) {
			held += bytes;
			if (held >= maxBytes || waiting.length === 0) {
				return;
			}

			const ready = waiting;
			waiting = [];
			for (const run of ready) {
				run();
			}
		},
		get: () => held,
		isFull: () => held >= maxResponsesBytes,
		isExhausted: () => held >= maxBytes,
		onRoom(run) {
			waiting.push(run);
		},
	};
}
