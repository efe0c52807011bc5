/**
The state of a replica, what happens to it and what it asks to be done.

The state is immutable from the outside: a step copies what it changes.
*/
import type * as core from 'wagtailroute-core';
import type * as members from './members.ts';
import type * as messages from './messages.ts';

/**
`failed`: the store refused a write; the replica takes no further part until its process restarts.
*/
export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader' | 'failed';

/**
Settings of a replica; times in milliseconds, sizes in bytes of JSON.
*/
export type ReplicaSettings = {
	readonly group: string;
	readonly self: members.MemberId;
	readonly heartbeatIntervalMs: number;
	readonly idleHeartbeatIntervalMs: number;
	readonly learnerHeartbeatIntervalMs: number;
	readonly minElectionTimeoutMs: number;
	readonly maxElectionTimeoutMs: number;
	readonly minCompactionBytes: number;
	readonly retainedEntries: number;
	/**
	Largest command in bytes of JSON.
	*/
	readonly maxCommandBytes: number;
};

/**
What a leader knows of another member.
*/
export type Progress = {
	/**
	Last index known to be durable there and equal to the leader's.
	*/
	readonly matchIndex: number;
	readonly nextIndex: number;
	/**
	Last index of each unanswered append with entries.
	*/
	readonly inFlightIndexes: readonly number[];
	/**
	While true the place where the logs agree is unknown: one message at a time.
	*/
	readonly isProbing: boolean;
	readonly matchIndexAtHeartbeat: number;
	readonly sentCommit: number;
	readonly lastResponseAt: number;
	readonly snapshotSentAt: number;
	readonly heartbeatDueAt: number;
	/**
	Last read round it confirmed.
	*/
	readonly confirmedReadRound: number;
};

/**
The place in the log before its first entry in memory.
*/
export type LogBase = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly members.Member[];
};

/**
What a store holds for one replica.
*/
export type DurableState = {
	readonly self: members.MemberId;
	readonly term: number;
	readonly votedFor: members.MemberId | null;
	/**
	A committed index; may lag.
	*/
	readonly commit: number;
	readonly snapshot: messages.Snapshot;
	readonly entries: readonly messages.Entry[];
};

/**
A change of the durable state. With `from`, entries at and after that index are replaced by `entries`. A snapshot
replaces the entries it covers.
*/
export type Write = {
	readonly sequence: number;
	readonly term: number;
	readonly votedFor: members.MemberId | null;
	readonly commit: number;
	readonly from?: number;
	readonly entries: readonly messages.Entry[];
	readonly snapshot?: messages.Snapshot;
};

/**
A replica.
*/
export type Replica = {
	readonly settings: ReplicaSettings;
	readonly role: Role;
	readonly term: number;
	readonly votedFor: members.MemberId | null;
	readonly base: LogBase;
	readonly log: readonly messages.Entry[];
	readonly snapshot: messages.Snapshot;
	readonly commit: number;
	readonly applied: number;
	readonly members: readonly members.Member[];
	/**
	Index of the entry that set the members; the base's index if no entry in memory did.
	*/
	readonly membersIndex: number;
	readonly leader: members.MemberId | null;
	readonly lastLeaderContactAt: number;
	readonly electionDueAt: number;
	readonly votes: ReadonlySet<members.MemberId>;
	/**
	Sequence of the write that holds the candidate's vote for itself.
	*/
	readonly voteSequence: number;
	readonly lastSequence: number;
	readonly persistedSequence: number;
	readonly unsyncedWrites: ReadonlyArray<{readonly sequence: number; readonly lastIndex: number}>;
	readonly durableIndex: number;
	/**
	Messages that wait until the write of their sequence is durable.
	*/
	readonly pendingMessages: ReadonlyArray<{readonly sequence: number; readonly message: messages.Message}>;
	/**
	Index of the entry that opened the leader's term.
	*/
	readonly termStartIndex: number;
	readonly progress: ReadonlyMap<members.MemberId, Progress>;
	readonly pendingProposals: ReadonlyArray<{readonly index: number; readonly id: string}>;
	readonly readRound: number;
	readonly activeReads: readonly string[];
	readonly queuedReads: readonly string[];
	/**
	Bytes of entries after the snapshot.
	*/
	readonly bytesSinceSnapshot: number;
	/**
	Index at which the last snapshot was asked for.
	*/
	readonly snapshotRequestedIndex: number;
};

/**
Why a proposal or read was refused: it was definitely not taken.
*/
export type RefusalReason =
	| 'too-many-pending'
	| 'command-too-large'
	| 'replica-failed'
	| 'change-in-progress'
	| 'term-not-committed'
	| 'already-member'
	| 'not-a-member'
	| 'already-voter'
	| 'not-caught-up'
	| 'quorum-at-risk';

/**
What happened to a proposal, a membership change or a read. `unknown`: appended, then leadership was lost; it may or may
not be taken. `not-leader` and `refused`: definitely not taken.
*/
export type Answer =
	| {readonly outcome: 'done'; readonly token: FencingToken}
	| {readonly outcome: 'not-leader'; readonly leader: members.MemberId | null}
	| {readonly outcome: 'refused'; readonly reason: RefusalReason}
	| {readonly outcome: 'unknown'};

/**
Orders the applied changes of a group. Effects outside carry it; receivers refuse one lower than the highest they saw.
*/
export type FencingToken = {
	readonly term: number;
	readonly index: number;
};

/**
A command to propose, with an identifier unique in this process.
*/
export type Proposal = {
	readonly id: string;
	readonly command: unknown;
	readonly bytes: number;
};

/**
What can happen to a replica.
*/
export type ReplicaEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'receive'; readonly message: messages.Message}
	| {readonly kind: 'persisted'; readonly sequence: number}
	| {readonly kind: 'persist-failed'}
	| {readonly kind: 'propose'; readonly proposals: readonly Proposal[]}
	| {readonly kind: 'read'; readonly ids: readonly string[]}
	| {readonly kind: 'change-members'; readonly id: string; readonly change: members.MembershipChange}
	| {readonly kind: 'create-group'; readonly members: readonly members.Member[]}
	| {readonly kind: 'snapshot-taken'; readonly index: number; readonly state: unknown; readonly bytes: number};

/**
What a replica asks to be done, in order. `take-snapshot` is answered by `snapshot-taken` right away, before anything
else is applied.
*/
export type ReplicaEffect =
	| {readonly kind: 'send'; readonly message: messages.Message}
	| {readonly kind: 'persist'; readonly write: Write}
	| {readonly kind: 'apply'; readonly token: FencingToken; readonly command: unknown; readonly id: string | null}
	| {readonly kind: 'restore'; readonly snapshot: messages.Snapshot}
	| {readonly kind: 'answer'; readonly id: string; readonly answer: Answer}
	| {readonly kind: 'take-snapshot'; readonly index: number}
	| {readonly kind: 'stopped'};

/**
The step function of a replica.
*/
export type ReplicaStep = core.Step<Replica, ReplicaEvent, ReplicaEffect>;
