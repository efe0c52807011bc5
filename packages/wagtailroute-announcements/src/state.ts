/**
State of the machine.

The tables are mutable inside the state, because a host handles a dozen renewals a second and copying its tables for
each would cost more than the renewal. What is handed out is immutable: leases and the arrays of upstreams are replaced,
never changed.
*/
import type * as core from 'wagtailroute-core';
import type {Lease, Upstream} from './leases.ts';

/**
A lease with what only this host knows of it. Times are monotonic milliseconds.
*/
export type Entry = {
	lease: Lease;
	/**
	When the lease ends here; for a tombstone, when it is forgotten.
	*/
	until: number;
	/**
	The last record that this host made of what the upstream itself told it, whatever was heard since.
	*/
	word: Word | undefined;
	/**
	When the upstream began to drain or left, as this host learned it.
	*/
	leavingSince: number;
	/**
	The lease as the hosts that send work see it; undefined for a tombstone.
	*/
	upstream: Upstream | undefined;
	hash: number;
};

/**
A record made of an upstream's own word, and when.
*/
export type Word = {readonly lease: Lease; readonly at: number};

/**
The leases of one service.
*/
export type ServiceTable = {
	readonly name: core.ServiceName;
	readonly entries: Map<core.UpstreamId, Entry>;
	carriers: readonly core.HostId[];
	live: number;
	/**
	Undefined after a change, until it is asked for.
	*/
	upstreams: readonly Upstream[] | undefined;
	/**
	When another carrier may be asked again to vouch for a holder.
	*/
	nextQueryAt: number;
};

/**
A delta that a peer hasn't acknowledged.
*/
export type PendingDelta = {readonly lease: Lease; attempts: number; nextAt: number};

/**
What this host owes a peer.
*/
export type Peer = {
	readonly services: Set<core.ServiceName>;
	readonly pending: Map<string, PendingDelta>;
	nextDigestAt: number;
};

/**
State of the machine.
*/
export type AnnouncementState = {
	readonly self: core.HostId;
	readonly services: Map<core.ServiceName, ServiceTable>;
	readonly peers: Map<core.HostId, Peer>;
	nextScanAt: number;
	lastTickAt: number | undefined;
};

/**
Creates the state of a host that knows no lease.
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
