/**
Elections: pre-vote, vote, leader stickiness and changes of role.
*/
import * as log from './log.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import * as sending from './sending.ts';
import * as steps from './step.ts';

/**
Draws a new election timeout at random.
*/
export function resetElectionTimer(step: steps.StepContext): void {
	const {minElectionTimeoutMs, maxElectionTimeoutMs} = step.draft.settings;
	step.draft.electionDueAt = step.now + minElectionTimeoutMs + (step.random() * (maxElectionTimeoutMs - minElectionTimeoutMs));
}

/**
Becomes a follower in the same or a newer term.

A leader that steps down answers its pending proposals with `unknown`: they are in its log, and a later leader may or may not
commit them.
*/
export function becomeFollower(step: steps.StepContext, term: number, leader: members.MemberId | null): void {
	const {draft} = step;
	if (draft.role === 'leader') {
		abandonRequests(step, leader);
	}

	if (term > draft.term) {
		draft.term = term;
		draft.votedFor = null;
		draft.pendingMessages = [];
		step.isHardStateChanged = true;
	}

	draft.role = 'follower';
	draft.leader = leader;
	draft.votes = new Set();
	draft.progress = new Map();
	resetElectionTimer(step);
}

/**
Answers all pending proposals with `unknown` and all pending reads with `not-leader`.
*/
export function abandonRequests(step: steps.StepContext, leader: members.MemberId | null): void {
	const {draft} = step;
	for (const {id} of draft.pendingProposals) {
		step.effects.push({kind: 'answer', id, answer: {outcome: 'unknown'}});
	}

	for (const id of [...draft.activeReads, ...draft.queuedReads]) {
		step.effects.push({kind: 'answer', id, answer: {outcome: 'not-leader', leader}});
	}

	draft.pendingProposals = [];
	draft.activeReads = [];
	draft.queuedReads = [];
}

/**
Asks the other voters whether they would vote for this replica.

Without a pre-vote, a host that was partitioned would return with a higher term and depose a healthy leader, so that each
healed partition would cause an election.
*/
export function startPreVote(step: steps.StepContext): void {
	const {draft} = step;
	const {self} = draft.settings;
	resetElectionTimer(step);
	if (!canCampaign(step)) {
		return;
	}

	draft.role = 'pre-candidate';
	draft.leader = null;
	draft.votes = new Set([self]);
	if (hasVoteQuorum(step)) {
		startElection(step);
		return;
	}

	const body = createRequest(step, 'pre-vote');
	for (const voter of getOtherVoters(step)) {
		steps.send(step, voter.id, body, draft.term + 1);
	}
}

/**
Returns whether this replica may campaign: it is a voter, or its removal is in its log but not committed. In the second case
the others may lack that entry and still need this replica's vote, which it denies to candidates with a shorter log; if it
couldn't campaign, no one could be elected. Its own vote doesn't count then.
*/
function canCampaign(step: steps.StepContext): boolean {
	const {draft} = step;
	const {self} = draft.settings;
	const isRemovalUncommitted = draft.membersIndex > draft.commit
		&& members.isVoter(log.findMembers(draft, draft.membersIndex - 1).members, self);
	return isRemovalUncommitted || members.isVoter(draft.members, self);
}

function startElection(step: steps.StepContext): void {
	const {draft} = step;
	draft.role = 'candidate';
	draft.term++;
	draft.votedFor = draft.settings.self;
	draft.votes = new Set();
	draft.pendingMessages = [];
	step.isHardStateChanged = true;
	// The replica's own vote counts once this step's write is durable.
	draft.voteSequence = draft.lastSequence + 1;
	resetElectionTimer(step);
	const body = createRequest(step, 'vote');
	for (const voter of getOtherVoters(step)) {
		steps.sendWhenDurable(step, voter.id, body);
	}
}

function createRequest(step: steps.StepContext, kind: messages.VoteRequest['kind']): steps.MessageBody<messages.VoteRequest> {
	return {kind, lastIndex: log.getLastIndex(step.draft), lastTerm: log.getLastTerm(step.draft)};
}

function getOtherVoters(step: steps.StepContext): readonly members.Member[] {
	return members.getVoters(step.draft.members).filter(voter => voter.id !== step.draft.settings.self);
}

function hasVoteQuorum(step: steps.StepContext): boolean {
	return members.isQuorum(step.draft.members, id => step.draft.votes.has(id));
}

/**
Returns whether this replica leads or has heard from its leader within the minimum election timeout.

If so, it ignores vote requests: a host that can send but not receive (a one-way partition), or that doesn't know of its own
removal, must not depose a leader that serves the others.
*/
export function isLeaderLive(step: steps.StepContext): boolean {
	const {draft} = step;
	const isFollowing = draft.leader !== null && step.now - draft.lastLeaderContactAt < draft.settings.minElectionTimeoutMs;
	return draft.role === 'leader' || isFollowing;
}

/**
Answers a pre-vote request without changing any state.
*/
export function receivePreVote(step: steps.StepContext, message: messages.VoteRequest): void {
	const {draft} = step;
	if (isLeaderLive(step)) {
		return;
	}

	const granted = message.term > draft.term && log.isUpToDate(draft, message.lastTerm, message.lastIndex);
	steps.send(step, message.from, {kind: 'pre-vote-answer', granted}, granted ? message.term : draft.term);
}

/**
Counts a pre-vote. A refusal from a newer term moves this replica to that term; otherwise it could never be elected.
*/
export function receivePreVoteAnswer(step: steps.StepContext, message: messages.VoteAnswer): void {
	const {draft} = step;
	if (!message.granted) {
		if (message.term > draft.term) {
			becomeFollower(step, message.term, null);
		}

		return;
	}

	if (draft.role !== 'pre-candidate' || message.term !== draft.term + 1) {
		return;
	}

	draft.votes = new Set([...draft.votes, message.from]);
	if (hasVoteQuorum(step)) {
		startElection(step);
	}
}

/**
Votes, at most once per term, for a candidate whose log is at least as up-to-date as this one. The response waits until the
vote is durable: a host that lost its vote in a crash could vote twice, and the term could have two leaders.
*/
export function receiveVote(step: steps.StepContext, message: messages.VoteRequest): void {
	const {draft} = step;
	const canVote = draft.votedFor === null || draft.votedFor === message.from;
	const granted = canVote && message.term === draft.term && log.isUpToDate(draft, message.lastTerm, message.lastIndex);
	if (granted && draft.votedFor === null) {
		draft.votedFor = message.from;
		step.isHardStateChanged = true;
	}

	if (granted) {
		resetElectionTimer(step);
	}

	steps.sendWhenDurable(step, message.from, {kind: 'vote-answer', granted});
}

/**
Handles the response to a vote request; responses of other terms are ignored.
*/
export function receiveVoteAnswer(step: steps.StepContext, message: messages.VoteAnswer): void {
	if (message.granted && message.term === step.draft.term) {
		countVote(step, message.from);
	}
}

/**
Counts a vote of the current term and becomes leader once a quorum has voted for this replica.
*/
export function countVote(step: steps.StepContext, voter: members.MemberId): void {
	const {draft} = step;
	if (draft.role !== 'candidate') {
		return;
	}

	draft.votes = new Set([...draft.votes, voter]);
	if (hasVoteQuorum(step)) {
		sending.becomeLeader(step);
	}
}
