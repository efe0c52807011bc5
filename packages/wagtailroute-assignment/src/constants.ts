/**
Bounds of assignment and directory, with the unit and the reason of each.
*/

/**
Minimum number of carriers of a service: with one lost and another restarting, one still serves.
*/
export const MIN_CARRIERS = 3;

/**
Upstream slots per carrier, unless the request rate requires more carriers. A service of 20 upstreams with 4 slots each
gets 6 carriers, so with 6,900 such services on 2,400 hosts each host carries about 17 services.
*/
export const SLOTS_PER_CARRIER = 14;

/**
Minimum number of upstream slots per carrier at any request rate. With fewer, carriers that don't see each other's
requests overload an upstream. It limits 8 upstreams of 4 slots to 4 carriers.
*/
export const MIN_SLOTS_PER_CARRIER = 8;

/**
Requests per second of one service that one carrier is expected to handle.
*/
export const REQUESTS_PER_SECOND_PER_CARRIER = 250;

/**
Connections that a carrier may hold to one upstream, in use or idle, per slot of the upstream.
*/
export const CONNECTIONS_PER_SLOT = 2;

/**
Allowed numbers of carriers of a service. Numbers in between are rounded down to one of these, so that adding or
removing a few upstreams changes no carriers.
*/
export const CARRIER_COUNT_STEPS: readonly number[] = [3, 4, 5, 6, 8, 10, 12, 16, 20, 24, 32, 40, 48, 64, 96, 128];

/**
Default number of addresses in one answer to a caller.
*/
export const ADDRESS_COUNT = 4;

/**
Seconds for which a caller may cache an answer. A draining host waits this long before it refuses new requests.
*/
export const ADDRESS_TTL_SECONDS = 5;

/**
Minimum fraction of free capacity assumed for a host (0 to 1). A host that wrongly reports itself full still receives
some callers.
*/
export const MIN_FREE_CAPACITY = 0.05;
