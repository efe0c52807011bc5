/**
Shortfall: the fraction of a service's requests that fails.

Leaving an upstream idle costs nothing while the others serve all requests. While they fail, its capacity may be needed, so it is tried sooner.
*/
import {MIN_SHORTFALL_FAILURES, SHORTFALL_SLICE_MILLISECONDS, SHORTFALL_WINDOW_MILLISECONDS} from './constants.ts';
import {createRecentCounts} from './recent-counts.ts';

/**
Recent requests of a service, and how many of them failed.
*/
export type Shortfall = {
	readonly recordRequest: (now: number) => void;
	/**
	Records that a request was refused, or failed at its upstream.
	*/
	readonly recordFailure: (now: number) => void;
	/**
	Returns the fraction of the requests that failed, 0 to 1; 0 while so few failed that it may be chance.
	*/
	readonly getFailedPart: (now: number) => number;
};

/**
Creates a shortfall without requests.
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
