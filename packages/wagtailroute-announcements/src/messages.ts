/**
Messages between the hosts that carry a service, and the events and effects of the state machine.

Every message is idempotent or carries versioned leases, so that loss, repetition and reordering do no harm.
*/
import type * as core from 'wagtailroute-core';
import type {AnnouncementFailure} from './failures.ts';
import type {Announcement, Lease} from './leases.ts';

/**
A summary of the live leases of one service whose holder is the sender.
*/
export type Digest = {
	readonly service: core.ServiceName;
	/**
	Number of these leases.
	*/
	readonly count: number;
	/**
	Hashes of these leases, combined by `combineHashes`.
	*/
	readonly hash: number;
};

/**
One version of one lease.
*/
export type LeaseVersion = {
	readonly service: core.ServiceName;
	readonly id: core.UpstreamId;
	readonly version: number;
};

/**
A message from one host to another.
*/
export type Message =
	/**
	Changed leases. The receiver acknowledges them by `versions`.
	*/
	| {readonly kind: 'delta'; readonly leases: readonly Lease[]}
	| {readonly kind: 'acknowledge'; readonly versions: readonly LeaseVersion[]}
	/**
	Confirms all leases that the sender holds, if the receiver has the same ones.
	*/
	| {readonly kind: 'digest'; readonly digests: readonly Digest[]}
	/**
	Requests the leases of one holder, or of all holders.
	*/
	| {readonly kind: 'query'; readonly service: core.ServiceName; readonly holder?: core.HostId}
	/**
	Answers a query. Each list message can be applied by itself. Only live leases are confirmed, for the given time.
	*/
	| {
		readonly kind: 'list';
		readonly service: core.ServiceName;
		readonly leases: readonly ConfirmedLease[];
	};

/**
A lease, and the milliseconds from now for which the sender considers it confirmed by its holder.
*/
export type ConfirmedLease = {readonly lease: Lease; readonly milliseconds: number};

/**
The input of the state machine.
*/
export type Event =
	| {
		readonly kind: 'announce';
		readonly service: core.ServiceName;
		readonly id: core.UpstreamId;
		readonly announcement: Announcement;
	}
	| {readonly kind: 'leave'; readonly service: core.ServiceName; readonly id: core.UpstreamId}
	| {readonly kind: 'receive'; readonly from: core.HostId; readonly message: Message}
	/**
	All hosts that carry a service, including this host if it does.
	*/
	| {readonly kind: 'carriers'; readonly service: core.ServiceName; readonly carriers: readonly core.HostId[]}
	/**
	Membership considers a host suspected, dead or left.
	*/
	| {readonly kind: 'holder-lost'; readonly id: core.HostId}
	/**
	Drives the timers; expected about every 100 ms.
	*/
	| {readonly kind: 'tick'};

/**
The output of the state machine.
*/
export type Effect =
	| {readonly kind: 'send'; readonly to: core.HostId; readonly message: Message}
	/**
	The upstreams of the service changed: `getUpstreams` returns another array than before.
	*/
	| {readonly kind: 'changed'; readonly service: core.ServiceName}
	/**
	The answers to `announce` and `leave` events.
	*/
	| {readonly kind: 'accepted'; readonly service: core.ServiceName; readonly id: core.UpstreamId}
	| {
		readonly kind: 'refused';
		readonly service: core.ServiceName;
		readonly id: core.UpstreamId;
		readonly failure: AnnouncementFailure;
	};
