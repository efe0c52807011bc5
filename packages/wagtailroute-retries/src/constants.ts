/**
Limits of retries and hedges.
*/

/**
Names the tier's own send on a request that it sends again: `Wagtailroute-Retry: 1` for the first resend. A tier that gets
it does not retry on its own.
*/
export const RETRY_HEADER = 'wagtailroute-retry';

/**
Sends of one request at most, the first one and hedges included.
*/
export const MAX_ATTEMPTS = 3;

/**
Retries per second that a service may save up for however few its requests are.
*/
export const FLOOR_RETRIES_PER_SECOND = 0.1;

/**
Requests whose share of retries may be saved up.
*/
export const BUDGET_WINDOW_REQUESTS = 100;

/**
Retries that may be saved up at least.
*/
export const MIN_BUDGET_CAPACITY = 1;

/**
Upper bound of the delay before the first retry, in ms; it doubles for each further one.
*/
export const BASE_BACKOFF_MILLISECONDS = 10;

/**
Upper bound of any delay before a retry, in ms.
*/
export const MAX_BACKOFF_MILLISECONDS = 250;

/**
Least advice in `Retry-After`, in seconds.
*/
export const MIN_RETRY_AFTER_SECONDS = 1;

/**
Most advice in `Retry-After`, in seconds.
*/
export const MAX_RETRY_AFTER_SECONDS = 30;

/**
Quantile of a service's latency after which a read is hedged.
*/
export const HEDGE_QUANTILE = 0.95;

/**
Samples before the quantile is trusted.
*/
export const MIN_QUANTILE_SAMPLES = 50;
