/**
Messages between the hosts that carry a service, and what the machine takes and gives.

Every message is versioned by the leases in it or idempotent, so that loss, repetition and reordering do no harm.
*/
import type * as core from 'wagtailroute-core';
import type {AnnouncementFailure} from './failures.ts';
import type {Announcement, Lease} from './leases.ts';

/**
What the sender holds of a service, in short.
*/
export type Digest = {
	readonly service: core.ServiceName;
	/**
	Live leases that the sender holds.
	*/
	readonly count: number;
	/**
	Their hashes, combined.
	*/
	readonly hash: number;
};

/**
Names one version of one lease.
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
	Leases that changed, acknowledged by `versions`.
	*/
	| {readonly kind: 'delta'; readonly leases: readonly Lease[]}
	| {readonly kind: 'acknowledge'; readonly versions: readonly LeaseVersion[]}
	/**
	Vouches for all leases that the sender holds, where the receiver has the same.
	*/
	| {readonly kind: 'digest'; readonly digests: readonly Digest[]}
	/**
	Asks for the leases of one holder, or of all.
	*/
	| {readonly kind: 'query'; readonly service: core.ServiceName; readonly holder?: core.HostId}
	/**
	Answers a query, in parts that stand alone. Only live leases are vouched for, for the time given.
	*/
	| {
		readonly kind: 'list';
		readonly service: core.ServiceName;
		readonly leases: readonly VouchedLease[];
	};

/**
A lease and for how long the sender takes it as vouched for, in milliseconds from now.
*/
export type VouchedLease = {readonly lease: Lease; readonly milliseconds: number};

/**
What happens to the machine.
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
	The hosts that carry a service, this one included if it does.
	*/
	| {readonly kind: 'carriers'; readonly service: core.ServiceName; readonly carriers: readonly core.HostId[]}
	/**
	Membership lost a host (suspected, dead or left).
	*/
	| {readonly kind: 'holder-lost'; readonly id: core.HostId}
	/**
	To be sent every 100 ms or so.
	*/
	| {readonly kind: 'tick'};

/**
What is to be done.
*/
export type Effect =
	| {readonly kind: 'send'; readonly to: core.HostId; readonly message: Message}
	/**
	What `getUpstreams` gives for the service is another array now.
	*/
	| {readonly kind: 'changed'; readonly service: core.ServiceName}
	/**
	Answers of `announce` and `leave`.
	*/
	| {readonly kind: 'accepted'; readonly service: core.ServiceName; readonly id: core.UpstreamId}
	| {
		readonly kind: 'refused';
		readonly service: core.ServiceName;
		readonly id: core.UpstreamId;
		readonly failure: AnnouncementFailure;
	};
