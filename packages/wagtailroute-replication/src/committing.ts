/**
The leader's handling of append responses: commits, check-quorum and linearizable reads. Also the application of committed
entries and log compaction, on every replica.
*/
import * as constants from './constants.ts';
import * as election from './election.ts';
import * as log from './log.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';
import * as sending from './sending.ts';
import type * as steps from './step.ts';

/**
Updates a follower's progress from its response and sends what it lacks.
*/
export function receiveAppendAnswer(step: steps.StepContext, message: messages.AppendAnswer): void {
	const {draft} = step;
	const progress = draft.progress.get(message.from);
	const isExpected = draft.role === 'leader' && message.term === draft.term;
	if (progress === undefined || !isExpected) {
		return;
	}

	const responded = {...progress, lastResponseAt: step.now, confirmedReadRound: Math.max(progress.confirmedReadRound, message.round)};
	const next = message.accepted ? applyAcceptedAnswer(responded, message) : applyRejectedAnswer(responded, message);
	draft.progress.set(message.from, next);
	const isProbeUnanswered = progress.isProbing && !next.isProbing && next.inFlightIndexes.length > 0;
	const hasSent = sending.sendMissingEntries(step, message.from);
	if (isProbeUnanswered && !hasSent) {
		// The answer is that of a heartbeat: another one finds out at once whether the entries were lost.
		sending.sendEmptyAppend(step, message.from);
	}
}

function applyAcceptedAnswer(progress: replica.Progress, message: messages.AppendAnswer): replica.Progress {
	const match = Math.max(progress.matchIndex, message.match);
	const inFlightIndexes = progress.inFlightIndexes.filter(last => last > match);
	return {
		...progress,
		matchIndex: match,
		nextIndex: Math.max(progress.nextIndex, match + 1, (inFlightIndexes.at(-1) ?? 0) + 1),
		inFlightIndexes,
		isProbing: false,
	};
}

/**
Moves back to the highest index at which the logs may match. A rejection of anything but the current probe is late and is
ignored; otherwise each one would cause another resend.
*/
function applyRejectedAnswer(progress: replica.Progress, message: messages.AppendAnswer): replica.Progress {
	const isLate = message.previousIndex <= progress.matchIndex || (progress.isProbing && message.previousIndex !== progress.nextIndex - 1);
	if (isLate) {
		return progress;
	}

	return {
		...progress,
		nextIndex: Math.max(progress.matchIndex + 1, Math.min(message.previousIndex, message.match + 1)),
		inFlightIndexes: [],
		isProbing: true,
	};
}

/**
Returns whether a member has responded to this leader within the minimum election timeout; always true of the leader itself.
*/
export function isRecentlyActive(state: Pick<replica.Replica, 'settings' | 'progress'>, id: members.MemberId, now: number): boolean {
	const lastResponseAt = state.progress.get(id)?.lastResponseAt ?? -Infinity;
	return id === state.settings.self || now - lastResponseAt < state.settings.minElectionTimeoutMs;
}

/**
Check-quorum: steps down if no quorum has responded recently by this host's monotonic clock.

Otherwise a leader that is partitioned, or that can send but not receive, would remain leader: callers would wait for
proposals that can't be committed, and the others could not elect a leader while they receive its heartbeats.
*/
export function checkQuorum(step: steps.StepContext): void {
	const {draft} = step;
	if (!members.isQuorum(draft.members, id => isRecentlyActive(draft, id, step.now))) {
		election.becomeFollower(step, draft.term, null);
	}
}

/**
Advances the commit index to the highest entry of the current term that a quorum holds durably. The leader counts its own
log only up to the last entry that its store has confirmed.
*/
export function advanceCommit(step: steps.StepContext): void {
	const {draft} = step;
	const matches = members.getVoters(draft.members)
		.map(voter => voter.id === draft.settings.self ? draft.durableIndex : draft.progress.get(voter.id)!.matchIndex)
		.toSorted((one, other) => other - one);
	const quorumIndex = matches[members.getQuorum(matches.length) - 1] ?? 0;
	if (quorumIndex > draft.commit && log.getTerm(draft, quorumIndex) === draft.term) {
		draft.commit = quorumIndex;
	}
}

