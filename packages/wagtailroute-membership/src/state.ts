/**
State of membership on one host.
*/
import type * as core from 'wagtailroute-core';
import type {UpdateQueue} from './dissemination.ts';
import type {HostDescription, Member} from './members.ts';
import {createTable, type MemberTable, storeMember} from './table.ts';

/**
Configuration of membership on one host.
*/
export type MembershipConfig = {
	readonly self: HostDescription;
	/**
	Peer addresses of hosts through which this host joins; its own may be among them.
	*/
	readonly seeds: readonly core.Address[];
	/**
	Start of the sequence numbers, random at each start, so that answers to an earlier process match no probe of this one.
	*/
	readonly firstSequence?: number;
	/**
	Records of hosts known from another source, such as the last catalogue.
	*/
	readonly members?: readonly Member[];
};

/**
The probe in progress. Times are monotonic milliseconds.
*/
export type Probe = {
	readonly target: core.HostId;
	readonly sequence: number;
	readonly startedAt: number;
	/**
	Multiplies all delays of the probe while this host's own health is in doubt.
	*/
	readonly timeoutMultiplier: number;
	nextPingAt: number;
	/**
	Rounds of ping requests sent so far.
	*/
	pingRequestRounds: number;
	/**
	Hosts that were sent a ping request.
	*/
	readonly relayIds: Set<core.HostId>;
	/**
	The target answered a ping of a relay; a direct answer ends the probe.
	*/
	hasIndirectAck: boolean;
	/**
	A relay answered, so this host's own connection works.
	*/
	hasRelayResponse: boolean;
};

/**
A suspicion not yet refuted or confirmed as a death. Times are monotonic milliseconds.
*/
export type Suspicion = {
	readonly incarnation: number;
	startedAt: number;
	/**
	Hosts whose own probes failed, in the order in which they became known.
	*/
	readonly suspectedBy: Set<core.HostId>;
	/**
	When this host's own probe failed; undefined when it only received the suspicion.
	*/
	ownProbeFailedAt: number | undefined;
	/**
	When this host next asks another one for its record of the suspected host.
	*/
	nextCheckAt: number;
};

/**
A ping sent on behalf of another host.
*/
export type RelayedPing = {readonly requesterAddress: core.Address; readonly requesterSequence: number; readonly target: core.HostId};

/**
State of the machine. It is mutable; see the table for the reason. Times are monotonic milliseconds.
*/
export type MembershipState = {
	readonly config: MembershipConfig;
	readonly table: MemberTable;
	readonly updateQueue: UpdateQueue;
	readonly suspicions: Map<core.HostId, Suspicion>;
	/**
	Pings on behalf of other hosts, by the sequence number of the ping sent to the target.
	*/
	readonly relayedPings: Map<number, RelayedPing>;
	/**
	Hosts that answer only relayed pings, or that don't answer while this host seems isolated.
	*/
	readonly pathFaults: Set<core.HostId>;
	/**
	Hosts still to be probed in this pass, in random order.
	*/
	readonly probeOrders: {readonly local: core.HostId[]; readonly remote: core.HostId[]};
	self: Member;
	probe: Probe | undefined;
	probeCount: number;
	lastSequence: number;
	/**
	Score of this host's own health: 0 is healthy, each isolated probe adds 1, each direct answer takes 1 away.
	*/
	localHealthScore: number;
	/**
	The last probe got no answer from the target or any relay.
	*/
	isIsolated: boolean;
	/**
	True for a host with seeds until another host reports the same digest, or for `MAX_JOIN_EXCHANGES` exchanges.
	*/
	isJoining: boolean;
	exchangeCount: number;
	/**
	Undefined until the first tick, which draws it at random, so that hosts that start together don't probe in step.
	*/
	nextProbeAt: number | undefined;
	nextGossipAt: number;
	nextExchangeAt: number;
	nextReconnectAt: number;
	nextExpiryScanAt: number;
	lastTickAt: number | undefined;
};

/**
Creates the state of membership at the start of a host.
*/
export function createMembership(config: MembershipConfig): MembershipState {
	const self: Member = {
		...config.self,
		incarnation: 0,
		state: 'alive',
		draining: false,
		catalogueRevision: 0,
	};
	const table = createTable();
	for (const member of config.members ?? []) {
		storeMember(table, member, 0);
	}

	storeMember(table, self, 0);
	return {
		config,
		table,
		updateQueue: new Map(),
		suspicions: new Map(),
		relayedPings: new Map(),
		pathFaults: new Set(),
		probeOrders: {local: [], remote: []},
		self,
		probe: undefined,
		probeCount: 0,
		lastSequence: config.firstSequence ?? 0,
		localHealthScore: 0,
		isIsolated: false,
		isJoining: config.seeds.length > 0,
		exchangeCount: 0,
		nextProbeAt: undefined,
		nextGossipAt: 0,
		nextExchangeAt: 0,
		nextReconnectAt: 0,
		nextExpiryScanAt: 0,
		lastTickAt: undefined,
	};
}
