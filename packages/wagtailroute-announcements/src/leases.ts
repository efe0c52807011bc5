/**
Leases of upstreams and the order in which one replaces another.

Merging is a join: a host keeps the greatest lease that it has received, so all hosts converge whatever the order,
repetition and loss of messages. A host that accepts an announcement gives it the next version after the one it knows.
When two hosts assign the same version, the state decides: expiry loses against everything, because the upstream may
have renewed elsewhere; draining and leaving win over serving, because sending work to a server that is shutting down
does more harm than sending none for a moment.
*/
/* eslint-disable no-bitwise -- hashes are made of bit operations */
import type * as core from 'wagtailroute-core';

/**
States that an upstream announces.
*/
export type UpstreamState = 'serving' | 'draining';

/**
States of a lease. `expired`: not renewed in time; `left`: the upstream announced that it leaves. Both are tombstones.
*/
export type LeaseState = 'expired' | 'serving' | 'draining' | 'left';

/**
The data that an upstream announces of itself.
*/
export type Announcement = core.Address & {
	readonly failureDomain: core.FailureDomain;
	/**
	Requests that it runs concurrently.
	*/
	readonly slots: number;
	/**
	Connections that it accepts in total.
	*/
	readonly connections: number;
	readonly state: UpstreamState;
};

/**
An upstream as the hosts that send work to it use it.
*/
export type Upstream = Announcement & {
	readonly service: core.ServiceName;
	readonly id: core.UpstreamId;
};

/**
A versioned record of an upstream, replicated to all carriers of its service.
*/
export type Lease = Omit<Upstream, 'state'> & {
	readonly state: LeaseState;
	readonly version: number;
	/**
	The host at which the upstream renews, and which confirms the lease to the other carriers.
	*/
	readonly holder: core.HostId;
};

const STATE_RANKS: Readonly<Record<LeaseState, number>> = {
	expired: 0,
	serving: 1,
	draining: 2,
	left: 3,
};

/**
Returns the rank of a state; at equal versions the higher one wins.
*/
export function getStateRank(state: LeaseState): number {
	return STATE_RANKS[state];
}

/**
Returns whether the lease has expired or its upstream has left.
*/
export function isTombstone(lease: Lease): boolean {
	return lease.state === 'expired' || lease.state === 'left';
}

/**
Returns whether the upstream has announced that it is draining or leaving.
*/
export function isLeaving(lease: Lease): boolean {
	return lease.state === 'draining' || lease.state === 'left';
}

/**
Returns whether two records of one upstream may belong to the same process, by their address. When an unknown upstream
leaves, the host has no address for it and stores port 0, which matches any address.
*/
export function isSameProcess(left: core.Address, right: core.Address): boolean {
	return left.port === 0 || right.port === 0 || (left.ip === right.ip && left.port === right.port);
}

/**
Orders two leases of one upstream: positive when the left one replaces the right one.
*/
export function compareLeases(left: Lease, right: Lease): number {
	const orders = [
		left.version - right.version,
		getStateRank(left.state) - getStateRank(right.state),
		compareText(left.holder, right.holder),
		// A holder that lost its state may assign a version twice; the content then decides, so that all hosts agree.
		compareText(formatContent(left), formatContent(right)),
	];
	return orders.find(order => order !== 0) ?? 0;
}

/**
Returns whether two records of one upstream have the same address, capacity and failure domain.
*/
export function isSameContent(left: Omit<Upstream, 'state'>, right: Omit<Upstream, 'state'>): boolean {
	return formatContent(left) === formatContent(right);
}

/**
Returns the FNV-1a hash of a lease's id, version, state and content, an unsigned 32-bit integer.
*/
export function hashLease(lease: Lease): number {
	const text = `${lease.id} ${lease.version} ${lease.state} ${formatContent(lease)}`;
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- UTF-16 units are the same on every host
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	return hash >>> 0;
}

/**
Combines hashes independently of their order.
*/
export function combineHashes(left: number, right: number): number {
	return (left ^ right) >>> 0;
}

function formatContent(lease: Omit<Upstream, 'state'>): string {
	return `${lease.ip} ${lease.port} ${lease.slots} ${lease.connections} ${lease.failureDomain}`;
}

/**
Orders two names by their UTF-16 units, which gives the same order on every host, whatever its locale.
*/
export function compareText(left: string, right: string): number {
	return left < right ? -1 : Number(left > right);
}
