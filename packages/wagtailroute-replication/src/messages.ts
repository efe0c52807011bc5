/**
Log entries and the messages between replicas. All are JSON values.
*/
import type * as members from './members.ts';

/**
`empty` opens a leader's term, `members` changes the group (its value is the list of members).
*/
export type EntryKind = 'command' | 'members' | 'empty';

/**
An entry of the log.
*/
export type Entry = {
	readonly index: number;
	readonly term: number;
	readonly kind: EntryKind;
	readonly value: unknown;
	/**
	Size of the value as JSON in bytes (in UTF-16 units, which is close enough for bounds).
	*/
	readonly bytes: number;
};

/**
The state after the entry at `index`, with the members at that place of the log.
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
Asks for a vote. `pre-vote` asks whether a vote would be given and changes nothing.
*/
export type VoteRequest = Envelope<'pre-vote' | 'vote'> & {
	readonly lastIndex: number;
	readonly lastTerm: number;
};

/**
Answers a vote request; `term` is that of the request if granted.
*/
export type VoteAnswer = Envelope<'pre-vote-answer' | 'vote-answer'> & {
	readonly granted: boolean;
};

/**
Entries after `previousIndex`, or none: a heartbeat.
*/
export type Append = Envelope<'append'> & {
	readonly previousIndex: number;
	readonly previousTerm: number;
	readonly entries: readonly Entry[];
	readonly commit: number;
	/**
	Read round of the leader; echoed in the answer.
	*/
	readonly round: number;
};

/**
Answers `append` and `install`. Sent only once everything up to `match` is durable at the sender.
*/
export type AppendAnswer = Envelope<'append-answer'> & {
	readonly accepted: boolean;
	/**
	`previousIndex` of the request.
	*/
	readonly previousIndex: number;
	/**
	Accepted: last index known to equal the leader's log. Rejected: the highest index that may still be equal.
	*/
	readonly match: number;
	readonly round: number;
};

/**
A whole snapshot for a follower whose next entry the leader no longer keeps.
*/
export type Install = Envelope<'install'> & {
	readonly snapshot: Snapshot;
	readonly round: number;
};

/**
Any message between replicas.
*/
export type Message = VoteRequest | VoteAnswer | Append | AppendAnswer | Install;
