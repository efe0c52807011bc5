/**
The leader's side of replication: the start of its term, and the messages to its followers.
*/
import * as constants from './constants.ts';
import * as log from './log.ts';
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';
import * as steps from './step.ts';

/**
Becomes leader and appends an empty entry of the new term. Entries of earlier terms are committed only through an entry of this
term, since a later leader may still replace an older entry that a quorum holds.
*/
export function becomeLeader(step: steps.StepContext): void {
	const {draft} = step;
	draft.role = 'leader';
	draft.leader = draft.settings.self;
	draft.votes = new Set();
	draft.progress = new Map();
	draft.readRound = 0;
	draft.termStartIndex = log.getLastIndex(draft) + 1;
	refreshProgress(step);
	appendEntries(step, [{kind: 'empty', value: null, bytes: 0}]);
	broadcastEntries(step);
}

/**
Appends entries to the leader's own log; they are sent by {@link broadcastEntries}.
*/
export function appendEntries(
	step: steps.StepContext,
	values: ReadonlyArray<Pick<messages.Entry, 'kind' | 'value' | 'bytes'>>,
): void {
	const {draft} = step;
	const first = log.getLastIndex(draft) + 1;
	const entries = values.map((value, at) => ({index: first + at, term: draft.term, ...value}));
	steps.replaceLog(step, first, entries);
}

/**
Updates the table of followers after a change of the members.
*/
export function refreshProgress(step: steps.StepContext): void {
	const {draft} = step;
	const others = new Set(draft.members.map(member => member.id).filter(id => id !== draft.settings.self));
	for (const id of draft.progress.keys()) {
		if (!others.has(id)) {
			draft.progress.delete(id);
		}
	}

	for (const id of others) {
		if (!draft.progress.has(id)) {
			draft.progress.set(id, createProgress(step));
		}
	}
}

function createProgress(step: steps.StepContext): replica.Progress {
	return {
		matchIndex: 0,
		nextIndex: log.getLastIndex(step.draft) + 1,
		inFlightIndexes: [],
		isProbing: true,
		sentCommit: 0,
		lastResponseAt: step.now,
		snapshotSentAt: -Infinity,
		heartbeatDueAt: step.now,
		confirmedReadRound: 0,
	};
}

/**
Sends each follower the entries it lacks, within its window.
*/
export function broadcastEntries(step: steps.StepContext): void {
	for (const id of step.draft.progress.keys()) {
		sendMissingEntries(step, id);
	}
}

/**
Sends a message to each voter at once, so that the voters confirm the read round.
*/
export function broadcastReadRound(step: steps.StepContext): void {
	for (const member of step.draft.members) {
		if (member.role === 'voter' && step.draft.progress.has(member.id)) {
			sendEntriesOrHeartbeat(step, member.id);
		}
	}
}

/**
Sends the heartbeats that are due.

Links deliver in order, so a heartbeat also finds out whether the entries sent before it were lost: it names the last of them as its predecessor, and the follower rejects it
if it lacks that one. No answer means that the follower is slow. Entries are therefore never resent on a timer: a large one would be sent again and again to followers
that still receive or write it, and each copy would delay the next.
*/
export function sendHeartbeats(step: steps.StepContext): void {
	const {draft} = step;
	for (const member of draft.members) {
		const progress = draft.progress.get(member.id);
		if (progress === undefined || !(progress.heartbeatDueAt <= step.now)) {
			continue;
		}

		draft.progress.set(member.id, {...progress, heartbeatDueAt: step.now + getHeartbeatInterval(step, member)});
		sendEntriesOrHeartbeat(step, member.id);
	}
}

function getHeartbeatInterval({draft}: steps.StepContext, member: members.Member): number {
	const {heartbeatIntervalMs, idleHeartbeatIntervalMs, learnerHeartbeatIntervalMs} = draft.settings;
	const hasConfirmed = draft.progress.get(member.id)!.matchIndex === log.getLastIndex(draft);
	const idleIntervalMs = member.role === 'voter' ? idleHeartbeatIntervalMs : learnerHeartbeatIntervalMs;
	return hasConfirmed ? idleIntervalMs : heartbeatIntervalMs;
}

