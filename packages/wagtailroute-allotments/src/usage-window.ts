/**
Counts the requests of a sliding window. It keeps one sum for each time slice, so its memory does not depend on the rate; the oldest slice counts in full, so
that the count is never too low.
*/
import {WINDOW_SLICES} from './constants.ts';

/**
The requests of a sliding window. Times are in milliseconds of a monotonic clock.
*/
export type UsageWindow = {
	/**
	Counts requests; a negative number subtracts.

	@param at When they were admitted, up to a window ago.
	*/
	readonly add: (requests: number, at: number) => void;
	/**
	@param getWeight Returns the fraction of a time's requests that counts, 0 to 1; absent: all of them.
	*/
	readonly count: (now: number, getWeight?: (at: number) => number) => number;
	/**
	Returns the milliseconds until the oldest requests leave the window.
	*/
	readonly getDelay: (now: number) => number;
};

/**
Creates an empty window.
*/
export function createUsageWindow(windowMilliseconds: number): UsageWindow {
	const sliceMilliseconds = windowMilliseconds / WINDOW_SLICES;
	/**
	Requests by slice number, in the order of recording.
	*/
	const slices = new Map<number, number>();
	const getSliceNumber = (time: number) => Math.floor(time / sliceMilliseconds);
	const evictExpired = (now: number) => {
		const oldest = getSliceNumber(now - windowMilliseconds);
		for (const number of slices.keys()) {
			if (number < oldest) {
				slices.delete(number);
			}
		}
	};

	return {
		add(requests, at) {
			const number = getSliceNumber(at);
			slices.set(number, (slices.get(number) ?? 0) + requests);
		},
		count(now, getWeight = () => 1) {
			evictExpired(now);
			return Math.max(0, slices.entries().reduce((sum, [number, requests]) => sum + (requests * getWeight(number * sliceMilliseconds)), 0));
		},
		getDelay(now) {
			evictExpired(now);
			const oldest = Math.min(...slices.keys());
			return Number.isFinite(oldest) ? ((oldest + 1) * sliceMilliseconds) + windowMilliseconds - now : 0;
		},
	};
}
