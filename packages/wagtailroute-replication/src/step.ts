/**
The context of a step: a mutable draft of the replica, and the effects collected so far.

At the end of a step, all changes of the durable state become one write; votes and acknowledgements are sent only once that
write is durable. Otherwise a host that crashes between an acknowledgement and its sync would lose an entry that the leader
has counted, and a committed entry could be missing after the next election.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import * as log from './log.ts';
import type * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as replica from './replica.ts';

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/**
A mutable copy of the replica; its progress map is copied too.
*/
export type Draft = Mutable<Omit<replica.Replica, 'progress'>> & {
	progress: Map<members.MemberId, replica.Progress>;
};

/**
The draft, the inputs and the effects of one step.
*/
export type StepContext = {
	readonly draft: Draft;
	readonly now: number;
	readonly random: () => number;
	readonly effects: replica.ReplicaEffect[];
	/**
	Messages to send once all changes made so far are durable.
	*/
	readonly messagesAfterWrite: messages.Message[];
	/**
	Whether the term or the vote changed.
	*/
	isHardStateChanged: boolean;
	/**
	Index from which on the log was replaced.
	*/
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
Creates the context of a step on a replica, which itself stays unchanged.
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
Sends a message at once; only for messages that don't depend on this replica's durable state.
*/
export function send(step: StepContext, to: members.MemberId, body: MessageBody, term: number = step.draft.term): void {
	step.effects.push({kind: 'send', message: createMessage(step, to, body, term)});
}

/**
Sends a message once all changes made so far are durable.
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
Replaces the entries of the log at and after an index.
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
Sets the members from the last entry that changes them. They are in force as soon as the entry is in the log, committed or
not, so that the quorums before and after a change overlap.
*/
export function refreshMembers(draft: Draft): void {
	const found = log.findMembers(draft, log.getLastIndex(draft));
	draft.members = found.members;
	draft.membersIndex = found.index;
}

/**
Ends a step: combines all changes into one write and holds back the messages that depend on it.
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
		// Earlier writes made the replaced entries durable, not the new ones.
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
