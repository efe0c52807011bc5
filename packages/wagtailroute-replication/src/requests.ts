/**
Local requests to a replica: proposals, reads and membership changes.
*/
import * as committing from './committing.ts';
import * as constants from './constants.ts';
import * as log from './log.ts';
import * as members from './members.ts';
import type * as replica from './replica.ts';
import * as sending from './sending.ts';
import * as steps from './step.ts';

function refuse(step: steps.StepContext, id: string, reason: replica.RefusalReason): void {
	step.effects.push({kind: 'answer', id, answer: {outcome: 'refused', reason}});
}

function refuseUnlessLeader(step: steps.StepContext, id: string): boolean {
	const {draft} = step;
	if (draft.role === 'leader') {
		return false;
	}

	const answer: replica.Answer = draft.role === 'failed'
		? {outcome: 'refused', reason: 'replica-failed'}
		: {outcome: 'not-leader', leader: draft.leader};
	step.effects.push({kind: 'answer', id, answer});
	return true;
}

/**
Appends the accepted commands to the log as one batch; the others are refused.
*/
export function propose(step: steps.StepContext, proposals: readonly replica.Proposal[]): void {
	const {draft} = step;
	const accepted = proposals.filter(proposal => !refuseInvalidProposal(step, proposal));
	const admitted = accepted.slice(0, Math.max(0, constants.MAX_PENDING_PROPOSALS - draft.pendingProposals.length));
	for (const {id} of accepted.slice(admitted.length)) {
		refuse(step, id, 'too-many-pending');
	}

	if (admitted.length === 0) {
		return;
	}

	const first = log.getLastIndex(draft) + 1;
	sending.appendEntries(step, admitted.map(({command, bytes}) => ({kind: 'command', value: command, bytes})));
	draft.pendingProposals = [...draft.pendingProposals, ...admitted.map(({id}, at) => ({index: first + at, id}))];
	sending.broadcastEntries(step);
}

function refuseInvalidProposal(step: steps.StepContext, proposal: replica.Proposal): boolean {
	if (refuseUnlessLeader(step, proposal.id)) {
		return true;
	}

	const isTooLarge = proposal.bytes > step.draft.settings.maxCommandBytes;
	if (isTooLarge) {
		refuse(step, proposal.id, 'command-too-large');
	}

	return isTooLarge;
}

/**
Queues linearizable reads; `advanceReads` starts their round.
*/
export function queueReads(step: steps.StepContext, ids: readonly string[]): void {
	const {draft} = step;
	const accepted = ids.filter(id => !refuseUnlessLeader(step, id));
	const admitted = accepted.slice(0, Math.max(0, constants.MAX_PENDING_READS - draft.queuedReads.length));
	for (const id of accepted.slice(admitted.length)) {
		refuse(step, id, 'too-many-pending');
	}

	draft.queuedReads = [...draft.queuedReads, ...admitted];
}

/**
Bootstraps a group: appends the entry with its first members, on an empty replica only. The others receive it by replication.
*/
export function bootstrapGroup(step: steps.StepContext, initialMembers: readonly members.Member[]): void {
	const {draft} = step;
	const isNew = log.getLastIndex(draft) === 0 && draft.members.length === 0;
	if (!isNew) {
		return;
	}

	const bytes = JSON.stringify(initialMembers).length;
	steps.replaceLog(step, 1, [{
		index: 1, term: 0, kind: 'members', value: initialMembers, bytes,
	}]);
	// There is no leader yet, so the election starts at once.
	draft.electionDueAt = step.now;
}

/**
Starts a membership change.

Changes are made one at a time, and only after an entry of the current term is committed. Otherwise two leaders could each
have an uncommitted change, their quorums might not overlap, and both could commit different entries at the same index.
*/
export function requestMembershipChange(step: steps.StepContext, id: string, change: members.MembershipChange): void {
	const {draft} = step;
	if (refuseUnlessLeader(step, id)) {
		return;
	}

	const reason = findRefusalReason(step, change);
	if (reason !== undefined) {
		refuse(step, id, reason);
		return;
	}

	const value = members.changeMembers(draft.members, change);
	const index = log.getLastIndex(draft) + 1;
	sending.appendEntries(step, [{kind: 'members', value, bytes: JSON.stringify(value).length}]);
	draft.pendingProposals = [...draft.pendingProposals, {index, id}];
	sending.refreshProgress(step);
	sending.broadcastEntries(step);
}

function findRefusalReason(step: steps.StepContext, change: members.MembershipChange): replica.RefusalReason | undefined {
	const {draft} = step;
	if (draft.commit < draft.termStartIndex) {
		return 'term-not-committed';
	}

	return draft.membersIndex > draft.commit ? 'change-in-progress' : REFUSAL_CHECKS[change.kind](step, change.member);
}

type RefusalCheck = (step: steps.StepContext, id: members.MemberId) => replica.RefusalReason | undefined;

const REFUSAL_CHECKS: Readonly<Record<members.MembershipChange['kind'], RefusalCheck>> = {
	'add-learner': ({draft}, id) => draft.members.some(member => member.id === id) ? 'already-member' : undefined,
	promote(step, id) {
		const {draft} = step;
		const member = draft.members.find(item => item.id === id);
		if (member?.role !== 'learner') {
			return member === undefined ? 'not-a-member' : 'already-voter';
		}

		// A new voter must hold all committed entries durably. If it were promoted earlier, it would count towards quorums
		// without them, and the loss of another host could leave a majority that lacks committed entries.
		const isCaughtUp = draft.progress.get(id)!.matchIndex >= draft.commit && committing.isRecentlyActive(draft, id, step.now);
		return isCaughtUp ? findQuorumRisk(step, {kind: 'promote', member: id}) : 'not-caught-up';
	},
	remove(step, id) {
		const isMember = step.draft.members.some(member => member.id === id);
		return isMember ? findQuorumRisk(step, {kind: 'remove', member: id}) : 'not-a-member';
	},
};

/**
Refuses a change after which the recently active voters form no quorum: it might never commit, and would block later changes.
*/
function findQuorumRisk(step: steps.StepContext, change: members.MembershipChange): replica.RefusalReason | undefined {
	const {draft} = step;
	const after = members.changeMembers(draft.members, change);
	const isSafe = members.isQuorum(after, id => committing.isRecentlyActive(draft, id, step.now));
	return isSafe ? undefined : 'quorum-at-risk';
}
