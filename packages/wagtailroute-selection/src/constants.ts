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
Time constants, in milliseconds, of the decay of the estimate while no request ends: after a failure, and after a success.
A slow server is tried less often than one that failed, since the request that tries it is slow, while a failure is sent
again elsewhere.
*/
export const FAILURE_DECAY_MILLISECONDS = 500;
export const IDLE_DECAY_MILLISECONDS = 15_000;

/**
Latency assumed for an upstream without a sample, in milliseconds. Low, so that a new upstream is tried.
*/
export const INITIAL_LATENCY_MILLISECONDS = 1;

/**
Factor on the latency estimate after a failure, from the least latency that counts as slow. A server that fails at once
looks like the fastest one.
*/
export const FAILURE_PENALTY = 2;

/**
Largest latency estimate, in milliseconds, so that failures in a row don't exclude an upstream for minutes.
*/
export const LATENCY_CEILING_MILLISECONDS = 30_000;

/**
Time constant, as a part of the service's usual latency, after which slots that were busy at a shed are taken for free.
*/
export const SHED_DECAY_RATIO = 0.5;

/**
Sheds in a row after which that time grows no more.
*/
export const SHED_CEILING = 4;

/**
Extra cost, in requests in flight, of an upstream where this host has no free slot of its own.
*/
export const BORROWING_COST = 1;

/**
Weight of a new sample in the usual latency of the service.
*/
export const USUAL_WEIGHT = 0.02;

/**
Usual latency assumed before the first sample, in milliseconds.
*/
export const INITIAL_USUAL_MILLISECONDS = 20;

/**
Ratio to the usual latency from which an upstream's latency counts: below it, differences are mostly chance.
*/
export const SLOW_RATIO = 4;

/**
Factor on the cost of an upstream outside this host's failure domain.
*/
export const REMOTE_PENALTY = 1.25;

/**
Share of its normal traffic that an upstream on trial gets.
*/
export const TRIAL_SHARE = 0.1;
