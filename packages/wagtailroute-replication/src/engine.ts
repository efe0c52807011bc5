/**
The replication engine: a Raft replica as a pure state machine.

Each event is dispatched to its handler; then, in a fixed order, the leader advances its commit index, committed entries are
applied, reads are answered, and all changes of the durable state become one write.
*/
import type * as core from 'wagtailroute-core';
import * as committing from './committing.ts';
import * as constants from './constants.ts';
import * as election from './election.ts';
import * as log from './log.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import * as receiving from './receiving.ts';
import type * as replica from './replica.ts';
import * as requests from './requests.ts';
import * as sending from './sending.ts';
import * as steps from './step.ts';

/**
Returns settings with defaults for those not given.
*/
export function createSettings(
	settings: Pick<replica.ReplicaSettings, 'group' | 'self'> & Partial<replica.ReplicaSettings>,
): replica.ReplicaSettings {
	return {
		heartbeatIntervalMs: constants.HEARTBEAT_INTERVAL_MILLISECONDS,
		idleHeartbeatIntervalMs: constants.IDLE_HEARTBEAT_INTERVAL_MILLISECONDS,
		learnerHeartbeatIntervalMs: constants.LEARNER_HEARTBEAT_INTERVAL_MILLISECONDS,
		minElectionTimeoutMs: constants.MIN_ELECTION_TIMEOUT_MILLISECONDS,
		maxElectionTimeoutMs: constants.MAX_ELECTION_TIMEOUT_MILLISECONDS,
		minCompactionBytes: constants.MIN_COMPACTION_BYTES,
		retainedEntries: constants.RETAINED_ENTRIES,
		maxRetainedBytes: constants.MAX_RETAINED_BYTES,
		maxCommandBytes: constants.MAX_COMMAND_BYTES,
		...settings,
	};
}

/**
Returns the durable state of a new member. `initialMembers` is empty for a host that will join or bootstrap a group; otherwise
all the listed members must start with the same list.
*/
export function createDurableState(self: members.MemberId, initialMembers: readonly members.Member[]): replica.DurableState {
	return {
		self,
		term: 0,
		votedFor: null,
		commit: 0,
		snapshot: {
			index: 0, term: 0, members: initialMembers, state: null, bytes: 0,
		},
		entries: [],
	};
}

/**
Creates a replica from its stored state. Before the first step, the caller has to restore the state machine from the snapshot
if its index is above 0; the first step emits the entries known to be committed.
*/
export function createReplica(
	settings: replica.ReplicaSettings,
	restored: replica.DurableState,
	circumstances: core.Circumstances,
): replica.Replica {
	const {snapshot, entries} = restored;
	const base = {index: snapshot.index, term: snapshot.term, members: snapshot.members};
	const listed = log.findMembers({base, log: entries}, snapshot.index + entries.length);
	const initial: replica.Replica = {
		settings,
		role: 'follower',
		term: restored.term,
		votedFor: restored.votedFor,
		base,
		log: entries,
		snapshot,
		commit: Math.min(Math.max(restored.commit, snapshot.index), snapshot.index + entries.length),
		applied: snapshot.index,
		members: listed.members,
		membersIndex: listed.index,
		leader: null,
		lastLeaderContactAt: -Infinity,
		electionDueAt: 0,
		votes: new Set(),
		voteSequence: 0,
		lastSequence: 0,
		persistedSequence: 0,
		unsyncedWrites: [],
		durableIndex: snapshot.index + entries.length,
		pendingMessages: [],
		termStartIndex: 0,
		progress: new Map(),
		pendingProposals: [],
		readRound: 0,
		activeReads: [],
		queuedReads: [],
		bytesSinceSnapshot: entries.reduce((sum, entry) => sum + entry.bytes, 0),
		snapshotRequestedIndex: snapshot.index,
	};
	const step = steps.startStep(initial, circumstances);
	election.resetElectionTimer(step);
	return step.draft;
}

type Handlers = {
	readonly [Kind in replica.ReplicaEvent['kind']]: (
		step: steps.StepContext,
		event: Extract<replica.ReplicaEvent, {kind: Kind}>,
	) => void;
};

const HANDLERS: Handlers = {
	tick,
	receive(step, {message}) {
		receive(step, message);
	},
	persisted(step, {sequence}) {
		recordPersisted(step, sequence);
	},
	'persist-failed': stop,
	propose(step, {proposals}) {
		requests.propose(step, proposals);
	},
	read(step, {ids}) {
		requests.queueReads(step, ids);
	},
	'change-members'(step, {id, change}) {
		requests.requestMembershipChange(step, id, change);
	},
	'create-group'(step, {members: first}) {
		requests.bootstrapGroup(step, first);
	},
	'snapshot-taken'(step, {index, state, bytes}) {
		committing.compactLog(step, index, state, bytes);
	},
};

/**
Events that are still answered after a store failure.
*/
const ANSWERED_WHEN_FAILED: ReadonlySet<replica.ReplicaEvent['kind']> = new Set(['propose', 'read', 'change-members']);

/**
Handles one event and returns the new state with its effects.
*/
export const stepReplica: replica.ReplicaStep = (state, event, circumstances) => {
	if (state.role === 'failed' && !ANSWERED_WHEN_FAILED.has(event.kind)) {
		return {state, effects: []};
	}

	const step = steps.startStep(state, circumstances);
	HANDLERS[event.kind](step, event as never);
	advanceReplica(step);
	return steps.finishStep(step);
};

