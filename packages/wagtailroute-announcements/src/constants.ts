/**
Bounds and intervals of upstream leases. Each names its unit and the reason for its value.
*/

/**
Seconds that a lease lasts without renewal: two renewals may be lost.
*/
export const LEASE_SECONDS = 15;

/**
Seconds after which an upstream renews its lease.
*/
export const RENEW_SECONDS = 5;

/**
Milliseconds that a lease lasts without renewal, on the holder's monotonic clock.
*/
export const LEASE_MILLISECONDS = LEASE_SECONDS * 1000;

/**
Milliseconds between two digests to the same peer. Digests repair what lost deltas left; at full size each host has some
80 peers, so an interval of a few seconds would cost more than the renewals themselves.
*/
export const DIGEST_MILLISECONDS = 20_000;

/**
Milliseconds that a lease of another holder lasts after that holder vouched for it: two digests may be lost. The leases
of a holder that died end sooner, see `LOST_HOLDER_MILLISECONDS`.
*/
export const VOUCH_MILLISECONDS = 65_000;

/**
Milliseconds before the end of a vouch at which another carrier is asked, because the holder may be heard there.
*/
export const VOUCH_QUERY_MILLISECONDS = 6000;

/**
Milliseconds between two such questions about one service.
*/
export const QUERY_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds that the leases of a lost holder are kept: its upstreams renew at other hosts within `RENEW_SECONDS`.
*/
export const LOST_HOLDER_MILLISECONDS = 15_000;

/**
Milliseconds after draining or leaving for which a serving announcement from the same address is taken for an old one
that the network delayed.
*/
export const DRAIN_HOLD_MILLISECONDS = 3000;

/**
Milliseconds that a tombstone is kept: longer than any host keeps a lease that nobody vouches for.
*/
export const TOMBSTONE_MILLISECONDS = 120_000;

/**
Milliseconds between two searches for leases that ended.
*/
export const SCAN_MILLISECONDS = 250;

/**
Milliseconds until an unacknowledged delta is sent again, doubled at each attempt.
*/
export const RESEND_MILLISECONDS = 200;

/**
Attempts to deliver a delta before it is left to the digests.
*/
export const MAX_ATTEMPTS = 5;

/**
Leases in one message.
*/
export const MAX_LEASES_PER_MESSAGE = 64;

/**
Deltas waiting for one peer's acknowledgement; the oldest are left to the digests.
*/
export const MAX_PENDING_PER_PEER = 1024;

/**
Services for which one host keeps leases.
*/
export const MAX_SERVICES = 8192;

/**
Live upstreams of one service.
*/
export const MAX_UPSTREAMS_PER_SERVICE = 2048;

/**
Tombstones of one service; the oldest are forgotten first.
*/
export const MAX_TOMBSTONES_PER_SERVICE = 256;

/**
Characters of the name of a service, upstream or failure domain.
*/
export const MAX_NAME_LENGTH = 128;

/**
Slots that an upstream may announce.
*/
export const MAX_SLOTS = 65_536;

/**
Connections that an upstream may announce.
*/
export const MAX_CONNECTIONS = 1_000_000;

/**
Other carriers that a host asks for the leases of a service which it starts to carry.
*/
export const BOOTSTRAP_PEERS = 2;

/**
Milliseconds between two ticks above which this host is taken to have been paused.
*/
export const PAUSE_MILLISECONDS = 1000;
