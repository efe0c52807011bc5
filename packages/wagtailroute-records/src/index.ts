/**
The records of a replica group as one replicated state machine: idempotency keys, ejection grants, shares of fleet-wide
limits, and quarantine.
*/
export {
	ATTEMPT_STATUS_CODES,
	type AttemptEffect,
	type AttemptEvent,
	type AttemptReason,
	type AttemptState,
	createAttempt,
	stepAttempt,
} from './attempts.ts';
export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from './allowance.ts';
export type {
	Command,
	CommandName,
	CommandPayloads,
	CommandResults,
	LimitName,
	Notice,
	ServiceExport,
	ServiceOrigin,
	ServiceState,
} from './commands.ts';
export {
	CLAIM_VALIDITY_MILLISECONDS,
	EJECTION_LEASE_MILLISECONDS,
	MAX_STAMP_STEP_MILLISECONDS,
	SHARE_LEASE_MILLISECONDS,
	UPSTREAM_VIEW_EXPIRY_MILLISECONDS,
} from './constants.ts';
export {getFingerprint, getRequestDigest, type RequestIdentity} from './digests.ts';
export type {
	Ejection,
	EjectionNotice,
	EjectionRequest,
	EjectionResult,
	EjectionState,
} from './ejections.ts';
export type {UpstreamView} from './upstream-views.ts';
export {createGroupClock, type GroupClock} from './group-time.ts';
export {
	type Claim,
	type ClaimRefusal,
	type ClaimResult,
	DEFAULT_IDEMPOTENCY_BOUNDS,
	type IdempotencyBounds,
	type IdempotencyRecord,
	type RecordId,
	type Settlement,
	type SettlementResult,
	type StoredAnswer,
} from './claims.ts';
export {divideMaxMin} from './max-min.ts';
export type {
	CrashReport,
	FingerprintEntry,
	QuarantineNotice,
	QuarantineState,
	QuarantineStatus,
	TrialEnding,
	TrialRequest,
	TrialResult,
} from './fingerprints.ts';
export {type ApplyResult, DEFAULT_RECORDS_BOUNDS, type RecordsBounds} from './handlers.ts';
export {createRecords, type Records, type RecordsSnapshot} from './records.ts';
export type {RecordHolder} from './idempotency.ts';
export {
	getInitialSafePart,
	getOutstanding,
	type Share,
	type ShareRequest,
	type ShareState,
	type ShareUnit,
} from './shares.ts';
