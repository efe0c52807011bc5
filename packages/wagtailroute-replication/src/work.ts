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
export type Work = {
	readonly draft: Draft;
	readonly now: number;
	readonly random: () => number;
	readonly effects: replica.ReplicaEffect[];
	/**
	Messages that wait for everything written so far.
	*/
	readonly promises: messages.Message[];
	isHardStateChanged: boolean;
	changedFrom: number | undefined;
	newSnapshot: messages.Snapshot | undefined;
};

/**
A message without its envelope.
*/
export type Body<Sent extends messages.Message = messages.Message> = Sent extends messages.Message
	? Omit<Sent, 'group' | 'from' | 'to' | 'term'>
	: never;

/**
Opens a step.
*/
export function createWork(state: replica.Replica, circumstances: core.Circumstances): Work {
	return {
		draft: {...state, progress: new Map(state.progress)},
		now: circumstances.now,
		random: circumstances.random,
		effects: [],
		promises: [],
		isHardStateChanged: false,
		changedFrom: undefined,
		newSnapshot: undefined,
	};
}

/**
Sends at once: for messages that promise nothing about this replica's durable state.
*/
export function send(work: Work, to: members.MemberId, body: Body, term: number = work.draft.term): void {
	work.effects.push({kind: 'send', message: createMessage(work, to, body, term)});
}

/**
Sends once everything changed so far is durable.
*/
export function sendWhenDurable(work: Work, to: members.MemberId, body: Body): void {
	work.promises.push(createMessage(work, to, body, work.draft.term));
}

function createMessage(work: Work, to: members.MemberId, body: Body, term: number): messages.Message {
	const {group, self} = work.draft.settings;
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
export function replaceLog(work: Work, from: number, entries: readonly messages.Entry[]): void {
	const {draft} = work;
	utils.invariant(from > draft.commit, `entry ${from} is committed and would be replaced`);
	const kept = draft.log.slice(0, from - draft.base.index - 1);
	draft.bytesSinceSnapshot += sumBytes(entries) - sumBytes(draft.log.slice(kept.length));
	draft.log = [...kept, ...entries];
	work.changedFrom = Math.min(work.changedFrom ?? from, from);
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
export function finishWork(work: Work): core.Transition<replica.Replica, replica.ReplicaEffect> {
	const {draft} = work;
	const isChanged = work.isHardStateChanged || work.changedFrom !== undefined || work.newSnapshot !== undefined;
	if (isChanged) {
		addWrite(work);
	}

	const isDurable = draft.lastSequence === draft.persistedSequence;
	if (isDurable) {
		work.effects.push(...work.promises.map(message => ({kind: 'send', message} as const)));
	} else {
		draft.held = [...draft.held, ...work.promises.map(message => ({sequence: draft.lastSequence, message}))];
	}

	return {state: draft, effects: work.effects};
}

function addWrite(work: Work): void {
	const {draft} = work;
	const from = work.changedFrom;
	draft.lastSequence++;
	if (from !== undefined) {
		// A replaced entry is no longer the one an earlier write made durable.
		draft.durableIndex = Math.min(draft.durableIndex, from - 1);
		draft.unsynced = draft.unsynced.map(item => ({...item, lastIndex: Math.min(item.lastIndex, from - 1)}));
	}

	draft.unsynced = [...draft.unsynced, {sequence: draft.lastSequence, lastIndex: log.getLastIndex(draft)}];
	const write: replica.Write = {
		sequence: draft.lastSequence,
		term: draft.term,
		votedFor: draft.votedFor,
		commit: draft.commit,
		...(from !== undefined && {from}),
		entries: from === undefined ? [] : log.getEntries(draft, from),
		...(work.newSnapshot !== undefined && {snapshot: work.newSnapshot}),
	};
	work.effects.push({kind: 'persist', write});
}

function sumBytes(entries: readonly messages.Entry[]): number {
	let sum = 0;
	for (const entry of entries) {
		sum += entry.bytes;
	}

	return sum;
}
