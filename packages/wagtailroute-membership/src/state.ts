/**
State of the machine.
*/
import type * as core from 'wagtailroute-core';
import type {UpdateQueue} from './dissemination.ts';
import type {HostDescription, Member} from './members.ts';
import {createTable, type MemberTable, storeMember} from './table.ts';

/**
Settings of a host.
*/
export type MembershipConfig = {
	readonly self: HostDescription;
	/**
	Peer addresses of some hosts; this host's own may be among them.
	*/
	readonly seeds: readonly core.Address[];
	/**
	First sequence number, random at each start, so that answers to an earlier process aren't taken for this one's.
	*/
	readonly firstSequence?: number;
	/**
	Hosts known from elsewhere, such as the last catalogue.
	*/
	readonly members?: readonly Member[];
};

/**
A probe under way. Times are monotonic milliseconds.
*/
export type Probe = {
	readonly target: core.HostId;
	readonly sequence: number;
	readonly startedAt: number;
	/**
	Stretches all times of the probe while this host's own health is in doubt.
	*/
	readonly timeoutMultiplier: number;
	nextPingAt: number;
	/**
	Rounds of asking others so far.
	*/
	pingRequestRounds: number;
	readonly relayIds: Set<core.HostId>;
	/**
	The target answered, at least by way of another host.
	*/
	hasIndirectAck: boolean;
	/**
	Another host answered, so this host's own connection works.
	*/
	hasRelayResponse: boolean;
};

/**
A suspicion that runs.
*/
export type Suspicion = {
	readonly incarnation: number;
	startedAt: number;
	readonly suspectedBy: Set<core.HostId>;
	/**
	When this host's own probe failed; undefined when it only heard of the suspicion.
	*/
	ownProbeFailedAt: number | undefined;
	/**
	When this host asks another what it knows of the suspected one.
	*/
	nextCheckAt: number;
};

/**
A ping on behalf of another host.
*/
export type RelayedPing = {readonly requesterAddress: core.Address; readonly requesterSequence: number; readonly target: core.HostId};

/**
State of the machine.
*/
export type MembershipState = {
	readonly config: MembershipConfig;
	readonly table: MemberTable;
	readonly updateQueue: UpdateQueue;
	readonly suspicions: Map<core.HostId, Suspicion>;
	readonly relayedPings: Map<number, RelayedPing>;
	/**
	Hosts that answer only by way of others, or not at all while this host seems cut off.
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
	Score of this host's own health, 0 good.
	*/
	localHealthScore: number;
	/**
	The last probe failed without a single answer from any host.
	*/
	isIsolated: boolean;
	isJoining: boolean;
	exchangeCount: number;
	/**
	Undefined until the first tick, which draws it: hosts that start together don't probe together.
	*/
	nextProbeAt: number | undefined;
	nextGossipAt: number;
	nextExchangeAt: number;
	nextReconnectAt: number;
	nextExpiryScanAt: number;
	lastTickAt: number | undefined;
};

/**
Creates the state of a host that starts.
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
