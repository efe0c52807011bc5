/**
Elections: pre-vote, vote, leader stickiness and the change of roles.
*/
import * as log from './log.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import * as sending from './sending.ts';
import * as steps from './step.ts';

/**
Draws the next election timeout.
*/
export function resetElectionTimer(step: steps.StepContext): void {
	const {minElectionTimeoutMs, maxElectionTimeoutMs} = step.draft.settings;
	step.draft.electionDueAt = step.now + minElectionTimeoutMs + (step.random() * (maxElectionTimeoutMs - minElectionTimeoutMs));
}

/**
Becomes a follower, of a newer term or of the same.

A leader that steps down answers its waiting proposals `unknown`: they are in its log and a later leader may commit them,
so neither yes nor no would be true.
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
Answers everything that waits at a leader which no longer leads.
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
Asks the other voters whether they would vote for this one.

Without this round a host that was cut off would come back with a higher term and depose a healthy leader; one would
notice elections whenever a partition heals.
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
Says whether this replica may stand for election: as a voter, or as one whose removal is in its log but not committed. The
others may still count on the latter, and refused its longer log they could never elect anyone. It doesn't count itself.
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
	// The own vote counts once the write of this step is durable.
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
Says whether a live leader was heard within the shortest election timeout.

While it was, vote requests are ignored: a host that hears nobody but is heard (a one-way partition), or one that was
removed and does not know it, cannot depose a leader that serves the others.
*/
export function isLeaderLive(step: steps.StepContext): boolean {
	const {draft} = step;
	const isFollowing = draft.leader !== null && step.now - draft.lastLeaderContactAt < draft.settings.minElectionTimeoutMs;
	return draft.role === 'leader' || isFollowing;
}

/**
Answers a pre-vote; nothing changes here.
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
Counts a pre-vote. A refusal from a newer term brings this replica to that term, or it would never be electable.
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
Votes, at most once a term, for a candidate whose log holds everything this one holds. The answer waits for the vote to
be durable: a host that forgot its vote in a crash could vote twice, and a term would have two leaders.
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
Counts a vote.
*/
export function receiveVoteAnswer(step: steps.StepContext, message: messages.VoteAnswer): void {
	if (message.granted && message.term === step.draft.term) {
		countVote(step, message.from);
	}
}

/**
Counts a vote of this term and takes the lead with a quorum.
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
