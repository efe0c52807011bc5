/**
A step in progress: a copy of the replica that the step may change, and what it collected so far.

At the end of a step its changes of the durable state become one write, and the messages that promise something (votes,
acknowledgements) wait for that write. Without this a host that crashes after an acknowledgement and before its sync
would forget an entry that the leader counted: an accepted change would be gone after the next election.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as log from './log.ts';
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/**
The replica inside a step; its progress map is a copy.
*/
export type Draft = Mutable<Omit<replica.Replica, 'progress'>> & {
	progress: Map<members.MemberId, replica.Progress>;
};

/**
A step in progress.
*/
export type StepContext = {
	readonly draft: Draft;
	readonly now: number;
	readonly random: () => number;
	readonly effects: replica.ReplicaEffect[];
	/**
	Messages that wait for everything written so far.
	*/
	readonly messagesAfterWrite: messages.Message[];
	isHardStateChanged: boolean;
	firstChangedIndex: number | undefined;
	newSnapshot: messages.Snapshot | undefined;
};

/**
A message without its envelope.
*/
export type MessageBody<Sent extends messages.Message = messages.Message> = Sent extends messages.Message
	? Omit<Sent, 'group' | 'from' | 'to' | 'term'>
	: never;

/**
Opens a step.
*/
export function startStep(state: replica.Replica, circumstances: core.Circumstances): StepContext {
	return {
		draft: {...state, progress: new Map(state.progress)},
		now: circumstances.now,
		random: circumstances.random,
		effects: [],
		messagesAfterWrite: [],
		isHardStateChanged: false,
		firstChangedIndex: undefined,
		newSnapshot: undefined,
	};
}

/**
Sends at once: for messages that promise nothing about this replica's durable state.
*/
export function send(step: StepContext, to: members.MemberId, body: MessageBody, term: number = step.draft.term): void {
	step.effects.push({kind: 'send', message: createMessage(step, to, body, term)});
}

/**
Sends once everything changed so far is durable.
*/
export function sendWhenDurable(step: StepContext, to: members.MemberId, body: MessageBody): void {
	step.messagesAfterWrite.push(createMessage(step, to, body, step.draft.term));
}

function createMessage(step: StepContext, to: members.MemberId, body: MessageBody, term: number): messages.Message {
	const {group, self} = step.draft.settings;
	return {
		...body,
		group,
		from: self,
		to,
		term,
	};
}

/**
Replaces the log from an index on.
*/
export function replaceLog(step: StepContext, from: number, entries: readonly messages.Entry[]): void {
	const {draft} = step;
	utils.invariant(from > draft.commit, `entry ${from} is committed and would be replaced`);
	const kept = draft.log.slice(0, from - draft.base.index - 1);
	draft.bytesSinceSnapshot += sumBytes(entries) - sumBytes(draft.log.slice(kept.length));
	draft.log = [...kept, ...entries];
	step.firstChangedIndex = Math.min(step.firstChangedIndex ?? from, from);
	const isMembersChanged = draft.membersIndex >= from || entries.some(entry => entry.kind === 'members');
	if (isMembersChanged) {
		refreshMembers(draft);
	}
}

/**
Takes the members from the last entry that sets them. They hold from the moment the entry is in the log, committed or
not: that is what keeps two successive quorums overlapping.
*/
export function refreshMembers(draft: Draft): void {
	const found = log.findMembers(draft, log.getLastIndex(draft));
	draft.members = found.members;
	draft.membersIndex = found.index;
}

/**
Closes a step: one write for all changes, promises held until it is durable.
*/
export function finishStep(step: StepContext): core.Transition<replica.Replica, replica.ReplicaEffect> {
	const {draft} = step;
	const isChanged = step.isHardStateChanged || step.firstChangedIndex !== undefined || step.newSnapshot !== undefined;
	if (isChanged) {
		addWrite(step);
	}

	const isDurable = draft.lastSequence === draft.persistedSequence;
	if (isDurable) {
		step.effects.push(...step.messagesAfterWrite.map(message => ({kind: 'send', message} as const)));
	} else {
		draft.pendingMessages = [...draft.pendingMessages, ...step.messagesAfterWrite.map(message => ({sequence: draft.lastSequence, message}))];
	}

	return {state: draft, effects: step.effects};
}

function addWrite(step: StepContext): void {
	const {draft} = step;
	const from = step.firstChangedIndex;
	draft.lastSequence++;
	if (from !== undefined) {
		// A replaced entry is no longer the one an earlier write made durable.
		draft.durableIndex = Math.min(draft.durableIndex, from - 1);
		draft.unsyncedWrites = draft.unsyncedWrites.map(item => ({...item, lastIndex: Math.min(item.lastIndex, from - 1)}));
	}

	draft.unsyncedWrites = [...draft.unsyncedWrites, {sequence: draft.lastSequence, lastIndex: log.getLastIndex(draft)}];
	const write: replica.Write = {
		sequence: draft.lastSequence,
		term: draft.term,
		votedFor: draft.votedFor,
		commit: draft.commit,
		...(from !== undefined && {from}),
		entries: from === undefined ? [] : log.getEntries(draft, from),
		...(step.newSnapshot !== undefined && {snapshot: step.newSnapshot}),
	};
	step.effects.push({kind: 'persist', write});
}

function sumBytes(entries: readonly messages.Entry[]): number {
	let sum = 0;
	for (const entry of entries) {
		sum += entry.bytes;
	}

	return sum;
}
