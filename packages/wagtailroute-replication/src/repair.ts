/**
Plans the next membership change that brings the members of a group in line with the wanted hosts.

A host that lost its state returns with a new incarnation. The new member is added as a learner and catches up; then the lost
member is removed, and the new one is promoted. The lost member acknowledges nothing any more, so its removal neither
reduces the number of copies of committed entries nor raises the quorum. If the new member were promoted first, three voters with one
lost would become four with a quorum of three; if the host were lost again at that moment, no quorum would remain, and the
group could commit nothing, not even another membership change.

A live voter that is no longer wanted is replaced in the opposite order: its replacement is promoted first, so that committed
entries are never on fewer hosts than before.

Each change affects at most one voter, so that the quorums before and after overlap; the engine checks each change again.
*/
import type * as core from 'wagtailroute-core';
import * as members from './members.ts';

/**
A member as the leader sees it.
*/
export type ObservedMember = members.Member & {
	/**
	Has responded to the leader within `REACHABLE_MILLISECONDS`.
	*/
	readonly isLive: boolean;
	/**
	Holds all committed entries durably.
	*/
	readonly isCaughtUp: boolean;
};

/**
A host that should be a member.
*/
export type WantedHost = {
	readonly host: core.HostId;
	readonly role: members.MemberRole;
	/**
	The member that runs on the host now; null if unknown.
	*/
	readonly current: members.MemberId | null;
};

/**
Returns the next membership change; undefined if none is needed or possible now.
*/
export function planRepair(
	observed: readonly ObservedMember[],
	wanted: readonly WantedHost[],
): members.MembershipChange | undefined {
	return planVoterRemoval(observed, wanted)
		?? planPromotion(observed, wanted)
		?? planAddition(observed, wanted)
		?? planLearnerRemoval(observed, wanted);
}

function planPromotion(observed: readonly ObservedMember[], wanted: readonly WantedHost[]): members.MembershipChange | undefined {
	const voters = observed.filter(member => member.role === 'voter');
	const ready = observed.find(member =>
		isReady(member)
		&& wanted.some(item => item.role === 'voter' && item.current === member.id)
		&& voters.every(voter => !isSameHost(voter, member)));
	return ready && {kind: 'promote', member: ready.id};
}

function isReady(member: ObservedMember): boolean {
	return member.role === 'learner' && member.isLive && member.isCaughtUp;
}

function isSameHost(one: members.Member, other: members.Member): boolean {
	return members.getMemberHost(one.id) === members.getMemberHost(other.id);
}

/**
An unwanted voter is removed if there are more voters than wanted. An unwanted voter that isn't live is also removed if its
host's new incarnation is ready, or if no wanted host is available to replace it.
*/
function planVoterRemoval(observed: readonly ObservedMember[], wanted: readonly WantedHost[]): members.MembershipChange | undefined {
	const voters = observed.filter(member => member.role === 'voter');
	const wantedVoters = wanted.filter(item => item.role === 'voter');
	const hasEnough = voters.length > wantedVoters.length;
	const isReplacementComing = wantedVoters.some(item => item.current !== null && voters.every(voter => voter.id !== item.current));
	const isReplaceable = (voter: ObservedMember) =>
		!isReplacementComing || observed.some(member => isReady(member) && isSameHost(member, voter));
	// Removes voters that aren't live first; each removal must leave a quorum of live voters.
	const candidates = voters
		.filter(voter => !isKept(voter, wantedVoters))
		.filter(voter => hasEnough || (!voter.isLive && isReplaceable(voter)))
		.toSorted((one, other) => Number(one.isLive) - Number(other.isLive));
	const removed = candidates.find(candidate => hasLiveQuorum(voters.filter(voter => voter !== candidate), wanted));
	return removed && {kind: 'remove', member: removed.id};
}

/**
A member is kept while its host is wanted, unless another incarnation runs there. The member of a silent host is kept too,
since the host may return with its state.
*/
function isKept(member: ObservedMember, wanted: readonly WantedHost[]): boolean {
	const host = members.getMemberHost(member.id);
	return wanted.some(item => item.host === host && (item.current === null || item.current === member.id));
}

/**
A voter whose host returned with another incarnation counts as lost, even if it has responded recently.
*/
function hasLiveQuorum(voters: readonly ObservedMember[], wanted: readonly WantedHost[]): boolean {
	const isLost = (voter: ObservedMember) => wanted.some(item =>
		item.host === members.getMemberHost(voter.id) && item.current !== null && item.current !== voter.id);
	return voters.filter(voter => voter.isLive && !isLost(voter)).length >= members.getQuorum(voters.length);
}

function planAddition(observed: readonly ObservedMember[], wanted: readonly WantedHost[]): members.MembershipChange | undefined {
	const missing = wanted.filter(item => item.current !== null && observed.every(member => member.id !== item.current));
	const first = missing.find(item => item.role === 'voter') ?? missing[0];
	return first && {kind: 'add-learner', member: first.current!};
}

function planLearnerRemoval(observed: readonly ObservedMember[], wanted: readonly WantedHost[]): members.MembershipChange | undefined {
	const removed = observed.find(member => member.role === 'learner' && !isKept(member, wanted));
	return removed && {kind: 'remove', member: removed.id};
}
