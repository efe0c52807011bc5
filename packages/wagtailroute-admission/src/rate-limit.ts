/**
Token bucket for `ratePerSecond`.
*/
import {BURST_SECONDS} from './constants.ts';

/**
A rate limit. Times are in ms of a monotonic clock.
*/
export type RateLimit = {
	readonly setRate: (ratePerSecond: number | undefined, now: number) => void;
	readonly hasToken: (now: number) => boolean;
	readonly takeToken: (now: number) => void;
	/**
	Time until so many requests may have started, in ms.
	*/
	readonly getDelay: (requests: number, now: number) => number;
};

const MILLISECONDS_PER_SECOND = 1000;
// A sum of fractions of a token may fall short of the whole by rounding.
const TOKEN_TOLERANCE = 1e-9;

/**
Creates a rate limit with a full bucket; no rate means no limit.
*/
export function createRateLimit(ratePerSecond: number | undefined, now: number): RateLimit {
	let rate = ratePerSecond;
	let tokens = getCapacity(rate);
	let filledAt = now;
	const fill = (time: number) => {
		if (rate !== undefined && time > filledAt) {
			tokens = Math.min(getCapacity(rate), tokens + ((time - filledAt) * rate / MILLISECONDS_PER_SECOND));
		}

		filledAt = Math.max(filledAt, time);
	};

	return {
		setRate(next, time) {
			fill(time);
			rate = next;
			tokens = Math.min(tokens, getCapacity(rate));
		},
		hasToken(time) {
			fill(time);
			return rate === undefined || tokens >= 1 - TOKEN_TOLERANCE;
		},
		takeToken(time) {
			fill(time);
			tokens -= 1;
		},
		getDelay(requests, time) {
			fill(time);
			const missing = requests - tokens;
			return rate === undefined || missing <= 0 ? 0 : missing * MILLISECONDS_PER_SECOND / rate;
		},
	};
}

function getCapacity(rate: number | undefined): number {
	return rate === undefined ? 0 : Math.max(1, rate * BURST_SECONDS);
}