/**
Sends a new commit index to the followers, with the entries that they lack, if any.
*/
export function broadcastCommit(step: steps.StepContext): void {
	for (const [id, progress] of step.draft.progress) {
		if (progress.sentCommit < step.draft.commit) {
			sendEntriesOrHeartbeat(step, id);
		}
	}
}

function sendEntriesOrHeartbeat(step: steps.StepContext, id: members.MemberId): void {
	const hasSent = sendMissingEntries(step, id);
	if (!hasSent) {
		sendEmptyAppend(step, id);
	}
}

/**
Sends a follower the entries it lacks, or a snapshot; returns whether anything was sent.
*/
export function sendMissingEntries(step: steps.StepContext, id: members.MemberId): boolean {
	const {draft} = step;
	if (draft.progress.get(id)!.nextIndex <= draft.base.index) {
		return sendSnapshot(step, id);
	}

	let hasSent = false;
	while (hasWindowRoom(step, id)) {
		sendBatch(step, id);
		hasSent = true;
	}

	return hasSent;
}

function hasWindowRoom(step: steps.StepContext, id: members.MemberId): boolean {
	const progress = step.draft.progress.get(id)!;
	const window = progress.isProbing ? 1 : constants.MAX_WINDOW_MESSAGES;
	return progress.nextIndex <= log.getLastIndex(step.draft) && progress.inFlightIndexes.length < window;
}

function sendBatch(step: steps.StepContext, id: members.MemberId): void {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	const entries = limitBatch(log.getEntries(draft, progress.nextIndex, progress.nextIndex + constants.MAX_BATCH_ENTRIES - 1));
	const last = entries.at(-1)!.index;
	sendAppend(step, id, progress.nextIndex - 1, entries);
	draft.progress.set(id, {
		...progress,
		nextIndex: progress.isProbing ? progress.nextIndex : last + 1,
		inFlightIndexes: [...progress.inFlightIndexes, last],
		sentCommit: draft.commit,
		// Ensures that a loss of this message is detected by a timely heartbeat.
		heartbeatDueAt: Math.min(progress.heartbeatDueAt, step.now + draft.settings.heartbeatIntervalMs),
	});
}

function limitBatch(entries: readonly messages.Entry[]): readonly messages.Entry[] {
	let bytes = 0;
	const end = entries.findIndex((entry, at) => {
		bytes += entry.bytes;
		return at > 0 && bytes > constants.MAX_BATCH_BYTES;
	});
	return end === -1 ? entries : entries.slice(0, end);
}

/**
Sends a heartbeat that names the last entry sent as its predecessor.
*/
export function sendEmptyAppend(step: steps.StepContext, id: members.MemberId): void {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	sendAppend(step, id, Math.max(progress.nextIndex - 1, draft.base.index), []);
	draft.progress.set(id, {...progress, sentCommit: draft.commit});
}

function sendAppend(step: steps.StepContext, id: members.MemberId, previousIndex: number, entries: readonly messages.Entry[]): void {
	const {draft} = step;
	steps.send(step, id, {
		kind: 'append',
		previousIndex,
		previousTerm: log.getTerm(draft, previousIndex)!,
		entries,
		commit: draft.commit,
		round: draft.readRound,
	});
}

function sendSnapshot(step: steps.StepContext, id: members.MemberId): boolean {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	// A follower that still receives or installs the snapshot does not answer.
	if (progress.lastResponseAt - progress.snapshotSentAt < constants.SNAPSHOT_RETRY_MILLISECONDS) {
		return false;
	}

	draft.progress.set(id, {...progress, snapshotSentAt: step.now, isProbing: true});
	steps.send(step, id, {kind: 'install', snapshot: draft.snapshot, round: draft.readRound});
	return true;
}
