/**
Claims and settlements of idempotency keys: the payloads that hosts propose to the replica group, their results, and the
stored records.
*/
import {
	MAX_ANSWER_CHARACTERS,
	MAX_RECORDS,
	MAX_RECORDS_PER_ORGANISATION,
	MAX_TOTAL_ANSWER_CHARACTERS,
	RECORD_RETENTION_MILLISECONDS,
} from './constants.ts';

/**
Identifies a record. A stored answer is returned only for the same service, organisation, key and digest.
*/
export type RecordId = {
	readonly service: string;
	readonly organisation: string;
	readonly key: string;
};

/**
Requests permission to send a request. `attempt` is unique across the fleet and over time; a repeated claim with the same
attempt returns the same grant. `bootId` identifies the process of the host.
*/
export type Claim = RecordId & {
	readonly digest: string;
	readonly attempt: string;
	readonly host: string;
	readonly bootId: string;
	/**
	The longest that the execution may take, in ms. The record becomes `unknown` when this time, the claim's validity and a
	grace period have passed.
	*/
	readonly budgetMilliseconds: number;
};

/**
An answer that is stored for resends of the request. The host encodes the body as text.
*/
export type StoredAnswer = {
	readonly status: number;
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: string;
};

/**
How an attempt ended. `ran` requires the complete answer. `not-run` requires that the attempt has sent nothing that a
backend server may have run, and that it will send nothing later.
*/
export type Settlement = RecordId & {
	readonly attempt: string;
	readonly ending:
		| {readonly kind: 'ran'; readonly answer?: StoredAnswer}
		| {readonly kind: 'not-run'}
		| {readonly kind: 'unknown'};
};

/**
Result of a claim. `running`, `ran` and `unknown` are states of an existing record, and `mismatch` means that its digest
differs. `validityMilliseconds` is explained at `CLAIM_VALIDITY_MILLISECONDS`.
*/
export type ClaimResult =
	| {readonly kind: 'granted'; readonly token: number; readonly validityMilliseconds: number}
	| {readonly kind: 'running'}
	| {readonly kind: 'ran'; readonly answer: StoredAnswer | undefined}
	| {readonly kind: 'unknown'}
	| {readonly kind: 'mismatch'}
	| {readonly kind: 'refused'; readonly reason: ClaimRefusal};

/**
Why a claim of a key without a record was refused. Nothing was run, and the key may be claimed later.
*/
export type ClaimRefusal = 'records-full' | 'organisation-full' | 'abandoned' | 'not-held';

/**
Result of a settlement. `stale`: another attempt holds the record, or there is no record.
*/
export type SettlementResult =
	| {readonly kind: 'settled'; readonly isAnswerKept: boolean}
	| {readonly kind: 'stale'};

/**
The record of one idempotency key. `token` increases with each grant of the replica group.
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
	Group time at which a running record becomes `unknown`, or a settled record is deleted.
	*/
	readonly until: number;
};

/**
Bounds of the records of one replica group. Times in ms of group time, lengths in characters.
*/
export type IdempotencyBounds = {
	readonly retentionMilliseconds: number;
	readonly maxRecords: number;
	readonly maxRecordsPerOrganisation: number;
	readonly maxAnswerLength: number;
	readonly maxAnswersLength: number;
};

/**
Bounds that apply where the settings give none.
*/
export const DEFAULT_IDEMPOTENCY_BOUNDS: IdempotencyBounds = {
	retentionMilliseconds: RECORD_RETENTION_MILLISECONDS,
	maxRecords: MAX_RECORDS,
	maxRecordsPerOrganisation: MAX_RECORDS_PER_ORGANISATION,
	maxAnswerLength: MAX_ANSWER_CHARACTERS,
	maxAnswersLength: MAX_TOTAL_ANSWER_CHARACTERS,
};
