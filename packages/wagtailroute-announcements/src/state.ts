/**
State of the state machine.

The tables are mutable inside the state, because a host handles a dozen renewals per second and copying its tables for
each would cost more than the renewal. Leases and the arrays of upstreams, which leave the state, are replaced, never
changed.
*/
import type * as core from 'wagtailroute-core';
import type {Lease, Upstream} from './leases.ts';

/**
A lease with data local to this host. Times are milliseconds of this host's monotonic clock.
*/
export type LeaseEntry = {
	lease: Lease;
	/**
	When the lease expires on this host; for a tombstone, when it is removed.
	*/
	until: number;
	/**
	The last lease that this host itself created for the upstream (announced, left or expired), regardless of newer ones
	from other hosts.
	*/
	localRecord: LocalRecord | undefined;
	/**
	When this host stored the lease in which the upstream began to drain or left; meaningful only for such leases.
	*/
	leavingSince: number;
	/**
	The upstream as `getUpstreams` returns it; undefined for a tombstone.
	*/
	upstream: Upstream | undefined;
	hash: number;
};

/**
A lease that this host created itself, and when it was created or last announced again.
*/
export type LocalRecord = {readonly lease: Lease; readonly at: number};

/**
The leases of one service.
*/
export type ServiceTable = {
	readonly name: core.ServiceName;
	readonly entries: Map<core.UpstreamId, LeaseEntry>;
	carriers: readonly core.HostId[];
	liveCount: number;
	/**
	The cached result of `getUpstreams`; undefined after a change.
	*/
	upstreams: readonly Upstream[] | undefined;
	/**
	When another carrier may be queried again about unconfirmed leases.
	*/
	nextQueryAt: number;
};

/**
A delta that a peer hasn't acknowledged, and when it is sent again.
*/
export type PendingDelta = {readonly lease: Lease; attempts: number; nextAt: number};

/**
Another carrier: the services that this host shares with it, the unacknowledged deltas, and when the next digest is due.
*/
export type Peer = {
	readonly services: Set<core.ServiceName>;
	readonly pending: Map<string, PendingDelta>;
	nextDigestAt: number;
};

/**
All leases and peers that a host knows.
*/
export type AnnouncementState = {
	readonly self: core.HostId;
	readonly services: Map<core.ServiceName, ServiceTable>;
	readonly peers: Map<core.HostId, Peer>;
	nextScanAt: number;
	lastTickAt: number | undefined;
};

/**
Creates the state of a host without leases.
*/
export function createAnnouncements(self: core.HostId): AnnouncementState {
	return {
		self,
		services: new Map(),
		peers: new Map(),
		nextScanAt: 0,
		lastTickAt: undefined,
	};
}
