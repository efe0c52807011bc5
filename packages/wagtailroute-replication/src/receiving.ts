/**
The follower's side of replication: append messages and snapshots.
*/
import * as election from './election.ts';
import * as log from './log.ts';
import type * as messages from './messages.ts';
import * as steps from './step.ts';

function followLeader(step: steps.StepContext, message: messages.Message): void {
	const {draft} = step;
	if (draft.role === 'follower') {
		election.resetElectionTimer(step);
	} else {
		election.becomeFollower(step, message.term, message.from);
	}

	draft.leader = message.from;
	draft.lastLeaderContactAt = step.now;
}

/**
Appends entries that continue this log, and responds once they are durable. Rejects entries whose predecessor doesn't match.
*/
export function receiveAppend(step: steps.StepContext, message: messages.Append): void {
	const {draft} = step;
	followLeader(step, message);
	const {previousIndex, previousTerm, round} = message;
	const isConsistent = previousIndex <= draft.commit || log.getTerm(draft, previousIndex) === previousTerm;
	if (!isConsistent) {
		const match = findPossibleMatch(step, previousIndex);
		steps.sendWhenDurable(step, message.from, {
			kind: 'append-answer', accepted: false, previousIndex, match, round,
		});
		return;
	}

	appendMissingEntries(step, message.entries);
	const match = previousIndex + message.entries.length;
	draft.commit = Math.max(draft.commit, Math.min(message.commit, match));
	steps.sendWhenDurable(step, message.from, {
		kind: 'append-answer', accepted: true, previousIndex, match, round,
	});
}

/**
Replaces the log from the first entry that differs. Matching entries are kept, since a late or reordered message must not
truncate later entries that were acknowledged.
*/
function appendMissingEntries(step: steps.StepContext, entries: readonly messages.Entry[]): void {
	const {draft} = step;
	const first = entries.findIndex(entry => entry.index > draft.commit && log.getTerm(draft, entry.index) !== entry.term);
	if (first !== -1) {
		steps.replaceLog(step, entries[first]!.index, entries.slice(first));
	}
}

/**
Returns the highest index at which the leader's log may match. Skips a whole conflicting term per round trip.
*/
function findPossibleMatch(step: steps.StepContext, previousIndex: number): number {
	const {draft} = step;
	if (previousIndex > log.getLastIndex(draft)) {
		return log.getLastIndex(draft);
	}

	const conflicting = log.getTerm(draft, previousIndex);
	let index = previousIndex - 1;
	while (index > draft.commit && log.getTerm(draft, index) === conflicting) {
		index--;
	}

	return index;
}

/**
Installs a snapshot. Later entries of the log are kept only if the log contains the snapshot's last entry.
*/
export function receiveInstall(step: steps.StepContext, message: messages.Install): void {
	const {draft} = step;
	const {snapshot, round} = message;
	followLeader(step, message);
	if (snapshot.index > draft.commit) {
		installSnapshot(step, snapshot);
	}

	steps.sendWhenDurable(step, message.from, {
		kind: 'append-answer', accepted: true, previousIndex: snapshot.index, match: snapshot.index, round,
	});
}

function installSnapshot(step: steps.StepContext, snapshot: messages.Snapshot): void {
	const {draft} = step;
	const isConsistent = log.getTerm(draft, snapshot.index) === snapshot.term;
	const retained = isConsistent ? log.getEntries(draft, snapshot.index + 1) : [];
	draft.log = retained;
	draft.base = {index: snapshot.index, term: snapshot.term, members: snapshot.members};
	draft.snapshot = snapshot;
	draft.bytesSinceSnapshot = 0;
	draft.snapshotRequestedIndex = snapshot.index;
	draft.commit = snapshot.index;
	draft.applied = snapshot.index;
	steps.refreshMembers(draft);
	step.newSnapshot = snapshot;
	step.firstChangedIndex = snapshot.index + 1;
	step.effects.push({kind: 'restore', snapshot});
}
