/**
Elections: pre-vote, vote, leader stickiness and the change of roles.
*/
import * as log from './log.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import * as sending from './sending.ts';
import * as work from './work.ts';

/**
Draws the next election timeout.
*/
export function resetElectionTimer(step: work.Work): void {
	const {electionTimeoutMinMs, electionTimeoutMaxMs} = step.draft.settings;
	step.draft.electionDueAt = step.now + electionTimeoutMinMs + (step.random() * (electionTimeoutMaxMs - electionTimeoutMinMs));
}

/**
Becomes a follower, of a newer term or of the same.

A leader that steps down answers its waiting proposals `unknown`: they are in its log and a later leader may commit them,
so neither yes nor no would be true.
*/
export function becomeFollower(step: work.Work, term: number, leader: members.MemberId | null): void {
	const {draft} = step;
	if (draft.role === 'leader') {
		abandonRequests(step, leader);
	}

	if (term > draft.term) {
		draft.term = term;
		draft.votedFor = null;
		draft.held = [];
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
export function abandonRequests(step: work.Work, leader: members.MemberId | null): void {
	const {draft} = step;
	for (const {id} of draft.pending) {
		step.effects.push({kind: 'answer', id, answer: {outcome: 'unknown'}});
	}

	for (const id of [...draft.activeReads, ...draft.queuedReads]) {
		step.effects.push({kind: 'answer', id, answer: {outcome: 'not-leader', leader}});
	}

	draft.pending = [];
	draft.activeReads = [];
	draft.queuedReads = [];
}

/**
Asks the other voters whether they would vote for this one.

Without this round a host that was cut off would come back with a higher term and depose a healthy leader; one would
notice elections whenever a partition heals.
*/
export function startPreVote(step: work.Work): void {
	const {draft} = step;
	const {self} = draft.settings;
	resetElectionTimer(step);
	if (!canLead(step)) {
		return;
	}

	draft.role = 'pre-candidate';
	draft.leader = null;
	draft.votes = new Set([self]);
	if (hasVotes(step)) {
		startElection(step);
		return;
	}

	const body = createRequest(step, 'pre-vote');
	for (const voter of getOtherVoters(step)) {
		work.send(step, voter.id, body, draft.term + 1);
	}
}

/**
Says whether this replica may stand for election: as a voter, or as one whose removal is in its log but not committed. The
others may still count on the latter, and refused its longer log they could never elect anyone. It doesn't count itself.
*/
function canLead(step: work.Work): boolean {
	const {draft} = step;
	const {self} = draft.settings;
	const isRemovalOpen = draft.membersIndex > draft.commit
		&& members.isVoter(log.findMembers(draft, draft.membersIndex - 1).members, self);
	return isRemovalOpen || members.isVoter(draft.members, self);
}

function startElection(step: work.Work): void {
	const {draft} = step;
	draft.role = 'candidate';
	draft.term++;
	draft.votedFor = draft.settings.self;
	draft.votes = new Set();
	draft.held = [];
	step.isHardStateChanged = true;
	// The own vote counts once the write of this step is durable.
	draft.voteSequence = draft.lastSequence + 1;
	resetElectionTimer(step);
	const body = createRequest(step, 'vote');
	for (const voter of getOtherVoters(step)) {
		work.sendWhenDurable(step, voter.id, body);
	}
}

function createRequest(step: work.Work, kind: messages.VoteRequest['kind']): work.Body<messages.VoteRequest> {
	return {kind, lastIndex: log.getLastIndex(step.draft), lastTerm: log.getLastTerm(step.draft)};
}

function getOtherVoters(step: work.Work): readonly members.Member[] {
	return members.getVoters(step.draft.members).filter(voter => voter.id !== step.draft.settings.self);
}

function hasVotes(step: work.Work): boolean {
	return members.isQuorum(step.draft.members, id => step.draft.votes.has(id));
}

/**
Says whether a live leader was heard within the shortest election timeout.

While it was, vote requests are ignored: a host that hears nobody but is heard (a one-way partition), or one that was
removed and does not know it, cannot depose a leader that serves the others.
*/
export function isLeaderLive(step: work.Work): boolean {
	const {draft} = step;
	const isFollowing = draft.leader !== null && step.now - draft.heardLeaderAt < draft.settings.electionTimeoutMinMs;
	return draft.role === 'leader' || isFollowing;
}

/**
Answers a pre-vote; nothing changes here.
*/
export function receivePreVote(step: work.Work, message: messages.VoteRequest): void {
	const {draft} = step;
	if (isLeaderLive(step)) {
		return;
	}

	const granted = message.term > draft.term && log.isUpToDate(draft, message.lastTerm, message.lastIndex);
	work.send(step, message.from, {kind: 'pre-vote-answer', granted}, granted ? message.term : draft.term);
}

/**
Counts a pre-vote. A refusal from a newer term brings this replica to that term, or it would never be electable.
*/
export function receivePreVoteAnswer(step: work.Work, message: messages.VoteAnswer): void {
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
	if (hasVotes(step)) {
		startElection(step);
	}
}

/**
Votes, at most once a term, for a candidate whose log holds everything this one holds. The answer waits for the vote to
be durable: a host that forgot its vote in a crash could vote twice, and a term would have two leaders.
*/
export function receiveVote(step: work.Work, message: messages.VoteRequest): void {
	const {draft} = step;
	const isFree = draft.votedFor === null || draft.votedFor === message.from;
	const granted = isFree && message.term === draft.term && log.isUpToDate(draft, message.lastTerm, message.lastIndex);
	if (granted && draft.votedFor === null) {
		draft.votedFor = message.from;
		step.isHardStateChanged = true;
	}

	if (granted) {
		resetElectionTimer(step);
	}

	work.sendWhenDurable(step, message.from, {kind: 'vote-answer', granted});
}

/**
Counts a vote.
*/
export function receiveVoteAnswer(step: work.Work, message: messages.VoteAnswer): void {
	if (message.granted && message.term === step.draft.term) {
		countVote(step, message.from);
	}
}

/**
Counts a vote of this term and takes the lead with a quorum.
*/
export function countVote(step: work.Work, voter: members.MemberId): void {
	const {draft} = step;
	if (draft.role !== 'candidate') {
		return;
	}

	draft.votes = new Set([...draft.votes, voter]);
	if (hasVotes(step)) {
		sending.becomeLeader(step);
	}
}
