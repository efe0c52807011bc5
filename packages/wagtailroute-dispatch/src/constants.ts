/**
Bounds, window sizes and grace periods of the dispatcher. The values by which it decides are in the policy.
*/

/**
Bounds of one measurement of an upstream's response time, as a multiple of the usual one.
*/
export const MIN_SLOWNESS = 0.4;
export const MAX_SLOWNESS = 12;

/**
Queued requests that are examined when a slot becomes free, in the order of the queue. Those that have waited longest accept a slot of any upstream;
examining all of them costs a millisecond per event with 300 upstreams under overload.
*/
export const MAX_QUEUE_SCAN = 64;

/**
Routes of a service for which a dispatcher keeps the expected response bytes; routes of catalogues replaced long ago are dropped first.
*/
export const MAX_RESPONSE_BYTES_ROUTES = 4096;

export const BYTES_PER_KIBIBYTE = 1024;

/**
Upstreams that are compared for one slot request. Up to this number of free ones all are; beyond it, those of the failure domain of the entry host
come first, up to the second bound.
*/
export const MAX_CANDIDATES = 64;
export const MAX_OWN_DOMAIN_CANDIDATES = 48;

export const MILLISECONDS_PER_SECOND = 1000;

/**
Lower bound of a rate limit: only answers to further requests can show that a limit was lifted.
*/
export const MIN_RATE_PER_SECOND = 0.2;

/**
Bounds of the negative balance of a token bucket after grants of peers. The larger applies: at low rates, peers that grant at the same moment still
grant one request each.
*/
export const MAX_DEBT_SECONDS = 1;
export const MAX_DEBT_REQUESTS = 4;

/**
Time without a request of a service after which a dispatcher counts as having just taken the service over.
*/
export const TAKEOVER_IDLE_MILLISECONDS = 1000;

/**
Time after a takeover, or after the last report of a peer, for which a dispatcher reports its grants.
*/
export const PEER_ACTIVE_MILLISECONDS = 10_000;

/**
Time that a slot stays held after its deadline when its entry host reports no ending: the report may be in transit.
*/
export const HELD_SLOT_GRACE_MILLISECONDS = 500;

/**
Bounds of the probability of a failure period that follows from the time since the last success alone. They lie far below what a single late request
indicates, so that an upstream that only had no requests stays in use.
*/
export const MIN_PRIOR = 0.002;
export const MAX_PRIOR = 0.05;

/**
Window and slice of the counts from which the fraction of failed requests is computed.
*/
export const SHORTFALL_WINDOW_MILLISECONDS = 3000;
export const SHORTFALL_SLICE_MILLISECONDS = 250;

/**
Failed requests in the window below which no shortfall is reported: fewer may be chance.
*/
export const MIN_SHORTFALL_FAILURES = 3;

/**
Time without a request after which an upstream is reported as idle.
*/
export const IDLE_UPSTREAM_MILLISECONDS = 2000;