/**
Starts a read round if none is in progress; reads that arrive during a round share the next one.

A read is answered only after a quorum has confirmed, since the read arrived, that this leader still leads; otherwise a
deposed leader could return stale state. Reads also wait for the leader's first commit in its term, since before that it
doesn't know which earlier entries are committed.
*/
export function advanceReads(step: steps.StepContext): void {
	finishReads(step);
	const {draft} = step;
	const canStart = draft.activeReads.length === 0 && draft.queuedReads.length > 0 && draft.commit >= draft.termStartIndex;
	if (!canStart) {
		return;
	}

	draft.readRound++;
	draft.activeReads = draft.queuedReads;
	draft.queuedReads = [];
	sending.broadcastReadRound(step);
	finishReads(step);
}

function finishReads(step: steps.StepContext): void {
	const {draft} = step;
	const isConfirmed = members.isQuorum(draft.members, id =>
		id === draft.settings.self || draft.progress.get(id)!.confirmedReadRound >= draft.readRound);
	if (!isConfirmed) {
		return;
	}

	const answer: replica.Answer = {outcome: 'done', token: {term: draft.term, index: draft.applied}};
	for (const id of draft.activeReads) {
		step.effects.push({kind: 'answer', id, answer});
	}

	draft.activeReads = [];
}

/**
Emits the committed entries in order, each exactly once, with the identifiers of the proposals that wait for them.
*/
export function applyCommitted(step: steps.StepContext): void {
	const {draft} = step;
	const entries = log.getEntries(draft, draft.applied + 1, draft.commit);
	let waiting = 0;
	for (const entry of entries) {
		const isAwaited = draft.pendingProposals[waiting]?.index === entry.index;
		applyEntry(step, entry, isAwaited ? draft.pendingProposals[waiting]!.id : null);
		waiting += isAwaited ? 1 : 0;
	}

	draft.pendingProposals = draft.pendingProposals.slice(waiting);
	draft.applied = draft.commit;
	requestSnapshot(step);
}

function applyEntry(step: steps.StepContext, entry: messages.Entry, id: string | null): void {
	const token = {term: entry.term, index: entry.index};
	if (entry.kind === 'command') {
		step.effects.push({
			kind: 'apply', token, command: entry.value, id,
		});
	} else if (id !== null) {
		step.effects.push({kind: 'answer', id, answer: {outcome: 'done', token}});
	}
}

function requestSnapshot(step: steps.StepContext): void {
	const {draft} = step;
	const threshold = Math.max(draft.settings.minCompactionBytes, draft.snapshot.bytes);
	const isDue = draft.bytesSinceSnapshot >= threshold && draft.applied > draft.snapshotRequestedIndex;
	if (!isDue) {
		return;
	}

	draft.snapshotRequestedIndex = draft.applied;
	step.effects.push({kind: 'take-snapshot', index: draft.applied});
}

/**
Compacts the log up to `index` into a snapshot, but retains some entries that followers may still need.
*/
export function compactLog(step: steps.StepContext, index: number, state: unknown, bytes: number): void {
	const {draft} = step;
	const term = log.getTerm(draft, index);
	const isUsable = index > draft.snapshot.index && index <= draft.applied && term !== undefined;
	// A state too large for one message can't become a snapshot; another one is requested after as many bytes of entries.
	draft.bytesSinceSnapshot = 0;
	if (!isUsable || bytes > constants.MAX_SNAPSHOT_BYTES) {
		return;
	}

	const {members: listed} = log.findMembers(draft, index);
	draft.snapshot = {
		index, term, members: listed, state, bytes,
	};
	step.newSnapshot = draft.snapshot;
	for (const entry of log.getEntries(draft, index + 1)) {
		draft.bytesSinceSnapshot += entry.bytes;
	}

	const baseIndex = findRetainedStart(step, index);
	const base = {index: baseIndex, term: log.getTerm(draft, baseIndex)!, members: log.findMembers(draft, baseIndex).members};
	draft.log = log.getEntries(draft, baseIndex + 1);
	draft.base = base;
}

/**
Returns the index after which entries are kept when the log is compacted up to an index: some entries, of a bounded size.
*/
function findRetainedStart({draft}: steps.StepContext, index: number): number {
	const {retainedEntries, maxRetainedBytes} = draft.settings;
	const minStart = Math.max(draft.base.index, index - retainedEntries);
	const candidates = log.getEntries(draft, minStart + 1, index);
	let bytes = 0;
	const excess = candidates.findLastIndex(entry => {
		bytes += entry.bytes;
		return bytes > maxRetainedBytes;
	});
	return minStart + excess + 1;
}
