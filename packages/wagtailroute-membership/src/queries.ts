/**
What other parts ask of membership.
*/
import type * as core from 'wagtailroute-core';
import type {Member} from './members.ts';
import type {MembershipState} from './state.ts';
import {listMembers} from './table.ts';

/**
This host's own record.
*/
export function getSelf(state: MembershipState): Member {
	return state.self;
}

/**
All hosts known, dead and left ones until they are forgotten. The same array while nothing changed.
*/
export function getMembers(state: MembershipState): readonly Member[] {
	return listMembers(state.table);
}

/**
All hosts known, by name; a live view.
*/
export function getMembersById(state: MembershipState): ReadonlyMap<core.HostId, Member> {
	return state.table.members;
}

/**
Hosts neither suspected, dead nor left, this one included; draining ones too.
*/
export function getAliveMembers(state: MembershipState): readonly Member[] {
	return listMembers(state.table).filter(member => member.state === 'alive');
}

/**
Says whether this host answers to itself only by way of others: alive, but not for this host.
*/
export function hasPathFault(state: MembershipState, id: core.HostId): boolean {
	return state.pathFaults.has(id);
}

/**
Says whether a host is alive and, as far as this host knows, reached directly.
*/
export function isReachable(state: MembershipState, id: core.HostId): boolean {
	return state.table.members.get(id)?.state === 'alive' && !state.pathFaults.has(id);
}

/**
Says whether this host seems cut off from all others: its last probe got no answer from anyone.
*/
export function isIsolated(state: MembershipState): boolean {
	return state.isIsolated;
}

/**
Says whether this host doesn't yet know what the others know.
*/
export function isJoining(state: MembershipState): boolean {
	return state.isJoining;
}
