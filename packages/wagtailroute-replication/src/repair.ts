/**
Plans the next single step that brings the members of a group in line with the wanted hosts.

A host that lost its state comes as another incarnation, and the order is: the new one becomes a learner; it catches up; the
lost identity is removed; the new one is promoted. A lost identity never acknowledges anything, so its removal takes no copy
of an accepted change away and the quorum doesn't grow. Promoted before the removal, the new one would raise the quorum
while the lost one is still counted: three voters with one lost would be four, of which three are needed, and if the host
is lost again at that moment the group could never agree again, not even on a repair.

A voter that still answers and is no longer wanted goes the other way round: its replacement is promoted first, so that an
accepted change is never on fewer hosts than before.

Each step changes one voter at most, so quorums before and after overlap; the engine checks each step again.
*/
import type * as core from 'wagtailroute-core';
import * as members from './members.ts';

/**
A member as the leader sees it.
*/
export type ObservedMember = members.Member & {
	/**
	Answered lately.
	*/
	readonly isLive: boolean;
	/**
	Holds durably everything that is committed.
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
	The member that runs there now; null while none was heard.
	*/
	readonly current: members.MemberId | null;
};

/**
Returns the next step, or undefined if none is needed or possible now.
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
A voter that is not wanted goes when enough others remain. A dead one also goes when its host's new incarnation is ready,
or when no wanted host could take its place now.
*/
function planVoterRemoval(observed: readonly ObservedMember[], wanted: readonly WantedHost[]): members.MembershipChange | undefined {
	const voters = observed.filter(member => member.role === 'voter');
	const wantedVoters = wanted.filter(item => item.role === 'voter');
	const hasEnough = voters.length > wantedVoters.length;
	const isReplacementComing = wantedVoters.some(item => item.current !== null && voters.every(voter => voter.id !== item.current));
	const isReplaceable = (voter: ObservedMember) =>
		!isReplacementComing || observed.some(member => isReady(member) && isSameHost(member, voter));
	// Dead ones first; each removal must leave a quorum of live voters.
	const candidates = voters
		.filter(voter => !isKept(voter, wantedVoters))
		.filter(voter => hasEnough || (!voter.isLive && isReplaceable(voter)))
		.toSorted((one, other) => Number(one.isLive) - Number(other.isLive));
	const removed = candidates.find(candidate => hasLiveQuorum(voters.filter(voter => voter !== candidate), wanted));
	return removed && {kind: 'remove', member: removed.id};
}

/**
A member stays while its host is wanted, unless another incarnation runs there. A host that is merely silent stays: it may
come back with its state.
*/
function isKept(member: ObservedMember, wanted: readonly WantedHost[]): boolean {
	const host = members.getMemberHost(member.id);
	return wanted.some(item => item.host === host && (item.current === null || item.current === member.id));
}

/**
A voter whose host came back as another incarnation is lost, even if it answered a moment ago.
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
