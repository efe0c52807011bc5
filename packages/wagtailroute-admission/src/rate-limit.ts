/**
Rate limit of requests: a token bucket.
*/
import {DEFAULT_BURST_SECONDS} from './constants.ts';

/**
A rate limit. Times are in milliseconds of a monotonic clock.
*/
export type RateLimit = {
	/**
	@param capacity Capacity of the bucket in tokens; 0.1 seconds of the rate when absent.
	*/
	readonly setRate: (ratePerSecond: number | undefined, now: number, capacity?: number) => void;
	readonly hasToken: (now: number) => boolean;
	/**
	Removes tokens, also when the bucket holds fewer: the balance becomes negative and refills at the rate.

	@param tokens 1 when absent; a negative number adds tokens.
	*/
	readonly consumeTokens: (now: number, tokens?: number) => void;
	readonly getTokens: (now: number) => number;
	/**
	Returns the time until the bucket holds a token for each of the given number of requests, in milliseconds.
	*/
	readonly getDelay: (requests: number, now: number) => number;
};

const MILLISECONDS_PER_SECOND = 1000;
// Rounding may leave a sum of fractions slightly below a whole token.
const TOKEN_TOLERANCE = 1e-9;

/**
Initial state of the bucket.
*/
export type InitialBucket = {
	readonly capacity: number;
	readonly tokens: number;
};

/**
Creates a rate limit. Without a rate there is no limit.

@param bucket A full bucket with a capacity of 0.1 seconds of the rate when absent.
*/
export function createRateLimit(ratePerSecond: number | undefined, now: number, bucket?: InitialBucket): RateLimit {
	let rate = ratePerSecond;
	let capacity = bucket?.capacity ?? getCapacity(rate);
	let tokens = bucket?.tokens ?? capacity;
	let filledAt = now;
	const fill = (time: number) => {
		if (rate !== undefined && time > filledAt) {
			tokens = Math.min(capacity, tokens + ((time - filledAt) * rate / MILLISECONDS_PER_SECOND));
		}

		filledAt = Math.max(filledAt, time);
	};

	return {
		setRate(next, time, nextCapacity) {
			fill(time);
			rate = next;
			capacity = nextCapacity ?? getCapacity(rate);
			tokens = Math.min(tokens, capacity);
		},
		hasToken(time) {
			fill(time);
			return rate === undefined || tokens >= 1 - TOKEN_TOLERANCE;
		},
		consumeTokens(time, consumed = 1) {
			fill(time);
			tokens = Math.min(capacity, tokens - consumed);
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
	return rate === undefined ? 0 : Math.max(1, rate * DEFAULT_BURST_SECONDS);
}
