/**
Log entries and the messages between replicas. All are JSON values; log entries are also stored on disk.
*/
import type * as members from './members.ts';

/**
`empty`: the first entry of a leader's term. `members`: a membership change; its value is the new list of members.
*/
export type EntryKind = 'command' | 'members' | 'empty';

/**
An entry of the replicated log; indexes start at 1.
*/
export type Entry = {
	readonly index: number;
	readonly term: number;
	readonly kind: EntryKind;
	readonly value: unknown;
	/**
	Size of the value as JSON, counted in UTF-16 units; used for limits only.
	*/
	readonly bytes: number;
};

/**
The state machine's state after the entry at `index`, with the members in force at that index.
*/
export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly members.Member[];
	readonly state: unknown;
	readonly bytes: number;
};

type Envelope<Kind extends string> = {
	readonly kind: Kind;
	readonly group: string;
	readonly from: members.MemberId;
	readonly to: members.MemberId;
	readonly term: number;
};

/**
Requests a vote. `pre-vote` asks whether the receiver would grant one and changes no state.
*/
export type VoteRequest = Envelope<'pre-vote' | 'vote'> & {
	readonly lastIndex: number;
	readonly lastTerm: number;
};

/**
Response to a vote request; if granted, `term` is that of the request.
*/
export type VoteAnswer = Envelope<'pre-vote-answer' | 'vote-answer'> & {
	readonly granted: boolean;
};

/**
Entries that follow `previousIndex`; a heartbeat if there are none.
*/
export type Append = Envelope<'append'> & {
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly Entry[];
	readonly commit: number;
	/**
	The leader's read round, echoed in the response.
	*/
	readonly round: number;
};

/**
Response to `append` and `install`, sent once all entries up to `match` are durable on the sender.
*/
export type AppendAnswer = Envelope<'append-answer'> & {
	readonly accepted: boolean;
	/**
	`previousIndex` of the request.
	*/
	readonly previousIndex: number;
	/**
	If accepted, the last index known to match the leader's log; if rejected, the highest index that may match.
	*/
	readonly match: number;
	readonly round: number;
};

/**
A snapshot for a follower whose next entry the leader has already compacted.
*/
export type Install = Envelope<'install'> & {
	readonly snapshot: Snapshot;
	readonly round: number;
};

/**
Any message between replicas.
*/
export type Message = VoteRequest | VoteAnswer | Append | AppendAnswer | Install;