function advanceReplica(step: steps.StepContext): void {
	const {draft} = step;
	if (draft.role === 'failed') {
		return;
	}

	if (draft.role === 'leader') {
		committing.advanceCommit(step);
		sending.broadcastCommit(step);
	}

	committing.applyCommitted(step);
	if (draft.role !== 'leader') {
		return;
	}

	committing.advanceReads(step);
	stepDownIfRemoved(step);
}

/**
A leader steps down once its own removal is committed.
*/
function stepDownIfRemoved(step: steps.StepContext): void {
	const {draft} = step;
	const isRemoved = !members.isVoter(draft.members, draft.settings.self) && draft.membersIndex <= draft.commit;
	if (isRemoved) {
		election.becomeFollower(step, draft.term, null);
	}
}

function tick(step: steps.StepContext): void {
	const {draft} = step;
	if (draft.role === 'leader') {
		committing.checkQuorum(step);
	}

	if (draft.role === 'leader') {
		sending.sendHeartbeats(step);
	} else if (draft.electionDueAt <= step.now) {
		election.startPreVote(step);
	}
}

/**
Returns whether this replica has never been a member of a group.
*/
export function isEmpty(state: replica.Replica): boolean {
	return log.getLastIndex(state) === 0 && state.members.length === 0;
}

/**
Returns the monotonic time in milliseconds of the next tick; `Infinity` for a leader without other members.
*/
export function getNextTick(state: replica.Replica): number {
	return state.role === 'leader' ? Math.min(...state.progress.values().map(progress => progress.heartbeatDueAt)) : state.electionDueAt;
}

type MessageHandlers = {
	readonly [Kind in messages.Message['kind']]: (
		step: steps.StepContext,
		message: Extract<messages.Message, {kind: Kind}>,
	) => void;
};

const MESSAGE_HANDLERS: MessageHandlers = {
	'pre-vote': election.receivePreVote,
	'pre-vote-answer': election.receivePreVoteAnswer,
	vote: election.receiveVote,
	'vote-answer': election.receiveVoteAnswer,
	append: receiving.receiveAppend,
	'append-answer': committing.receiveAppendAnswer,
	install: receiving.receiveInstall,
};

/**
Pre-votes carry the term of a possible election, which doesn't change the receiver's term.
*/
const TERM_INDEPENDENT_KINDS: ReadonlySet<messages.Message['kind']> = new Set(['pre-vote', 'pre-vote-answer']);
const LEADER_KINDS: ReadonlySet<messages.Message['kind']> = new Set(['append', 'install']);

function receive(step: steps.StepContext, message: messages.Message): void {
	const {draft} = step;
	const {group, self} = draft.settings;
	// A message to an earlier incarnation of this host is not for this member.
	const isAddressedHere = message.group === group && message.to === self;
	const isIgnoredVote = message.kind === 'vote' && election.isLeaderLive(step);
	if (!isAddressedHere || isIgnoredVote) {
		return;
	}

	if (TERM_INDEPENDENT_KINDS.has(message.kind)) {
		MESSAGE_HANDLERS[message.kind](step, message as never);
		return;
	}

	if (message.term < draft.term) {
		rejectStale(step, message);
		return;
	}

	if (message.term > draft.term) {
		election.becomeFollower(step, message.term, null);
	}

	MESSAGE_HANDLERS[message.kind](step, message as never);
}

/**
Reports the newer term to a leader of an older one, so that it steps down. Other messages of an older term are dropped.
*/
function rejectStale(step: steps.StepContext, message: messages.Message): void {
	if (LEADER_KINDS.has(message.kind)) {
		steps.sendWhenDurable(step, message.from, {
			kind: 'append-answer', accepted: false, previousIndex: 0, match: 0, round: 0,
		});
	}
}

function recordPersisted(step: steps.StepContext, sequence: number): void {
	const {draft} = step;
	draft.persistedSequence = Math.max(draft.persistedSequence, sequence);
	const synced = draft.unsyncedWrites.filter(item => item.sequence <= sequence);
	draft.unsyncedWrites = draft.unsyncedWrites.filter(item => item.sequence > sequence);
	draft.durableIndex = Math.max(draft.durableIndex, synced.at(-1)?.lastIndex ?? 0);
	const released = draft.pendingMessages.filter(item => item.sequence <= sequence);
	draft.pendingMessages = draft.pendingMessages.filter(item => item.sequence > sequence);
	step.effects.push(...released.map(({message}) => ({kind: 'send', message} as const)));
	if (draft.role === 'candidate' && draft.voteSequence <= sequence) {
		election.countVote(step, draft.settings.self);
	}
}

/**
Stops permanently. After a failed sync the contents of the disk are unknown, and a second sync may succeed although dirty
pages were dropped; a replica that continued could acknowledge entries that are not on disk.
*/
function stop(step: steps.StepContext): void {
	const {draft} = step;
	election.abandonRequests(step, null);
	draft.role = 'failed';
	draft.leader = null;
	draft.pendingMessages = [];
	step.effects.push({kind: 'stopped'});
}
