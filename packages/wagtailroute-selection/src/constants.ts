/**
Time constants, factors and limits of the choice of an upstream.
*/

/**
Time in which a cold or re-admitted upstream reaches its full share of traffic.
*/
export const RAMP_MILLISECONDS = 10_000;

/**
Minimum fraction of its normal traffic that an upstream receives while it ramps up, so that it can warm up.
*/
export const MIN_RAMP_SHARE = 0.1;

/**
Time constant by which the latency estimate falls towards lower samples.
*/
export const LATENCY_DECAY_MILLISECONDS = 3000;

/**
Time constants by which the latency estimate decays while no request ends: after a failure, and after a success. A slow
upstream is tried less often than one that failed, because the request that tries it is slow, while a failed one is retried
elsewhere.
*/
export const FAILURE_DECAY_MILLISECONDS = 500;
export const IDLE_DECAY_MILLISECONDS = 15_000;

/**
Latency estimate of an upstream without a sample. Low, so that a new upstream is tried.
*/
export const INITIAL_LATENCY_MILLISECONDS = 1;

/**
Factor on the latency estimate after a failure; the estimate is first raised to the threshold of {@link SLOW_LATENCY_RATIO}.
Otherwise a server that fails immediately would look like the fastest one.
*/
export const FAILURE_LATENCY_FACTOR = 2;

/**
Maximum latency estimate, so that consecutive failures don't exclude an upstream for minutes.
*/
export const MAX_LATENCY_MILLISECONDS = 30_000;

/**
Time constant by which slots that were busy at a shed are assumed to become free, relative to the service's usual latency.
*/
export const SHED_DECAY_RATIO = 0.5;

/**
Number of consecutive sheds up to which that time constant grows.
*/
export const MAX_COUNTED_SHEDS = 4;

/**
Additional cost, in requests in flight, of an upstream where all slots owned by this host are in use.
*/
export const BORROWED_SLOT_COST = 1;

/**
Weight of a new sample in the exponentially weighted average of the service's latency.
*/
export const USUAL_LATENCY_WEIGHT = 0.02;

/**
Usual latency of the service before the first sample.
*/
export const INITIAL_USUAL_LATENCY_MILLISECONDS = 20;

/**
Ratio of an upstream's latency to the service's usual latency above which it increases the cost. Below it, differences are
mostly chance.
*/
export const SLOW_LATENCY_RATIO = 4;

/**
Factor on the cost of an upstream outside this host's failure domain.
*/
export const REMOTE_COST_FACTOR = 1.25;

/**
Fraction of its normal traffic that an upstream on trial receives.
*/
export const TRIAL_SHARE = 0.1;
