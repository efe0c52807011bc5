/**
The leader's side of replication: what is sent to whom, and the start of its term.
*/
import * as constants from './constants.ts';
import * as log from './log.ts';
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';
import * as steps from './step.ts';

/**
Takes the lead: an empty entry opens the term. Entries of earlier terms are committed only through it, since counting
copies of an older entry does not keep a later leader from replacing it.
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
Brings the table of followers in line with the members.
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
		matchIndexAtHeartbeat: 0,
		sentCommit: 0,
		lastResponseAt: step.now,
		snapshotSentAt: -Infinity,
		heartbeatDueAt: step.now,
		confirmedReadRound: 0,
	};
}

/**
Sends every follower what it lacks, as far as its window allows.
*/
export function broadcastEntries(step: steps.StepContext): void {
	for (const id of step.draft.progress.keys()) {
		sendMissingEntries(step, id);
	}
}

/**
Sends a message to each voter at once, so that they confirm the read round.
*/
export function broadcastReadRound(step: steps.StepContext): void {
	for (const member of step.draft.members) {
		if (member.role === 'voter' && step.draft.progress.has(member.id)) {
			sendEntriesOrHeartbeat(step, member.id);
		}
	}
}

/**
Sends heartbeats that are due.

A window without any progress since the last heartbeat was lost: it is sent anew, one message at a time. Without this a
single lost message would stall that follower for as long as the leader lives.
*/
export function sendHeartbeats(step: steps.StepContext): void {
	const {draft} = step;
	for (const member of draft.members) {
		const dueAt = draft.progress.get(member.id)?.heartbeatDueAt ?? Infinity;
		if (dueAt <= step.now) {
			sendHeartbeat(step, member);
		}
	}
}

function sendHeartbeat(step: steps.StepContext, member: members.Member): void {
	const {draft} = step;
	const progress = draft.progress.get(member.id)!;
	const isStalled = progress.inFlightIndexes.length > 0 && progress.matchIndex === progress.matchIndexAtHeartbeat;
	draft.progress.set(member.id, {
		...progress,
		...(isStalled && {nextIndex: progress.matchIndex + 1, inFlightIndexes: [], isProbing: true}),
		matchIndexAtHeartbeat: progress.matchIndex,
		heartbeatDueAt: step.now + getHeartbeatInterval(step, member),
	});
	sendEntriesOrHeartbeat(step, member.id);
}

function getHeartbeatInterval({draft}: steps.StepContext, member: members.Member): number {
	const {heartbeatIntervalMs, idleHeartbeatIntervalMs, learnerHeartbeatIntervalMs} = draft.settings;
	const hasConfirmed = draft.progress.get(member.id)!.matchIndex === log.getLastIndex(draft);
	const idleIntervalMs = member.role === 'voter' ? idleHeartbeatIntervalMs : learnerHeartbeatIntervalMs;
	return hasConfirmed ? idleIntervalMs : heartbeatIntervalMs;
}

/**
Tells followers of a new commit index, with entries if there are any for them.
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
Sends a follower what it lacks; says whether anything was sent.
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
		// The next heartbeat notices if this one is lost.
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

function sendEmptyAppend(step: steps.StepContext, id: members.MemberId): void {
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
	if (step.now - progress.snapshotSentAt < constants.SNAPSHOT_RETRY_MILLISECONDS) {
		return false;
	}

	draft.progress.set(id, {...progress, snapshotSentAt: step.now, isProbing: true});
	steps.send(step, id, {kind: 'install', snapshot: draft.snapshot, round: draft.readRound});
	return true;
}
