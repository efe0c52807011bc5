/**
Rate limit of large bodies, so that they do not queue on a host's link.

Without it an upload fills the link of a small host for a second, and all other traffic queues behind it, including the slot requests to dispatchers. Requests of the
host are then late, and it considers healthy control hosts lost.
*/
import type * as utils from 'wagtailroute-utils';
import {
	LARGE_BODY_LINK_FRACTION,
	MAX_PACED_PIECE_BYTES,
	MILLISECONDS_PER_SECOND,
	MIN_PACED_PIECE_BYTES,
	MIN_UNPACED_LINK_BYTES_PER_SECOND,
	PACED_PIECE_MILLISECONDS,
	PACING_BURST_BYTES,
	PACING_CREDIT_MILLISECONDS,
} from './constants.ts';
import {createLargeResponses, type LargeResponses} from './large-responses.ts';

/**
Limits the rate of large bodies in one direction of a link.
*/
export type Pacer = {
	/**
	Counts bytes that are passed on, and returns the milliseconds to wait before more may follow.
	*/
	readonly reserve: (bytes: number) => number;
	/**
	Calls a function when the next bytes may be passed on, and counts them. All users take turns: with a timer for each, several pieces would follow
	each other at once after a late turn of the event loop. Returns how to withdraw.
	*/
	readonly schedule: (bytes: number, run: () => void) => utils.Teardown;
	/**
	Maximum number of bytes to schedule at once.
	*/
	readonly pieceBytes: number;
};

type Turn = {readonly bytes: number; readonly run: () => void};

/**
A pacer without a limit.
*/
export const UNLIMITED_PACER: Pacer = {
	reserve: () => 0,
	pieceBytes: MAX_PACED_PIECE_BYTES,
	schedule(_bytes, run) {
		run();
		return () => undefined;
	},
};

/**
Creates the pacer of one direction.

@param bytesPerSecond Maximum rate of all large bodies together.
@param now Returns monotonic time in milliseconds.
*/
export function createPacer(bytesPerSecond: number, now: () => number): Pacer {
	// Time at which the bytes counted so far have been transmitted.
	let freeAt = -Infinity;
	const turns = new Set<Turn>();
	let timer: NodeJS.Timeout | undefined;
	const scheduleNext = () => {
		if (timer !== undefined || turns.size === 0) {
			return;
		}

		timer = setTimeout(() => {
			timer = undefined;
			const turn = turns.values().next().value;
			if (turn === undefined) {
				return;
			}

			turns.delete(turn);
			freeAt = Math.max(freeAt, now() - PACING_CREDIT_MILLISECONDS) + (turn.bytes * MILLISECONDS_PER_SECOND / bytesPerSecond);
			turn.run();
			scheduleNext();
		}, Math.max(0, freeAt - now()));
	};

	const linkBytesPerSecond = bytesPerSecond / LARGE_BODY_LINK_FRACTION;
	return {
		pieceBytes: Math.round(Math.min(MAX_PACED_PIECE_BYTES, Math.max(MIN_PACED_PIECE_BYTES, linkBytesPerSecond * PACED_PIECE_MILLISECONDS / MILLISECONDS_PER_SECOND))),
		schedule(bytes, run) {
			const turn = {bytes, run};
			turns.add(turn);
			scheduleNext();
			return () => {
				turns.delete(turn);
			};
		},
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
	readonly largeResponses: LargeResponses;
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
	return {receiving: create(), sending: create(), largeResponses: createLargeResponses(bytesPerSecond * LARGE_BODY_LINK_FRACTION, now)};
}
