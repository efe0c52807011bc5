/**
The state of a replica, its events and its effects.

The state is immutable; a step returns a modified copy.
*/
import type * as core from 'wagtailroute-core';
import type * as members from './members.ts';
import type * as messages from './messages.ts';

/**
`failed`: a write to the store failed; the replica is stopped until its process restarts.
*/
export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader' | 'failed';

/**
Settings of a replica; sizes are in bytes of JSON. The module `constants` describes the defaults.
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
	/**
	Number of entries kept in memory after a compaction.
	*/
	readonly retainedEntries: number;
	/**
	Size of these entries at most.
	*/
	readonly maxRetainedBytes: number;
	readonly maxCommandBytes: number;
};

/**
A leader's view of another member.
*/
export type Progress = {
	/**
	Last index at which the member's log is known to match the leader's and to be durable.
	*/
	readonly matchIndex: number;
	/**
	Index of the next entry to send.
	*/
	readonly nextIndex: number;
	/**
	Last index of each unacknowledged append message with entries.
	*/
	readonly inFlightIndexes: readonly number[];
	/**
	True while it is unknown where the logs match; only one message is in flight then.
	*/
	readonly isProbing: boolean;
	/**
	Last commit index sent.
	*/
	readonly sentCommit: number;
	readonly lastResponseAt: number;
	readonly snapshotSentAt: number;
	readonly heartbeatDueAt: number;
	/**
	Last read round that the member has confirmed.
	*/
	readonly confirmedReadRound: number;
};

/**
Position of the entry before the first one in memory, with the members in force there.
*/
export type LogBase = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly members.Member[];
};

/**
The state of a replica that its store persists.
*/
export type DurableState = {
	readonly self: members.MemberId;
	readonly term: number;
	readonly votedFor: members.MemberId | null;
	/**
	An index known to be committed; may lag behind.
	*/
	readonly commit: number;
	readonly snapshot: messages.Snapshot;
	readonly entries: readonly messages.Entry[];
};

/**
A change of the durable state. With `from`, the entries at and after that index are replaced by `entries`. A snapshot
replaces the entries it covers. `sequence` numbers the writes of a process.
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
The state of a replica. `commit` and `applied` are log indexes; times are monotonic, in milliseconds.
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
	Index of the entry that set the current members; that of the base if no entry in memory did.
	*/
	readonly membersIndex: number;
	readonly leader: members.MemberId | null;
	readonly lastLeaderContactAt: number;
	readonly electionDueAt: number;
	readonly votes: ReadonlySet<members.MemberId>;
	/**
	Sequence of the write that contains the candidate's vote for itself.
	*/
	readonly voteSequence: number;
	/**
	Sequence of the last write issued.
	*/
	readonly lastSequence: number;
	/**
	Sequence of the last write known to be durable.
	*/
	readonly persistedSequence: number;
	readonly unsyncedWrites: ReadonlyArray<{readonly sequence: number; readonly lastIndex: number}>;
	/**
	Index of the last entry known to be durable on this host.
	*/
	readonly durableIndex: number;
	/**
	Messages to send once the write of the given sequence is durable.
	*/
	readonly pendingMessages: ReadonlyArray<{readonly sequence: number; readonly message: messages.Message}>;
	/**
	Index of the first entry of the leader's term.
	*/
	readonly termStartIndex: number;
	readonly progress: ReadonlyMap<members.MemberId, Progress>;
	/**
	Proposals and membership changes that are appended but not yet committed.
	*/
	readonly pendingProposals: ReadonlyArray<{readonly index: number; readonly id: string}>;
	readonly readRound: number;
	/**
	Identifiers of the reads in the current round.
	*/
	readonly activeReads: readonly string[];
	/**
	Identifiers of the reads that wait for the next round.
	*/
	readonly queuedReads: readonly string[];
	/**
	Size of the entries after the snapshot, in bytes of JSON.
	*/
	readonly bytesSinceSnapshot: number;
	/**
	Index at which the last snapshot was requested.
	*/
	readonly snapshotRequestedIndex: number;
};

/**
Why a request was refused. A refused request had no effect.
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
The outcome of a proposal, a membership change or a read. `unknown`: leadership was lost after the entry was appended, so it
may or may not be committed. `not-leader` and `refused`: the request had no effect.
*/
export type Answer =
	| {readonly outcome: 'done'; readonly token: FencingToken}
	| {readonly outcome: 'not-leader'; readonly leader: members.MemberId | null}
	| {readonly outcome: 'refused'; readonly reason: RefusalReason}
	| {readonly outcome: 'unknown'};

/**
Orders the commands of a group. External effects carry it; a receiver refuses a token lower than the highest it has seen.
*/
export type FencingToken = {
	readonly term: number;
	readonly index: number;
};

/**
A command to propose; `id` is unique in this process, `bytes` is the size of the command as JSON.
*/
export type Proposal = {
	readonly id: string;
	readonly command: unknown;
	readonly bytes: number;
};

/**
Input of a step.
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
Output of a step, to be carried out in order. `take-snapshot` has to be answered by the event `snapshot-taken` before any other
command is applied.
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
