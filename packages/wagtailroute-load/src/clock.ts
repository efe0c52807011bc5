/**
The clock of a run on the event loop.
*/
import * as constants from './constants.ts';
import type {Clock} from './pacing.ts';

/**
Creates a clock of monotonic time. Short waits turn the loop once, since a timer would be late by up to a millisecond.
*/
export function createClock(): Clock {
	let wakeUp: (() => void) | undefined;
	return {
		now: () => performance.now(),
		async wait(milliseconds) {
			await new Promise<void>(resolve => {
				if (milliseconds < constants.TIMER_MILLISECONDS) {
					setImmediate(resolve);
					return;
				}

				const timer = setTimeout(resolve, milliseconds - 1);
				wakeUp = () => {
					clearTimeout(timer);
					resolve();
				};
			});
			wakeUp = undefined;
		},
		wake() {
			wakeUp?.();
		},
	};
}
