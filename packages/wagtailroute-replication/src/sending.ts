/**
The leader's side of replication: what is sent to whom, and the start of its term.
*/
import * as constants from './constants.ts';
import * as log from './log.ts';
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';
import * as work from './work.ts';

/**
Takes the lead: an empty entry opens the term. Entries of earlier terms are committed only through it, since counting
copies of an older entry does not keep a later leader from replacing it.
*/
export function becomeLeader(step: work.Work): void {
	const {draft} = step;
	draft.role = 'leader';
	draft.leader = draft.settings.self;
	draft.votes = new Set();
	draft.progress = new Map();
	draft.readRound = 0;
	draft.termStart = log.getLastIndex(draft) + 1;
	refreshProgress(step);
	appendEntries(step, [{kind: 'empty', value: null, bytes: 0}]);
	broadcast(step);
}

/**
Appends entries to the leader's own log; they are sent by {@link broadcast}.
*/
export function appendEntries(
	step: work.Work,
	values: ReadonlyArray<Pick<messages.Entry, 'kind' | 'value' | 'bytes'>>,
): void {
	const {draft} = step;
	const first = log.getLastIndex(draft) + 1;
	const entries = values.map((value, at) => ({index: first + at, term: draft.term, ...value}));
	work.replaceLog(step, first, entries);
}

/**
Brings the table of followers in line with the members.
*/
export function refreshProgress(step: work.Work): void {
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

function createProgress(step: work.Work): replica.Progress {
	return {
		match: 0,
		next: log.getLastIndex(step.draft) + 1,
		sent: [],
		isProbing: true,
		matchAtHeartbeat: 0,
		sentCommit: 0,
		heardAt: step.now,
		snapshotSentAt: -Infinity,
		heartbeatDueAt: step.now,
		round: 0,
	};
}

/**
Sends every follower what it lacks, as far as its window allows.
*/
export function broadcast(step: work.Work): void {
	for (const id of step.draft.progress.keys()) {
		sendMissing(step, id);
	}
}

/**
Sends a message to each voter at once, so that they confirm the read round.
*/
export function broadcastRound(step: work.Work): void {
	for (const member of step.draft.members) {
		if (member.role === 'voter' && step.draft.progress.has(member.id)) {
			sendOrBeat(step, member.id);
		}
	}
}

/**
Sends heartbeats that are due.

A window without any progress since the last heartbeat was lost: it is sent anew, one message at a time. Without this a
single lost message would stall that follower for as long as the leader lives.
*/
export function sendHeartbeats(step: work.Work): void {
	const {draft} = step;
	for (const member of draft.members) {
		const dueAt = draft.progress.get(member.id)?.heartbeatDueAt ?? Infinity;
		if (dueAt <= step.now) {
			sendHeartbeat(step, member);
		}
	}
}

function sendHeartbeat(step: work.Work, member: members.Member): void {
	const {draft} = step;
	const progress = draft.progress.get(member.id)!;
	const isStalled = progress.sent.length > 0 && progress.match === progress.matchAtHeartbeat;
	draft.progress.set(member.id, {
		...progress,
		...(isStalled && {next: progress.match + 1, sent: [], isProbing: true}),
		matchAtHeartbeat: progress.match,
		heartbeatDueAt: step.now + getHeartbeatInterval(step, member),
	});
	sendOrBeat(step, member.id);
}

function getHeartbeatInterval({draft}: work.Work, member: members.Member): number {
	const {heartbeatMs, idleHeartbeatMs, learnerHeartbeatMs} = draft.settings;
	const hasConfirmed = draft.progress.get(member.id)!.match === log.getLastIndex(draft);
	const idleMs = member.role === 'voter' ? idleHeartbeatMs : learnerHeartbeatMs;
	return hasConfirmed ? idleMs : heartbeatMs;
}

/**
Tells followers of a new commit index, with entries if there are any for them.
*/
export function sendCommit(step: work.Work): void {
	for (const [id, progress] of step.draft.progress) {
		if (progress.sentCommit < step.draft.commit) {
			sendOrBeat(step, id);
		}
	}
}

function sendOrBeat(step: work.Work, id: members.MemberId): void {
	const hasSent = sendMissing(step, id);
	if (!hasSent) {
		sendEmpty(step, id);
	}
}

/**
Sends a follower what it lacks; says whether anything was sent.
*/
export function sendMissing(step: work.Work, id: members.MemberId): boolean {
	const {draft} = step;
	if (draft.progress.get(id)!.next <= draft.base.index) {
		return sendSnapshot(step, id);
	}

	let hasSent = false;
	while (hasRoom(step, id)) {
		sendBatch(step, id);
		hasSent = true;
	}

	return hasSent;
}

function hasRoom(step: work.Work, id: members.MemberId): boolean {
	const progress = step.draft.progress.get(id)!;
	const window = progress.isProbing ? 1 : constants.WINDOW_MESSAGES_MAX;
	return progress.next <= log.getLastIndex(step.draft) && progress.sent.length < window;
}

function sendBatch(step: work.Work, id: members.MemberId): void {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	const entries = cutBatch(log.getEntries(draft, progress.next, progress.next + constants.BATCH_ENTRIES_MAX - 1));
	const last = entries.at(-1)!.index;
	sendAppend(step, id, progress.next - 1, entries);
	draft.progress.set(id, {
		...progress,
		next: progress.isProbing ? progress.next : last + 1,
		sent: [...progress.sent, last],
		sentCommit: draft.commit,
		// The next heartbeat notices if this one is lost.
		heartbeatDueAt: Math.min(progress.heartbeatDueAt, step.now + draft.settings.heartbeatMs),
	});
}

function cutBatch(entries: readonly messages.Entry[]): readonly messages.Entry[] {
	let bytes = 0;
	const end = entries.findIndex((entry, at) => {
		bytes += entry.bytes;
		return at > 0 && bytes > constants.BATCH_BYTES_MAX;
	});
	return end === -1 ? entries : entries.slice(0, end);
}

function sendEmpty(step: work.Work, id: members.MemberId): void {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	sendAppend(step, id, Math.max(progress.next - 1, draft.base.index), []);
	draft.progress.set(id, {...progress, sentCommit: draft.commit});
}

function sendAppend(step: work.Work, id: members.MemberId, previousIndex: number, entries: readonly messages.Entry[]): void {
	const {draft} = step;
	work.send(step, id, {
		kind: 'append',
		previousIndex,
		previousTerm: log.getTerm(draft, previousIndex)!,
		entries,
		commit: draft.commit,
		round: draft.readRound,
	});
}

function sendSnapshot(step: work.Work, id: members.MemberId): boolean {
	const {draft} = step;
	const progress = draft.progress.get(id)!;
	if (step.now - progress.snapshotSentAt < constants.SNAPSHOT_RETRY_MS) {
		return false;
	}

	draft.progress.set(id, {...progress, snapshotSentAt: step.now, isProbing: true});
	work.send(step, id, {kind: 'install', snapshot: draft.snapshot, round: draft.readRound});
	return true;
}
