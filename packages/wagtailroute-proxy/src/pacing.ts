/**
Rate limit of large bodies, so that they do not queue on a host's link.

Without it an upload fills the link of a small host for a second, and all other traffic queues behind it, including the slot requests to dispatchers. Requests of the
host are then late, and it considers healthy control hosts lost.
*/
import {
	LARGE_BODY_LINK_FRACTION,
	MILLISECONDS_PER_SECOND,
	MIN_UNPACED_LINK_BYTES_PER_SECOND,
	PACING_BURST_BYTES,
} from './constants.ts';

/**
Limits the rate of large bodies in one direction of a link.
*/
export type Pacer = {
	/**
	Counts bytes that are passed on, and returns the milliseconds to wait before more may follow.
	*/
	readonly reserve: (bytes: number) => number;
};

/**
A pacer without a limit.
*/
export const UNLIMITED_PACER: Pacer = {reserve: () => 0};

/**
Creates the pacer of one direction.

@param bytesPerSecond Maximum rate of all large bodies together.
@param now Returns monotonic time in milliseconds.
*/
export function createPacer(bytesPerSecond: number, now: () => number): Pacer {
	// Time at which the bytes counted so far have been transmitted.
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
The pacers of both directions of a link.
*/
export type Pacers = {
	readonly receiving: Pacer;
	readonly sending: Pacer;
};

/**
Creates the pacers of a host; undefined when its link is so fast that large bodies delay nothing noticeably.

@param bytesPerSecond Capacity of the link in each direction.
*/
export function createPacers(bytesPerSecond: number, now: () => number): Pacers | undefined {
	if (bytesPerSecond >= MIN_UNPACED_LINK_BYTES_PER_SECOND) {
		return undefined;
	}

	const create = () => createPacer(bytesPerSecond * LARGE_BODY_LINK_FRACTION, now);
	return {receiving: create(), sending: create()};
}
