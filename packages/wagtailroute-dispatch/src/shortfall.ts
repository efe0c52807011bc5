/**
Whether a noticeable part of a service's requests is not served.

An upstream that is left alone costs nothing while the others serve what comes. While they fail, it may be what is missing, so it is tried sooner.
*/
import {MIN_SHORTFALL_FAILURES, SHORTFALL_SLICE_MILLISECONDS, SHORTFALL_WINDOW_MILLISECONDS} from './constants.ts';
import {createRecentCounts} from './recent-counts.ts';

/**
Requests of the last while, and those of them that were not served.
*/
export type Shortfall = {
	readonly recordRequest: (now: number) => void;
	/**
	A request was refused, or its upstream failed it.
	*/
	readonly recordFailure: (now: number) => void;
	/**
	Returns the part of the requests that was not served, 0 to 1; 0 while so few failed that it may be chance.
	*/
	readonly getFailedPart: (now: number) => number;
};

/**
Starts without requests.
*/
export function createShortfall(): Shortfall {
	const counts = createRecentCounts({asks: 0, failures: 0}, {windowMilliseconds: SHORTFALL_WINDOW_MILLISECONDS, sliceMilliseconds: SHORTFALL_SLICE_MILLISECONDS});
	return {
		recordRequest(now) {
			counts.add('asks', now);
		},
		recordFailure(now) {
			counts.add('failures', now);
		},
		getFailedPart(now) {
			const {asks, failures} = counts.sum(now);
			return failures < MIN_SHORTFALL_FAILURES ? 0 : Math.min(1, failures / Math.max(1, asks));
		},
	};
}
