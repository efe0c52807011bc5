/**
A timer for the replica's next tick. Postponing the tick leaves the scheduled timer in place, since every heartbeat postpones
it; when the timer fires early, its callback sets it again.
*/
import type * as utils from 'wagtailroute-utils';

/**
A timer set to monotonic times in milliseconds.
*/
export type Timer = {
	readonly set: (at: number) => void;
	readonly cancel: () => void;
};

/**
Creates a timer. `run` is called at or after the earliest time set since its last call and has to set the timer again.
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
