/**
Bounds and intervals of upstream leases, with the unit and the reason of each.
*/

/**
Seconds after which a lease without renewal expires: two renewals may be lost.
*/
export const LEASE_SECONDS = 15;

/**
Seconds after which an upstream renews its lease.
*/
export const RENEW_SECONDS = 5;

/**
`LEASE_SECONDS` in milliseconds, on the monotonic clock of the lease's holder.
*/
export const LEASE_MILLISECONDS = LEASE_SECONDS * 1000;

/**
Milliseconds between two digests to the same peer. Digests repair the effects of lost deltas. At full size each host has
some 80 peers, so an interval of a few seconds would cost more than the renewals themselves.
*/
export const DIGEST_INTERVAL_MILLISECONDS = 20_000;

/**
Milliseconds that a lease of another holder lasts after that holder confirmed it: two digests may be lost. The leases of
a lost holder end sooner, see `LOST_HOLDER_GRACE_MILLISECONDS`.
*/
export const CONFIRMATION_VALIDITY_MILLISECONDS = 65_000;

/**
Milliseconds before the end of a confirmation at which another carrier is queried, because the holder's digests may
still arrive there.
*/
export const CONFIRMATION_QUERY_LEAD_MILLISECONDS = 6000;

/**
Milliseconds between two queries to other carriers about unconfirmed leases of one service.
*/
export const QUERY_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds that the leases of a lost holder are kept. Its upstreams renew at other hosts within `RENEW_SECONDS`.
*/
export const LOST_HOLDER_GRACE_MILLISECONDS = 15_000;

/**
Milliseconds after draining or leaving during which a serving announcement from the same address is refused, as it may
be an older one that the network delayed.
*/
export const DRAIN_HOLD_DOWN_MILLISECONDS = 3000;

/**
Milliseconds that a tombstone is kept: longer than any host keeps a lease that its holder doesn't confirm.
*/
export const TOMBSTONE_RETENTION_MILLISECONDS = 120_000;

/**
Milliseconds between two scans for expired leases.
*/
export const SCAN_INTERVAL_MILLISECONDS = 250;

/**
Milliseconds until an unacknowledged delta is first sent again, doubled at each attempt.
*/
export const INITIAL_RESEND_DELAY_MILLISECONDS = 200;

/**
Maximum number of attempts to deliver a delta. Afterwards the digests repair the difference.
*/
export const MAX_DELTA_ATTEMPTS = 5;

/**
Maximum number of leases in one message.
*/
export const MAX_LEASES_PER_MESSAGE = 64;

/**
Maximum number of deltas that await the acknowledgement of one peer. The oldest above it are dropped; the digests repair
the difference.
*/
export const MAX_PENDING_PER_PEER = 1024;

/**
Maximum number of services for which one host keeps leases.
*/
export const MAX_SERVICES = 8192;

/**
Maximum number of live upstreams of one service.
*/
export const MAX_UPSTREAMS_PER_SERVICE = 2048;

/**
Maximum number of tombstones of one service. The oldest above it are evicted.
*/
export const MAX_TOMBSTONES_PER_SERVICE = 256;

/**
Maximum length of the name of a service, upstream or failure domain, in characters.
*/
export const MAX_NAME_LENGTH = 128;

/**
Maximum number of slots that an upstream may announce.
*/
export const MAX_SLOTS = 65_536;

/**
Maximum number of connections that an upstream may announce.
*/
export const MAX_CONNECTIONS = 1_000_000;

/**
Number of other carriers that a host queries for the leases of a service that it starts to carry.
*/
export const BOOTSTRAP_PEERS = 2;

/**
Minimum milliseconds between two ticks at which this process is considered to have been paused.
*/
export const MIN_PAUSE_MILLISECONDS = 1000;
