/**
Queries of the membership state by other packages.
*/
import type * as core from 'wagtailroute-core';
import type {Member} from './members.ts';
import type {MembershipState} from './state.ts';
import {listMembers} from './table.ts';

/**
Returns this host's own record.
*/
export function getSelf(state: MembershipState): Member {
	return state.self;
}

/**
Returns the records of all hosts known; dead and left ones until they expire. The same array while nothing changed.
*/
export function getMembers(state: MembershipState): readonly Member[] {
	return listMembers(state.table);
}

/**
Returns the records of all hosts known, by id; a live view.
*/
export function getMembersById(state: MembershipState): ReadonlyMap<core.HostId, Member> {
	return state.table.members;
}

/**
Returns the hosts that are neither suspected, dead nor left: draining ones and this host included.
*/
export function getAliveMembers(state: MembershipState): readonly Member[] {
	return listMembers(state.table).filter(member => member.state === 'alive');
}

/**
Returns whether this host has a path fault to another host, which answers only relayed pings.
*/
export function hasPathFault(state: MembershipState, id: core.HostId): boolean {
	return state.pathFaults.has(id);
}

/**
Returns whether a host is alive and this host has no path fault to it.
*/
export function isReachable(state: MembershipState, id: core.HostId): boolean {
	return state.table.members.get(id)?.state === 'alive' && !state.pathFaults.has(id);
}

/**
Returns whether this host seems isolated: its last probe got no answer from the target or any relay.
*/
export function isIsolated(state: MembershipState): boolean {
	return state.isIsolated;
}

/**
Returns whether this host is still joining, so that its list of hosts may be incomplete.
*/
export function isJoining(state: MembershipState): boolean {
	return state.isJoining;
}
