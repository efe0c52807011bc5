/**
Spreads large bodies over time, so that a host's link never has a queue of them.

What goes wrong without it: an upload fills the link of a small host for a second, and everything else on that host waits behind its bytes, also the
few bytes by which it asks where a request goes. Its requests are late, and it takes control hosts for lost that are well.
*/
import {
	FAST_LINK_BYTES_PER_SECOND,
	MILLISECONDS_PER_SECOND,
	PACED_AT_ONCE_BYTES,
	PACED_PART,
} from './constants.ts';

/**
The pace of one direction of a link.
*/
export type Pace = {
	/**
	Counts bytes that pass, and returns the milliseconds to wait before the next.
	*/
	readonly pass: (bytes: number) => number;
};

/**
A pace that nothing waits for.
*/
export const NO_PACE: Pace = {pass: () => 0};

/**
Creates the pace of a direction.

@param bytesPerSecond What large bodies may take of it together.
@param now Monotonic time in milliseconds.
*/
export function createPace(bytesPerSecond: number, now: () => number): Pace {
	// When all that has passed is through.
	let freeAt = -Infinity;
	return {
		pass(bytes) {
			const time = now();
			freeAt = Math.max(freeAt, time) + (bytes * MILLISECONDS_PER_SECOND / bytesPerSecond);
			const ahead = PACED_AT_ONCE_BYTES * MILLISECONDS_PER_SECOND / bytesPerSecond;
			return Math.max(0, freeAt - time - ahead);
		},
	};
}

/**
The paces of both directions.
*/
export type Paces = {
	readonly receiving: Pace;
	readonly sending: Pace;
};

/**
Creates the paces of a host, none where its link carries a large body so soon that nothing waits behind it.

@param bytesPerSecond What the link carries in each direction.
*/
export function createPaces(bytesPerSecond: number, now: () => number): Paces | undefined {
	if (bytesPerSecond >= FAST_LINK_BYTES_PER_SECOND) {
		return undefined;
	}

	const create = () => createPace(bytesPerSecond * PACED_PART, now);
	return {receiving: create(), sending: create()};
}
