/**
Times and bounds of the records of a replica group. Group time never runs faster than a host's
monotonic clock.
*/

/**
The largest step by which one stamp may advance group time, in ms. Leaders stamp at least this often, so a larger step
comes from a clock that jumped or a process that was frozen.
*/
export const MAX_STAMP_STEP_MILLISECONDS = 2000;

/**
How long a granted claim or trial permits its host to start sending, in ms by the host's monotonic clock, measured from
before it sent the request.
*/
export const CLAIM_VALIDITY_MILLISECONDS = 5000;

/**
How long after the end of its validity and budget a running claim becomes `unknown`, in ms of group time.
*/
export const CLAIM_GRACE_MILLISECONDS = 10_000;

/**
How long an attempt that ended before its claim arrived is remembered, in ms of group time.
*/
export const ABANDONED_ATTEMPT_EXPIRY_MILLISECONDS = 600_000;

/**
Default retention of a settled record, in ms of group time: 24 hours.
*/
export const RECORD_RETENTION_MILLISECONDS = 86_400_000;

/**
Default maximum number of idempotency records in one replica group.
*/
export const MAX_RECORDS = 200_000;

/**
Default maximum number of idempotency records of one organisation in one service.
*/
export const MAX_RECORDS_PER_ORGANISATION = 10_000;

/**
Default maximum length of a stored answer's body and headers, in characters of their encoded form.
*/
export const MAX_ANSWER_CHARACTERS = 16_384;

/**
Default maximum length of all stored answers of one replica group, in characters of their encoded form.
*/
export const MAX_TOTAL_ANSWER_CHARACTERS = 67_108_864;

/**
How long a host may act on an ejection table, in ms by its own clock, measured from before it requested the table.
*/
export const EJECTION_LEASE_MILLISECONDS = 15_000;

/**
How long a readmitted upstream still counts as ejected, in ms of group time: the lease, and a margin for differences in
clock rate.
*/
export const EJECTION_LINGER_MILLISECONDS = 17_000;

/**
How long a host's report of its upstreams is valid, in ms of group time.
*/
export const UPSTREAM_VIEW_EXPIRY_MILLISECONDS = 30_000;

/**
How long the ejection of an upstream that is no longer announced is kept, in ms of group time.
*/
export const ABSENT_EJECTION_EXPIRY_MILLISECONDS = 600_000;

/**
How long a host may use its share, in ms by its own clock, measured from before it requested the share.
*/
export const SHARE_LEASE_MILLISECONDS = 10_000;

/**
How long a granted share counts as in use, in ms of group time: the lease, and a margin for differences in clock rate.
*/
export const SHARE_EXPIRY_MILLISECONDS = 12_000;

/**
Fraction of a limit that is divided into safe parts. A safe part has no lease: its host keeps it while it cannot reach the
replica group.
*/
export const SAFE_FRACTION = 0.25;

/**
How long a fingerprint stays suspect or cleared, in ms of group time.
*/
export const FINGERPRINT_EXPIRY_MILLISECONDS = 600_000;

/**
How long a fingerprint stays quarantined, in ms of group time.
*/
export const QUARANTINE_DURATION_MILLISECONDS = 3_600_000;

/**
How long after the end of its validity and budget the trial of a suspect stays exclusive, in ms of group time.
*/
export const TRIAL_GRACE_MILLISECONDS = 10_000;

/**
Maximum number of fingerprints in the quarantine of one service.
*/
export const MAX_FINGERPRINTS_PER_SERVICE = 4096;

/**
How long a crash is kept, so that further reports of it do not count twice, in ms of group time.
*/
export const CRASH_EXPIRY_MILLISECONDS = 600_000;
