/**
Retry budget of one service on one host: a token bucket filled by requests.

What goes wrong without it: upstreams fail under load, every failed request is sent again, and the added load keeps them
failing. One would notice sends growing as a multiple of requests. Here each request adds `retryRatio` of a retry, so that
sends stay within 1 + `retryRatio` times the requests however many fail. A service with few requests saves up by time.
*/
import {BUDGET_WINDOW_REQUESTS, FLOOR_RETRIES_PER_SECOND, MIN_BUDGET_CAPACITY} from './constants.ts';

/**
A budget. Immutable.
*/
export type RetryBudget = {
	/**
	Retries that may be made now; a whole one is needed.
	*/
	readonly tokens: number;
	/**
	Monotonic time of the last request, in ms.
	*/
	readonly filledAt: number;
};

const MILLISECONDS_PER_SECOND = 1000;

/**
Creates an empty budget.
*/
export function createRetryBudget(now: number): RetryBudget {
	return {tokens: 0, filledAt: now};
}

/**
Adds what a new request of a caller allows. Resends are not counted: they would pay for further ones.
*/
export function countRequest(budget: RetryBudget, {retryRatio, now}: {
	readonly retryRatio: number;
	readonly now: number;
}): RetryBudget {
	const elapsed = Math.max(0, now - budget.filledAt);
	const saved = elapsed * FLOOR_RETRIES_PER_SECOND / MILLISECONDS_PER_SECOND;
	// A ratio of 0 turns retries off, the saved ones too.
	const earned = retryRatio > 0 ? Math.max(retryRatio, saved) : 0;
	const capacity = Math.max(MIN_BUDGET_CAPACITY, retryRatio * BUDGET_WINDOW_REQUESTS);
	return {tokens: Math.min(capacity, budget.tokens + earned), filledAt: Math.max(budget.filledAt, now)};
}

/**
Says whether a retry or a hedge may be made.
*/
export function hasRetry(budget: RetryBudget): boolean {
	return budget.tokens >= 1;
}

/**
Takes one retry.
*/
export function takeRetry(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: budget.tokens - 1};
}
