/**
Requests to a replica: proposals, reads and membership changes.
*/
import * as committing from './committing.ts';
import * as constants from './constants.ts';
import * as log from './log.ts';
import * as members from './members.ts';
import type * as replica from './replica.ts';
import * as sending from './sending.ts';
import * as work from './work.ts';

function refuse(step: work.Work, id: string, reason: replica.RefusalReason): void {
	step.effects.push({kind: 'answer', id, answer: {outcome: 'refused', reason}});
}

function isRefusedHere(step: work.Work, id: string): boolean {
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
Appends commands in one batch.
*/
export function propose(step: work.Work, proposals: readonly replica.Proposal[]): void {
	const {draft} = step;
	const accepted = proposals.filter(proposal => !isProposalRefused(step, proposal));
	const taken = accepted.slice(0, Math.max(0, constants.PENDING_PROPOSALS_MAX - draft.pending.length));
	for (const {id} of accepted.slice(taken.length)) {
		refuse(step, id, 'too-many-pending');
	}

	if (taken.length === 0) {
		return;
	}

	const first = log.getLastIndex(draft) + 1;
	sending.appendEntries(step, taken.map(({command, bytes}) => ({kind: 'command', value: command, bytes})));
	draft.pending = [...draft.pending, ...taken.map(({id}, at) => ({index: first + at, id}))];
	sending.broadcast(step);
}

function isProposalRefused(step: work.Work, proposal: replica.Proposal): boolean {
	if (isRefusedHere(step, proposal.id)) {
		return true;
	}

	const isTooLarge = proposal.bytes > step.draft.settings.commandBytesMost;
	if (isTooLarge) {
		refuse(step, proposal.id, 'command-too-large');
	}

	return isTooLarge;
}

/**
Queues linearizable reads.
*/
export function read(step: work.Work, ids: readonly string[]): void {
	const {draft} = step;
	const accepted = ids.filter(id => !isRefusedHere(step, id));
	const taken = accepted.slice(0, Math.max(0, constants.PENDING_READS_MAX - draft.queuedReads.length));
	for (const id of accepted.slice(taken.length)) {
		refuse(step, id, 'too-many-pending');
	}

	draft.queuedReads = [...draft.queuedReads, ...taken];
}

/**
Makes the first entry of a new group: its members. Only an empty replica does; the others get it as any entry.
*/
export function createGroup(step: work.Work, first: readonly members.Member[]): void {
	const {draft} = step;
	const isNew = log.getLastIndex(draft) === 0 && draft.members.length === 0;
	if (!isNew) {
		return;
	}

	const bytes = JSON.stringify(first).length;
	work.replaceLog(step, 1, [{
		index: 1, term: 0, kind: 'members', value: first, bytes,
	}]);
	// Nobody leads yet, so there is nothing to wait for.
	draft.electionDueAt = step.now;
}

/**
Starts one membership change.

One at a time, and only after an entry of this term was committed: two changes that are both uncommitted, from two
leaders, could have quorums without a common member, and two leaders would commit different entries.
*/
export function requestChange(step: work.Work, id: string, change: members.MembershipChange): void {
	const {draft} = step;
	if (isRefusedHere(step, id)) {
		return;
	}

	const reason = findObstacle(step, change);
	if (reason !== undefined) {
		refuse(step, id, reason);
		return;
	}

	const value = members.changeMembers(draft.members, change);
	const index = log.getLastIndex(draft) + 1;
	sending.appendEntries(step, [{kind: 'members', value, bytes: JSON.stringify(value).length}]);
	draft.pending = [...draft.pending, {index, id}];
	sending.refreshProgress(step);
	sending.broadcast(step);
}

function findObstacle(step: work.Work, change: members.MembershipChange): replica.RefusalReason | undefined {
	const {draft} = step;
	if (draft.commit < draft.termStart) {
		return 'term-not-committed';
	}

	return draft.membersIndex > draft.commit ? 'change-in-progress' : OBSTACLES[change.kind](step, change.member);
}

type Obstacle = (step: work.Work, id: members.MemberId) => replica.RefusalReason | undefined;

const OBSTACLES: Readonly<Record<members.MembershipChange['kind'], Obstacle>> = {
	'add-learner': ({draft}, id) => draft.members.some(member => member.id === id) ? 'already-member' : undefined,
	promote(step, id) {
		const {draft} = step;
		const member = draft.members.find(item => item.id === id);
		if (member?.role !== 'learner') {
			return member === undefined ? 'not-a-member' : 'already-voter';
		}

		// A new voter must hold durably what is committed. Promoted earlier it would count for quorums with a log that
		// lacks accepted changes; the loss of a second host would then leave a majority without them.
		const isCaughtUp = draft.progress.get(id)!.match >= draft.commit && committing.isHeard(draft, id, step.now);
		return isCaughtUp ? findQuorumRisk(step, {kind: 'promote', member: id}) : 'not-caught-up';
	},
	remove(step, id) {
		const isMember = step.draft.members.some(member => member.id === id);
		return isMember ? findQuorumRisk(step, {kind: 'remove', member: id}) : 'not-a-member';
	},
};

/**
A change after which the voters heard lately are no quorum could never be committed, and would block every later one.
*/
function findQuorumRisk(step: work.Work, change: members.MembershipChange): replica.RefusalReason | undefined {
	const {draft} = step;
	const after = members.changeMembers(draft.members, change);
	const isSafe = members.isQuorum(after, id => committing.isHeard(draft, id, step.now));
	return isSafe ? undefined : 'quorum-at-risk';
}
