/**
Retry budget of one service on one host: a token bucket that is filled by requests.

It prevents retry storms: when upstreams fail under load and every failed request is sent again, the added load keeps them
failing, and attempts grow to a multiple of the requests. Each request adds `retryRatio` tokens, which limits attempts to
1 + `retryRatio` times the requests however many fail. A service with few requests also earns tokens by time.
*/
import {BUDGET_WINDOW_REQUESTS, MIN_RETRIES_PER_SECOND, MIN_BUDGET_CAPACITY} from './constants.ts';

/**
State of a budget. Immutable.
*/
export type RetryBudget = {
	/**
	Retries that are available now; a retry needs a whole token.
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
Adds the tokens that a new request of a caller earns. Must not be called for retries: they would earn further retries.
*/
export function creditRequest(budget: RetryBudget, {retryRatio, now}: {
	readonly retryRatio: number;
	readonly now: number;
}): RetryBudget {
	const elapsed = Math.max(0, now - budget.filledAt);
	const earnedByTime = elapsed * MIN_RETRIES_PER_SECOND / MILLISECONDS_PER_SECOND;
	// A ratio of 0 turns retries off, including those earned by time.
	const earned = retryRatio > 0 ? Math.max(retryRatio, earnedByTime) : 0;
	const capacity = Math.max(MIN_BUDGET_CAPACITY, retryRatio * BUDGET_WINDOW_REQUESTS);
	return {tokens: Math.min(capacity, budget.tokens + earned), filledAt: Math.max(budget.filledAt, now)};
}

/**
Returns whether the budget allows a retry or a hedge.
*/
export function hasRetryToken(budget: RetryBudget): boolean {
	return budget.tokens >= 1;
}

/**
Removes the token of one retry or hedge.
*/
export function spendRetryToken(budget: RetryBudget): RetryBudget {
	return {...budget, tokens: budget.tokens - 1};
}
