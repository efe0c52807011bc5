/**
One timer that is moved as the replica's next tick moves. A tick that moves later leaves the set timer as it is: heartbeats
move it all the time, and it looks again when it fires.
*/
import type * as utils from 'wagtailroute-utils';

/**
A timer for monotonic times in milliseconds.
*/
export type Timer = {
	readonly set: (at: number) => void;
	readonly cancel: () => void;
};

/**
Creates a timer. `run` is called at or after the earliest time set since the last call; it sets the timer again.
*/
export function createTimer(
	clock: () => number,
	schedule: (delayMs: number, run: () => void) => utils.Teardown,
	run: () => void,
): Timer {
	let pending: {readonly at: number; readonly cancel: utils.Teardown} | undefined;
	const cancel = () => {
		pending?.cancel();
		pending = undefined;
	};

	return {
		set(at) {
			const isCovered = pending !== undefined && pending.at <= at;
			if (isCovered || at === Infinity) {
				return;
			}

			cancel();
			const fire = () => {
				pending = undefined;
				run();
			};

			pending = {at, cancel: schedule(Math.max(0, at - clock()), fire)};
		},
		cancel,
	};
}
