/**
Bounds of the dispatcher that decide nothing.
*/

/**
Bounds of relative slowness.
*/
export const SLOWNESS_LEAST = 0.4;
export const SLOWNESS_MOST = 12;

/**
Milliseconds of one slice of the budget's window.
*/
export const BUDGET_SLICE_MILLISECONDS = 500;

/**
Asks that are looked at when a slot comes free, by turn. Those who have waited longest take a slot anywhere; with all looked at, 300 upstreams under
overload cost a millisecond for each event.
*/
export const LOOKED_AT_MOST = 64;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Requests a second that are sent to an upstream that takes fewer: only its answers tell that it takes more again.
*/
export const LEAST_RATE_PER_SECOND = 0.2;

/**
Seconds' worth of an upstream's rate limit that may be owed to other dispatchers at most.
*/
export const MOST_OWED_SECONDS = 1;

/**
Milliseconds without an ask for a service after which another dispatcher may have served it meanwhile.
*/
export const UNASKED_MILLISECONDS = 1000;

/**
Milliseconds for which a dispatcher tells the others what it grants at rate-limited upstreams, after it began to be asked for the service or heard of
another one that is.
*/
export const SHARING_MILLISECONDS = 10_000;

/**
Milliseconds that a place stays taken after its deadline when its host is not heard: its answer may be under way.
*/
export const ABANDONED_MILLISECONDS = 500;

/**
Bounds of the probability of a bad spell by the time since the last success alone. Far less than what a single late request says: what has
only been quiet must stay in use.
*/
export const LEAST_PRIOR = 0.002;
export const MOST_PRIOR = 0.05;
