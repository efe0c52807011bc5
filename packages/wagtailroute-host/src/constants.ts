/**
Times and bounds of a host.
*/

/**
Milliseconds between the ticks of the host's state machines.
*/
export const TICK_MILLISECONDS = 100;

/**
Milliseconds between the ticks of membership.
*/
export const MEMBERSHIP_TICK_MILLISECONDS = 50;

/**
Milliseconds for which the news that a host leaves is given out.
*/
export const LEAVE_MILLISECONDS = 300;

/**
Milliseconds between two comparisons of the catalogue's revision with another host.
*/
export const COMPARE_MILLISECONDS = 2000;

/**
Hosts that are told at once of a new revision; each of them tells as many.
*/
export const REVISION_FANOUT = 6;

/**
Milliseconds that a call between hosts may take.
*/
export const CALL_MILLISECONDS = 2000;

/**
Milliseconds that a change may take, elections included, before its operator is told that it may have been taken.
*/
export const CHANGE_MILLISECONDS = 8000;

/**
Milliseconds between two attempts of the same change or command at control hosts.
*/
export const CONTROL_RETRY_MILLISECONDS = 100;

/**
Milliseconds that a claim of an idempotency key may take; the caller waits meanwhile.
*/
export const CLAIM_MILLISECONDS = 2500;

/**
Milliseconds for which the settlement of a key is tried again.
*/
export const SETTLE_MILLISECONDS = 60_000;

/**
Milliseconds between two steps of the leader towards the wanted members of a group.
*/
export const RECONCILE_MILLISECONDS = 1000;

/**
Milliseconds between the stamps by which the leader of the records lets group time go on.
*/
export const GROUP_TIME_MILLISECONDS = 2000;

/**
Voters of the control group at most.
*/
export const MAXIMUM_VOTERS = 5;

/**
Milliseconds after which a control host that is gone is removed from the group.
*/
export const REPLACE_MILLISECONDS = 60_000;

/**
Milliseconds between two questions whether the control group exists already.
*/
export const BOOTSTRAP_RETRY_MILLISECONDS = 100;

/**
Largest body of an operator's request, in bytes.
*/
export const ADMIN_BODY_BYTES = 262_144;

/**
Largest body of an announcement, in bytes.
*/
export const ANNOUNCEMENT_BODY_BYTES = 4096;

/**
Hosts asked at the same time which revision they have.
*/
export const IN_FORCE_CONCURRENCY = 64;

/**
Slots that one upstream is planned with when a service's number of carriers is worked out from its catalogue entry.
*/
export const PLANNED_SLOTS = 4;

/**
Milliseconds between two walks through the queue of requests that wait for admission.
*/
export const ADMISSION_TICK_MILLISECONDS = 10;

/**
Milliseconds that a draining host goes on serving after callers are told other addresses, beside their answers' time to live.
*/
export const DRAIN_SPREAD_MILLISECONDS = 1000;

/**
Milliseconds after which a host that drains stops waiting for requests in flight.
*/
export const DRAIN_LIMIT_MILLISECONDS = 3_600_000;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;
