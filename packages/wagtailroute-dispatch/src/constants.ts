/**
Bounds of the dispatcher that decide nothing.
*/

/**
Bounds of relative slowness.
*/
export const MIN_SLOWNESS = 0.4;
export const MAX_SLOWNESS = 12;

/**
Milliseconds of one slice of the budget's window.
*/
export const BUDGET_SLICE_MILLISECONDS = 500;

/**
Asks that are looked at when a slot comes free, by turn. Those who have waited longest take a slot anywhere; with all looked at, 300 upstreams under
overload cost a millisecond for each event.
*/
export const MAX_QUEUE_SCAN = 64;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Lower bound of a rate limit, in requests a second: only answers tell that a limit was lifted.
*/
export const MIN_RATE_PER_SECOND = 0.2;

/**
Bound of the debt for requests that peers granted, in seconds' worth of the rate, and in requests where that is less: peers that grant at the same moment grant one each
at any rate.
*/
export const MAX_DEBT_SECONDS = 1;
export const MAX_DEBT_REQUESTS = 4;

/**
Milliseconds without a request of a service after which a dispatcher counts as newly taking it over.
*/
export const TAKEOVER_IDLE_MILLISECONDS = 1000;

/**
Milliseconds after a takeover, or after the last report of a peer, for which a dispatcher reports its grants.
*/
export const PEER_ACTIVE_MILLISECONDS = 10_000;

/**
Milliseconds that a place stays taken after its deadline when its host is not heard: its answer may be under way.
*/
export const HELD_SLOT_GRACE_MILLISECONDS = 500;

/**
Bounds of the probability of a bad spell by the time since the last success alone. Far less than what a single late request says: what has
only been quiet must stay in use.
*/
export const MIN_PRIOR = 0.002;
export const MAX_PRIOR = 0.05;

/**
Time in milliseconds over which it is counted which part of a service's requests is not served, and its slices.
*/
export const SHORTFALL_WINDOW_MILLISECONDS = 3000;
export const SHORTFALL_SLICE_MILLISECONDS = 250;

/**
Failed requests in that time from which on they count.
*/
export const MIN_SHORTFALL_FAILURES = 3;

/**
Milliseconds without a request after which an upstream counts as getting nothing.
*/
export const IDLE_UPSTREAM_MILLISECONDS = 2000;
