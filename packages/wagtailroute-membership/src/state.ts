/**
State of the machine, and the sending of messages.
*/
import * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {takeUpdates, type UpdateQueue} from './dissemination.ts';
import type {HostDescription, Member} from './members.ts';
import type {
	Content,
	Effect,
	Message,
	Update,
} from './messages.ts';
import {
	createTable,
	listPresent,
	type MemberTable,
	storeMember,
} from './table.ts';
import {encodeSender} from './wire.ts';

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
	readonly stretch: number;
	nextPingAt: number;
	/**
	Rounds of asking others so far.
	*/
	requestRounds: number;
	readonly helpers: Set<core.HostId>;
	/**
	The target answered, at least by way of another host.
	*/
	isAcknowledged: boolean;
	/**
	Another host answered, so this host's own connection works.
	*/
	isAnswered: boolean;
};

/**
A suspicion that runs.
*/
export type Suspicion = {
	readonly incarnation: number;
	readonly startedAt: number;
	readonly confirmers: Set<core.HostId>;
	/**
	When this host's own probe failed; undefined when it only heard of the suspicion.
	*/
	ownSince: number | undefined;
	/**
	When this host asks another what it knows of the suspected one.
	*/
	nextCheckAt: number;
};

/**
A ping on behalf of another host.
*/
export type Relay = {readonly origin: core.Address; readonly sequence: number; readonly target: core.HostId};

/**
State of the machine.
*/
export type MembershipState = {
	readonly config: MembershipConfig;
	readonly table: MemberTable;
	readonly updates: UpdateQueue;
	readonly suspicions: Map<core.HostId, Suspicion>;
	readonly relays: Map<number, Relay>;
	/**
	Hosts that answer only by way of others, or not at all while this host seems cut off.
	*/
	readonly faults: Set<core.HostId>;
	/**
	Hosts still to be probed in this pass, in random order.
	*/
	readonly orders: {readonly local: core.HostId[]; readonly remote: core.HostId[]};
	self: Member;
	probe: Probe | undefined;
	probes: number;
	sequence: number;
	/**
	Score of this host's own health, 0 good.
	*/
	health: number;
	/**
	The last probe failed without a single answer from any host.
	*/
	isIsolated: boolean;
	isJoining: boolean;
	exchanges: number;
	/**
	Undefined until the first tick, which draws it: hosts that start together don't probe together.
	*/
	nextProbeAt: number | undefined;
	nextGossipAt: number;
	nextExchangeAt: number;
	nextReconnectAt: number;
	nextForgetAt: number;
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
		updates: new Map(),
		suspicions: new Map(),
		relays: new Map(),
		faults: new Set(),
		orders: {local: [], remote: []},
		self,
		probe: undefined,
		probes: 0,
		sequence: config.firstSequence ?? 0,
		health: 0,
		isIsolated: false,
		isJoining: config.seeds.length > 0,
		exchanges: 0,
		nextProbeAt: undefined,
		nextGossipAt: 0,
		nextExchangeAt: 0,
		nextReconnectAt: 0,
		nextForgetAt: 0,
	};
}

/**
Sends a message with the news that fit.
*/
export function sendNews(state: MembershipState, to: core.Address, content: Content): Effect {
	return sendWith(state, to, content, takeUpdates(state.updates, state.table.members.size));
}

/**
Sends a message with the given updates, none for a message that has no room for any.
*/
export function sendWith(
	state: MembershipState,
	to: core.Address,
	content: Content,
	updates: readonly Update[] = [],
): Effect {
	const message: Message = {...content, from: encodeSender(state.self), ...(updates.length > 0) && {updates}};
	return {kind: 'send', to, message};
}

/**
Picks up to `count` different hosts taken for running, other than this one and those excluded.
*/
export function pickMembers(
	state: MembershipState,
	count: number,
	random: utils.Random,
	isExcluded: (member: Member) => boolean = () => false,
): readonly Member[] {
	const ids = listPresent(state.table);
	const picked = new Set<Member>();
	// A bounded number of draws: in a large fleet it costs no search, in a small one it finds nearly all.
	for (let draws = count * 8; draws > 0 && picked.size < count; draws--) {
		const member = state.table.members.get(ids[utils.pickIndex(random, ids.length)]!)!;
		if (member.id !== state.self.id && !isExcluded(member)) {
			picked.add(member);
		}
	}

	return [...picked];
}

/**
The peer addresses of the seeds that are neither this host nor a host known to run.
*/
export function getUnknownSeeds(state: MembershipState): readonly core.Address[] {
	const present = listPresent(state.table).map(id => state.table.members.get(id)!);
	const addresses = new Set(present.map(member => core.formatAddress(member.peerAddress)));
	return state.config.seeds.filter(seed => !addresses.has(core.formatAddress(seed)));
}
