/**
Members of a group and quorums over them.

A member is a host AND its incarnation. A host that lost its state comes back with a fresh incarnation and so as another
member: nothing that the lost state promised (a vote, an acknowledged entry) can be counted from the new one.
*/
import type * as core from 'wagtailroute-core';

/**
Identity of a member: `host~incarnation`.
*/
export type MemberId = string;

/**
Voters count towards quorums; learners only receive the log.
*/
export type MemberRole = 'voter' | 'learner';

/**
A member of a group.
*/
export type Member = {
	readonly id: MemberId;
	readonly role: MemberRole;
};

/**
One step of a membership change. Each changes at most one voter, so that a quorum before and one after always share a
member.
*/
export type MembershipChange =
	| {readonly kind: 'add-learner'; readonly member: MemberId}
	| {readonly kind: 'promote'; readonly member: MemberId}
	| {readonly kind: 'remove'; readonly member: MemberId};

const SEPARATOR = '~';

/**
Writes the identity of a member.
*/
export function createMemberId(host: core.HostId, incarnation: string): MemberId {
	return `${host}${SEPARATOR}${incarnation}`;
}

/**
Returns the host of a member.
*/
export function getMemberHost(id: MemberId): core.HostId {
	return id.slice(0, id.lastIndexOf(SEPARATOR));
}

/**
Returns the voters.
*/
export function getVoters(members: readonly Member[]): readonly Member[] {
	return members.filter(member => member.role === 'voter');
}

/**
Says whether the member is a voter.
*/
export function isVoter(members: readonly Member[], id: MemberId): boolean {
	return members.some(member => member.id === id && member.role === 'voter');
}

/**
Number of voters that make a quorum.
*/
export function getQuorum(voters: number): number {
	return Math.floor(voters / 2) + 1;
}

/**
Says whether the voters that satisfy the predicate are a quorum.
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
Returns the members after a change.
*/
export function changeMembers(members: readonly Member[], change: MembershipChange): readonly Member[] {
	return CHANGES[change.kind](members, change.member);
}
