/**
Times and bounds of a host.
*/

/**
Milliseconds between the ticks of the host's state machines.
*/
export const TICK_INTERVAL_MILLISECONDS = 100;

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
export const COMPARE_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds between the comparisons of a host that has just started, until one succeeds.
*/
export const FIRST_COMPARE_INTERVAL_MILLISECONDS = 100;

/**
Hosts that are told at once of a new revision; each of them tells as many.
*/
export const REVISION_FANOUT = 6;

/**
Milliseconds that a call between hosts may take.
*/
export const CALL_TIMEOUT_MILLISECONDS = 2000;

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
Largest body of an operator's request, in bytes.
*/
export const MAX_ADMIN_BODY_BYTES = 262_144;

/**
Largest body of an announcement, in bytes.
*/
export const MAX_ANNOUNCEMENT_BODY_BYTES = 4096;

/**
Hosts asked at the same time which revision they have.
*/
export const IN_FORCE_CONCURRENCY = 64;

/**
Slots that one upstream is planned with when a service's number of carriers is worked out from its catalogue entry.
*/
export const ASSUMED_SLOTS_PER_UPSTREAM = 4;

/**
Milliseconds between two walks through the queue of requests that wait for admission.
*/
export const ADMISSION_TICK_INTERVAL_MILLISECONDS = 10;

/**
Milliseconds that a draining host goes on serving after callers are told other addresses, beside their answers' time to live.
*/
export const DRAIN_MARGIN_MILLISECONDS = 1000;

/**
Milliseconds after which a host that drains stops waiting for requests in flight.
*/
export const MAX_DRAIN_MILLISECONDS = 3_600_000;

/**
Milliseconds that a host waits after a crash for the other losses of the same moment.
*/
export const CRASH_COLLECT_MILLISECONDS = 10;

/**
Milliseconds for which the answers to what was in flight at a crash are held after the report, so that all carriers know the suspects before anything is sent again.
*/
export const CRASH_HOLD_MILLISECONDS = 100;

/**
Milliseconds that an upstream may take to accept a connection after one was lost; longer is no crash.
*/
export const CRASH_PROBE_MILLISECONDS = 250;

/**
Milliseconds that the report of a crash may take.
*/
export const CRASH_REPORT_MILLISECONDS = 1000;

/**
Milliseconds for which a host suspects a request by itself, when the report of its crash may not have arrived.
*/
export const LOCAL_SUSPICION_MILLISECONDS = 60_000;

/**
Milliseconds between two questions of a host for requests that may crash upstreams; it is told of changes at once.
*/
export const SUSPECT_POLL_MILLISECONDS = 2000;

/**
Milliseconds after which the older half of the survived requests is forgotten.
*/
export const SURVIVED_MILLISECONDS = 300_000;

/**
Milliseconds that the grant of a trial may take; the caller waits meanwhile.
*/
export const TRIAL_MILLISECONDS = 2500;

/**
Milliseconds between two looks whether shares of limits are to be renewed.
*/
export const SHARE_TICK_MILLISECONDS = 250;

/**
Milliseconds that a renewal of shares may take.
*/
export const SHARE_CALL_MILLISECONDS = 1000;

/**
Milliseconds between two looks of the records' leader for hosts that are gone.
*/
export const LOST_HOSTS_MILLISECONDS = 1000;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds between two looks whether counts for the burn report are to be handed to their holders.
*/
export const BURN_TICK_INTERVAL_MILLISECONDS = 5000;

/**
Holders of a copy of a host's counts, beside itself.
*/
export const BURN_COPY_HOLDERS = 2;

/**
Hosts asked by a restarted host for its counts. More than the holders, because the choice moves with the hosts that run.
*/
export const BURN_RECALL_CANDIDATES = 4;

/**
Times that a restarted host asks for its counts before it goes on without them.
*/
export const MAX_BURN_RECALL_ATTEMPTS = 5;

/**
Hosts whose copies one host holds at most: two are expected, and a few of hosts that are gone.
*/
export const MAX_BURN_HELD_HOSTS = 12;

/**
Hosts asked for their counts at the same time.
*/
export const BURN_CONCURRENCY = 32;

/**
Milliseconds between two readings of the ejection tables without news; well below their lease.
*/
export const EJECTION_POLL_MILLISECONDS = 4000;

/**
Control hosts asked for the ejection tables in one reading.
*/
export const EJECTION_POLL_TRIES = 4;

/**
Milliseconds that a request for an ejection or a readmission may take.
*/
export const GRANT_MILLISECONDS = 2000;

/**
Milliseconds between a host's reports of the upstreams it knows, while any of them is ejected.
*/
export const VIEW_REPORT_MILLISECONDS = 10_000;

/**
Milliseconds for which a host takes upstreams of a service that is new to it for warm.
*/
export const KNOWN_MILLISECONDS = 10_000;

/**
Summaries that a host sends in a second over all services without urgent evidence; at least four for a single service.
*/
export const SUMMARIES_PER_SECOND = 20;

/**
Milliseconds that a carrier may take to list its upstreams for another host's operator.
*/
export const UPSTREAM_LIST_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between the ticks of detection: half of what the machine asks for, so that urgent evidence leaves soon.
*/
export const DETECTION_TICK_MILLISECONDS = 50;

/**
Steps of detection that a host makes in a second over all services without failures; at least ten for a single service.
*/
export const STEPS_PER_SECOND = 40;

/**
Milliseconds that a host waits at its start for another host's catalogue before it serves.
*/
export const MAX_FIRST_CATALOGUE_WAIT_MILLISECONDS = 3000;

/**
Milliseconds between two log lines on connections with another fleet secret.
*/
export const REFUSAL_LOG_INTERVAL_MILLISECONDS = 60_000;
