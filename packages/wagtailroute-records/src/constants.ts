/**
Times and bounds of a cell's records. All times are in milliseconds; those marked "group" are measured in group time,
which never runs faster than a host's monotonic clock.
*/

/**
The most that one stamp may advance group time, in ms. Leaders stamp at least this often, so a larger step is a clock
that jumped or a process that was frozen.
*/
export const MAX_STAMP_STEP_MILLISECONDS = 2000;

/**
How long after asking a claimer may start to send, in ms by its own monotonic clock, measured from before it asked.
*/
export const CLAIM_VALIDITY_MILLISECONDS = 5000;

/**
How long past its budget a running claim is waited for before it becomes `unknown`, in ms of group time.
*/
export const CLAIM_GRACE_MILLISECONDS = 10_000;

/**
How long the cell remembers that an attempt was given up before its claim arrived, in ms of group time.
*/
export const ABANDONED_ATTEMPT_EXPIRY_MILLISECONDS = 600_000;

/**
Default retention of a settled record, in ms of group time: 24 hours.
*/
export const RECORD_RETENTION_MILLISECONDS = 86_400_000;

/**
Default bound of records held by one cell.
*/
export const MAX_RECORDS = 200_000;

/**
Default bound of records of one organisation in one service.
*/
export const MAX_RECORDS_PER_ORGANISATION = 10_000;

/**
Default bound of the body of a stored answer, in characters of its encoded form.
*/
export const MAX_ANSWER_CHARACTERS = 16_384;

/**
Default bound of all stored answers of one cell, in characters of their encoded form.
*/
export const MAX_TOTAL_ANSWER_CHARACTERS = 67_108_864;

/**
How long a host may act on an ejection table, in ms by its own clock, measured from before it asked for the table.
*/
export const EJECTION_LEASE_MILLISECONDS = 15_000;

/**
How long a readmitted upstream still counts as ejected, in ms of group time: the lease, and a margin for clock rates.
*/
export const EJECTION_LINGER_MILLISECONDS = 17_000;

/**
How long a host's report of its upstreams counts, in ms of group time.
*/
export const UPSTREAM_VIEW_EXPIRY_MILLISECONDS = 30_000;

/**
How long the ejection of an upstream that is no longer announced is remembered, in ms of group time.
*/
export const ABSENT_EJECTION_EXPIRY_MILLISECONDS = 600_000;

/**
How long a host may use its share, in ms by its own clock, measured from before it asked.
*/
export const SHARE_LEASE_MILLISECONDS = 10_000;

/**
How long a share counts as in use, in ms of group time: the lease, and a margin for clock rates.
*/
export const SHARE_EXPIRY_MILLISECONDS = 12_000;

/**
Part of a limit that is dealt out for good, for hosts that cannot reach the cell.
*/
export const SAFE_FRACTION = 0.25;

/**
How long a suspicion or a clearance of a fingerprint lasts, in ms of group time.
*/
export const FINGERPRINT_EXPIRY_MILLISECONDS = 600_000;

/**
How long a quarantine lasts, in ms of group time.
*/
export const QUARANTINE_DURATION_MILLISECONDS = 3_600_000;

/**
How long past its budget the trial of a suspect stays exclusive, in ms of group time.
*/
export const TRIAL_GRACE_MILLISECONDS = 10_000;

/**
Bound of fingerprints held for one service.
*/
export const MAX_FINGERPRINTS_PER_SERVICE = 4096;

/**
How long a crash is remembered, so that later reports of it are not counted twice, in ms of group time.
*/
export const CRASH_EXPIRY_MILLISECONDS = 600_000;
