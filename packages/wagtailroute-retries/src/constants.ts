/**
Limits of retries and hedges.
*/

/**
Request header that marks a retry and holds its number: `Wagtailroute-Retry: 1` for the first one. A tier that receives
it does not retry on its own, so that retries of several tiers do not multiply.
*/
export const RETRY_HEADER = 'wagtailroute-retry';

/**
Maximum attempts of one request, including the first one and hedges.
*/
export const MAX_ATTEMPTS = 3;

/**
Rate at which a service earns retries however few requests it receives.
*/
export const MIN_RETRIES_PER_SECOND = 0.1;

/**
Number of requests whose retries the budget can hold: its capacity is this times the retry ratio.
*/
export const BUDGET_WINDOW_REQUESTS = 100;

/**
Minimum capacity of the budget, in retries.
*/
export const MIN_BUDGET_CAPACITY = 1;

/**
Upper bound of the delay before the first retry; it doubles with each further retry.
*/
export const BASE_BACKOFF_MILLISECONDS = 10;

/**
Upper bound of the delay before any retry.
*/
export const MAX_BACKOFF_MILLISECONDS = 250;

/**
Minimum value of `Retry-After`.
*/
export const MIN_RETRY_AFTER_SECONDS = 1;

/**
Maximum value of `Retry-After`, including the random spread.
*/
export const MAX_RETRY_AFTER_SECONDS = 30;

/**
A read is hedged when it takes longer than this quantile of its service's latency.
*/
export const HEDGE_QUANTILE = 0.95;

/**
Minimum number of samples for an estimate of a quantile.
*/
export const MIN_QUANTILE_SAMPLES = 50;
