/**
Token bucket for a rate of requests.
*/
import {BURST_SECONDS} from './constants.ts';

/**
A rate limit. Times are in ms of a monotonic clock.
*/
export type RateLimit = {
	/**
	@param capacity Tokens that the bucket holds; a tenth of a second's worth when absent.
	*/
	readonly setRate: (ratePerSecond: number | undefined, now: number, capacity?: number) => void;
	readonly hasToken: (now: number) => boolean;
	/**
	Takes tokens whether or not they are there: what is owed is worked off at the rate.

	@param tokens 1 when absent; a negative number gives back.
	*/
	readonly takeToken: (now: number, tokens?: number) => void;
	readonly getTokens: (now: number) => number;
	/**
	Time until so many requests may have started, in ms.
	*/
	readonly getDelay: (requests: number, now: number) => number;
};

const MILLISECONDS_PER_SECOND = 1000;
// A sum of fractions of a token may fall short of the whole by rounding.
const TOKEN_TOLERANCE = 1e-9;

/**
The bucket that a rate limit begins with.
*/
export type Bucket = {
	readonly capacity: number;
	readonly tokens: number;
};

/**
Creates a rate limit; no rate means no limit.

@param bucket A full one of a tenth of a second's worth when absent.
*/
export function createRateLimit(ratePerSecond: number | undefined, now: number, bucket?: Bucket): RateLimit {
	let rate = ratePerSecond;
	let limit = bucket?.capacity ?? getCapacity(rate);
	let tokens = bucket?.tokens ?? limit;
	let filledAt = now;
	const fill = (time: number) => {
		if (rate !== undefined && time > filledAt) {
			tokens = Math.min(limit, tokens + ((time - filledAt) * rate / MILLISECONDS_PER_SECOND));
		}

		filledAt = Math.max(filledAt, time);
	};

	return {
		setRate(next, time, capacity) {
			fill(time);
			rate = next;
			limit = capacity ?? getCapacity(rate);
			tokens = Math.min(tokens, limit);
		},
		hasToken(time) {
			fill(time);
			return rate === undefined || tokens >= 1 - TOKEN_TOLERANCE;
		},
		takeToken(time, taken = 1) {
			fill(time);
			tokens = Math.min(limit, tokens - taken);
		},
		getTokens(time) {
			fill(time);
			return tokens;
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
