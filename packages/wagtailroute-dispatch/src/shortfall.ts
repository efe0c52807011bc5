/**
Whether a noticeable part of a service's requests is not served.

An upstream that is left alone costs nothing while the others serve what comes. While they fail, it may be what is missing, so it is tried sooner.
*/
import {SHORTFALL_FAILURES_LEAST, SHORTFALL_SLICE_MILLISECONDS, SHORTFALL_WINDOW_MILLISECONDS} from './constants.ts';

/**
Requests of the last while, and those of them that were not served.
*/
export type Shortfall = {
	readonly recordAsk: (now: number) => void;
	/**
	A request was refused, or its upstream failed it.
	*/
	readonly recordFailure: (now: number) => void;
	/**
	Returns the part of the requests that was not served, 0 to 1; 0 while so few failed that it may be chance.
	*/
	readonly getPart: (now: number) => number;
};

type Slice = {
	readonly startedAt: number;
	asks: number;
	failures: number;
};

/**
Starts without requests.
*/
export function createShortfall(): Shortfall {
	const slices: Slice[] = [];

	const forget = (now: number) => {
		while (slices.length > 0 && now - slices[0]!.startedAt > SHORTFALL_WINDOW_MILLISECONDS) {
			slices.shift();
		}
	};

	const getSlice = (now: number) => {
		forget(now);
		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < SHORTFALL_SLICE_MILLISECONDS) {
			return last;
		}

		const slice: Slice = {startedAt: now, asks: 0, failures: 0};
		slices.push(slice);
		return slice;
	};

	return {
		recordAsk(now) {
			getSlice(now).asks++;
		},
		recordFailure(now) {
			getSlice(now).failures++;
		},
		getPart(now) {
			forget(now);
			let asks = 0;
			let failures = 0;
			for (const slice of slices) {
				asks += slice.asks;
				failures += slice.failures;
			}

			return failures < SHORTFALL_FAILURES_LEAST ? 0 : Math.min(1, failures / Math.max(1, asks));
		},
	};
}
