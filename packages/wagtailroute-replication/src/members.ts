/**
Members of a group, and quorums.

A member is identified by its host and incarnation. A host that lost its state rejoins with a new incarnation, as a new
member, so that votes and acknowledgements of the lost state are not attributed to it.
*/
import type * as core from 'wagtailroute-core';

/**
Identity of a member: `host~incarnation`.
*/
export type MemberId = string;

/**
Voters count towards quorums; learners only replicate the log.
*/
export type MemberRole = 'voter' | 'learner';

/**
A member of a group; stored in log entries and snapshots.
*/
export type Member = {
	readonly id: MemberId;
	readonly role: MemberRole;
};

/**
A single-server membership change. It adds or removes at most one voter, so any quorum before it overlaps any quorum after it.
*/
export type MembershipChange =
	| {readonly kind: 'add-learner'; readonly member: MemberId}
	| {readonly kind: 'promote'; readonly member: MemberId}
	| {readonly kind: 'remove'; readonly member: MemberId};

const SEPARATOR = '~';

/**
Returns `host~incarnation`.
*/
export function createMemberId(host: core.HostId, incarnation: string): MemberId {
	return `${host}${SEPARATOR}${incarnation}`;
}

/**
Returns the host part of a member's identity.
*/
export function getMemberHost(id: MemberId): core.HostId {
	return id.slice(0, id.lastIndexOf(SEPARATOR));
}

/**
Returns the members that count towards quorums, in the order given.
*/
export function getVoters(members: readonly Member[]): readonly Member[] {
	return members.filter(member => member.role === 'voter');
}

/**
Returns whether the list contains the member as a voter.
*/
export function isVoter(members: readonly Member[], id: MemberId): boolean {
	return members.some(member => member.id === id && member.role === 'voter');
}

/**
Returns the majority of a number of voters.
*/
export function getQuorum(voters: number): number {
	return Math.floor(voters / 2) + 1;
}

/**
Returns whether the voters that satisfy the predicate form a quorum.
*/
export function isQuorum(members: readonly Member[], predicate: (id: MemberId) => boolean): boolean {
	const voters = getVoters(members);
	const satisfied = voters.filter(member => predicate(member.id)).length;
	return satisfied >= getQuorum(voters.length);
}

const CHANGES: Readonly<Record<MembershipChange['kind'], (members: readonly Member[], id: MemberId) => readonly Member[]>> = {
	'add-learner': (members, id) => [...members, {id, role: 'learner'}],
	promote: (members, id) => members.map(member => member.id === id ? {id, role: 'voter'} : member),
	remove: (members, id) => members.filter(member => member.id !== id),
};

/**
Returns the members after a change, without checking that the change is allowed.
*/
export function changeMembers(members: readonly Member[], change: MembershipChange): readonly Member[] {
	return CHANGES[change.kind](members, change.member);
}
