/**
Time constants and limits of the choice of an upstream.
*/

/**
How long a cold or re-admitted upstream takes to reach its full share, in milliseconds.
*/
export const RAMP_MILLISECONDS = 10_000;

/**
Smallest share of its normal traffic that a ramping upstream gets, so that it warms up at all.
*/
export const RAMP_FLOOR = 0.1;

/**
Time constant of the decay of the latency estimate, in milliseconds.
*/
export const LATENCY_DECAY_MILLISECONDS = 3000;

/**
Latency assumed for an upstream without a sample, in milliseconds. Low, so that a new upstream is tried.
*/
export const INITIAL_LATENCY_MILLISECONDS = 1;

/**
Factor on the latency estimate after a failure. A server that fails at once looks like the fastest one.
*/
export const FAILURE_PENALTY = 2;

/**
Largest latency estimate, in milliseconds, so that failures in a row don't exclude an upstream for minutes.
*/
export const LATENCY_CEILING_MILLISECONDS = 30_000;

/**
Back-off after the first shed of an upstream, in milliseconds; it doubles with each shed in a row.
*/
export const SHED_BACKOFF_MILLISECONDS = 20;

/**
Longest back-off after sheds, in milliseconds.
*/
export const SHED_BACKOFF_CEILING_MILLISECONDS = 640;

/**
Factor on the cost of an upstream outside this host's failure domain.
*/
export const REMOTE_PENALTY = 1.25;

/**
Share of its normal traffic that an upstream on trial gets.
*/
export const TRIAL_SHARE = 0.1;
