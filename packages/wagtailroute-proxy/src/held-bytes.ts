/**
Count of the bytes that a host holds in memory for slow readers, over all connections.
*/
import {MAX_HELD_BYTES} from './constants.ts';

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
	Returns whether no more should be held.
	*/
	readonly isFull: () => boolean;
};

/**
Creates a count of zero.
*/
export function createHeldBytes(maxBytes: number = MAX_HELD_BYTES): HeldBytes {
	let held = 0;
	return {
		add(bytes) {
			held += bytes;
		},
		get: () => held,
		isFull: () => held >= maxBytes,
	};
}
