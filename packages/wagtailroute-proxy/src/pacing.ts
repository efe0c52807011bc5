/**
Spreads large bodies over time, so that a host's link never has a queue of them.

What goes wrong without it: an upload fills the link of a small host for a second, and everything else on that host waits behind its bytes, also the
few bytes by which it asks where a request goes. Its requests are late, and it takes control hosts for lost that are well.
*/
import {
	MIN_UNPACED_LINK_BYTES_PER_SECOND,
	MILLISECONDS_PER_SECOND,
	PACING_BURST_BYTES,
	LARGE_BODY_LINK_FRACTION,
} from './constants.ts';

/**
The pace of one direction of a link.
*/
export type Pacer = {
	/**
	Counts bytes that pass, and returns the milliseconds to wait before the next.
	*/
	readonly reserve: (bytes: number) => number;
};

/**
A pace that nothing waits for.
*/
export const UNLIMITED_PACER: Pacer = {reserve: () => 0};

/**
Creates the pace of a direction.

@param bytesPerSecond What large bodies may take of it together.
@param now Monotonic time in milliseconds.
*/
export function createPacer(bytesPerSecond: number, now: () => number): Pacer {
	// When all that has passed is through.
	let freeAt = -Infinity;
	return {
		reserve(bytes) {
			const time = now();
			freeAt = Math.max(freeAt, time) + (bytes * MILLISECONDS_PER_SECOND / bytesPerSecond);
			const burstMilliseconds = PACING_BURST_BYTES * MILLISECONDS_PER_SECOND / bytesPerSecond;
			return Math.max(0, freeAt - time - burstMilliseconds);
		},
	};
}

/**
The paces of both directions.
*/
export type Pacers = {
	readonly receiving: Pacer;
	readonly sending: Pacer;
};

/**
Creates the paces of a host, none where its link carries a large body so soon that nothing waits behind it.

@param bytesPerSecond What the link carries in each direction.
*/
export function createPacers(bytesPerSecond: number, now: () => number): Pacers | undefined {
	if (bytesPerSecond >= MIN_UNPACED_LINK_BYTES_PER_SECOND) {
		return undefined;
	}

	const create = () => createPacer(bytesPerSecond * LARGE_BODY_LINK_FRACTION, now);
	return {receiving: create(), sending: create()};
}
