/**
Claims and settlements of idempotency keys: what hosts say to the cell about an execution, and what they are told.
*/
import {
	MAX_ANSWER_CHARACTERS,
	MAX_TOTAL_ANSWER_CHARACTERS,
	MAX_RECORDS,
	MAX_RECORDS_PER_ORGANISATION,
	RECORD_RETENTION_MILLISECONDS,
} from './constants.ts';

/**
The execution that a key names. A stored answer is only ever given for the same service, organisation, key and digest.
*/
export type RecordId = {
	readonly service: string;
	readonly organisation: string;
	readonly key: string;
};

/**
Asks to run. `attempt` is unique over the fleet and over time; asking again with the same attempt gives the same grant.
*/
export type Claim = RecordId & {
	readonly digest: string;
	readonly attempt: string;
	readonly host: string;
	readonly bootId: string;
	/**
	How long the execution may take, in ms: past it and a grace the record becomes `unknown`.
	*/
	readonly budgetMilliseconds: number;
};

/**
An answer kept for resends. The body is encoded as text by the host.
*/
export type StoredAnswer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: string;
};

/**
How an attempt ended. `ran` is said only after the whole answer; `not-run` only when the attempt has sent nothing that a
backend server may have run, and never will.
*/
export type Settlement = RecordId & {
	readonly attempt: string;
	readonly ending:
		| {readonly kind: 'ran'; readonly answer?: StoredAnswer}
		| {readonly kind: 'not-run'}
		| {readonly kind: 'unknown'};
};

/**
Answer to a claim.
*/
export type ClaimResult =
	| {readonly kind: 'granted'; readonly token: number; readonly validityMilliseconds: number}
	| {readonly kind: 'running'}
	| {readonly kind: 'ran'; readonly answer: StoredAnswer | undefined}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'mismatch'}
	| {readonly kind: 'refused'; readonly reason: ClaimRefusal};

/**
Why a claim without a record was refused: nothing was run, and the key may be claimed later.
*/
export type ClaimRefusal = 'records-full' | 'organisation-full' | 'abandoned' | 'not-held';

/**
Answer to a settlement. `stale`: the record is held by another attempt, or no longer held.
*/
export type SettlementResult =
	| {readonly kind: 'settled'; readonly isAnswerKept: boolean}
	| {readonly kind: 'stale'};

/**
One record.
*/
export type IdempotencyRecord = RecordId & {
	readonly digest: string;
	readonly attempt: string;
	readonly host: string;
	readonly bootId: string;
	readonly token: number;
	readonly state: 'running' | 'ran' | 'unknown';
	readonly answer?: StoredAnswer;
	/**
	Group time at which a running record becomes `unknown`, and at which a settled one is forgotten.
	*/
	readonly until: number;
};

/**
Bounds of the records of one cell. Times in ms of group time, lengths in characters.
*/
export type IdempotencyBounds = {
	readonly retentionMilliseconds: number;
	readonly maxRecords: number;
	readonly maxRecordsPerOrganisation: number;
	readonly maxAnswerLength: number;
	readonly maxAnswersLength: number;
};

/**
Bounds used where the settings give none.
*/
export const DEFAULT_IDEMPOTENCY_BOUNDS: IdempotencyBounds = {
	retentionMilliseconds: RECORD_RETENTION_MILLISECONDS,
	maxRecords: MAX_RECORDS,
	maxRecordsPerOrganisation: MAX_RECORDS_PER_ORGANISATION,
	maxAnswerLength: MAX_ANSWER_CHARACTERS,
	maxAnswersLength: MAX_TOTAL_ANSWER_CHARACTERS,
};
