/**
Times and bounds of a host process.
*/

/**
Milliseconds between two ticks of the announcements' state machine.
*/
export const TICK_INTERVAL_MILLISECONDS = 100;

/**
Milliseconds between the ticks of membership.
*/
export const MEMBERSHIP_TICK_INTERVAL_MILLISECONDS = 50;

/**
Milliseconds for which the news that a host leaves is given out.
*/
export const LEAVE_GOSSIP_MILLISECONDS = 300;

/**
Milliseconds between two comparisons of the catalogue's revision with that of a random other host.
*/
export const COMPARE_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds between the comparisons of a host that has just started, until the first one succeeds.
*/
export const FIRST_COMPARE_INTERVAL_MILLISECONDS = 100;

/**
Number of hosts that a host notifies when it comes to a new revision; each of them notifies as many.
*/
export const REVISION_FANOUT = 6;

/**
Milliseconds after which a call to another host fails, unless a constant for its method says otherwise.
*/
export const CALL_TIMEOUT_MILLISECONDS = 2000;

/**
Milliseconds that a change may take, elections included, before its operator is told that it may have been taken.
*/
export const CHANGE_TIMEOUT_MILLISECONDS = 8000;

/**
Milliseconds between two attempts of the same change or command at control hosts.
*/
export const CONTROL_RETRY_DELAY_MILLISECONDS = 100;

/**
Milliseconds that a claim of an idempotency key may take; the caller waits meanwhile.
*/
export const CLAIM_TIMEOUT_MILLISECONDS = 2500;

/**
Milliseconds for which the settlement of a key is tried again.
*/
export const SETTLE_TIMEOUT_MILLISECONDS = 60_000;

/**
Milliseconds between two steps of the leader towards the wanted members of a group.
*/
export const RECONCILE_INTERVAL_MILLISECONDS = 1000;

/**
Milliseconds between the stamps by which the leader of the records lets group time go on.
*/
export const GROUP_TIME_INTERVAL_MILLISECONDS = 2000;

/**
Voters of the control group at most.
*/
export const MAX_VOTERS = 5;

/**
Milliseconds after which a control host that is gone is removed from the group.
*/
export const REPLACE_MEMBER_DELAY_MILLISECONDS = 60_000;

/**
Largest body of a request on the admin port.
*/
export const MAX_ADMIN_BODY_BYTES = 262_144;

/**
Largest body of an announcement of a backend server.
*/
export const MAX_ANNOUNCEMENT_BODY_BYTES = 4096;

/**
Number of concurrent calls that ask hosts which revision they have in force.
*/
export const IN_FORCE_CONCURRENCY = 64;

/**
Slots of one upstream that the number of carriers of a service is computed with. All hosts must agree on that number, so it
cannot depend on the slots that upstreams announce.
*/
export const ASSUMED_SLOTS_PER_UPSTREAM = 4;

/**
Milliseconds between two checks of the queue of requests that wait for admission.
*/
export const ADMISSION_TICK_INTERVAL_MILLISECONDS = 10;

/**
Milliseconds that a draining host goes on serving after the directory's answers that name it have expired.
*/
export const DRAIN_MARGIN_MILLISECONDS = 1000;

/**
Milliseconds after which a draining host stops waiting for the requests in flight.
*/
export const MAX_DRAIN_MILLISECONDS = 3_600_000;

/**
Milliseconds that a host waits after a crash for the other losses of the same moment.
*/
export const CRASH_COLLECTION_MILLISECONDS = 10;

/**
Milliseconds for which the answers to what was in flight at a crash are held after the report, so that all carriers know the suspects before anything is sent again.
*/
export const CRASH_ANSWER_DELAY_MILLISECONDS = 100;

/**
Milliseconds that an upstream may take to accept a connection after one was lost; longer is no crash.
*/
export const CRASH_PROBE_TIMEOUT_MILLISECONDS = 250;

/**
Milliseconds that the report of a crash may take.
*/
export const CRASH_REPORT_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds for which a host suspects a request by itself, when the report of its crash may not have arrived.
*/
export const LOCAL_SUSPICION_MILLISECONDS = 60_000;

/**
Milliseconds between two questions of a host for requests that may crash upstreams; it is told of changes at once.
*/
export const SUSPECT_POLL_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds after which the older half of the survived requests is forgotten.
*/
export const SURVIVALS_ROTATION_MILLISECONDS = 300_000;

/**
Milliseconds that the grant of a trial may take; the caller waits meanwhile.
*/
export const TRIAL_REQUEST_TIMEOUT_MILLISECONDS = 2500;

/**
Milliseconds between two looks whether shares of limits are to be renewed.
*/
export const SHARE_TICK_INTERVAL_MILLISECONDS = 250;

/**
Milliseconds that a renewal of shares may take.
*/
export const SHARE_RENEWAL_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between two looks of the records' leader for hosts that are gone.
*/
export const LOST_HOSTS_CHECK_INTERVAL_MILLISECONDS = 1000;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds between two checks whether counts of the burn report must be copied to their holders.
*/
export const BURN_TICK_INTERVAL_MILLISECONDS = 5000;

/**
Number of other hosts that hold a copy of a host's counts.
*/
export const BURN_COPY_HOLDERS = 2;

/**
Number of hosts that a restarted host asks for its counts. It is larger than the number of holders, because the choice of
holders changes with the hosts that run.
*/
export const BURN_RECALL_CANDIDATES = 4;

/**
Number of attempts of a restarted host to fetch its counts before it continues without them.
*/
export const MAX_BURN_RECALL_ATTEMPTS = 5;

/**
Largest number of hosts whose copies one host holds: two are expected, and a few more of hosts that are gone.
*/
export const MAX_BURN_HELD_HOSTS = 12;

/**
Number of concurrent calls that fetch counts for one report.
*/
export const BURN_CONCURRENCY = 32;

/**
Milliseconds between two readings of the ejection tables without news; well below their lease.
*/
export const EJECTION_POLL_INTERVAL_MILLISECONDS = 4000;

/**
Control hosts asked for the ejection tables in one reading.
*/
export const MAX_EJECTION_POLL_ATTEMPTS = 4;

/**
Milliseconds that a request for an ejection or a readmission may take.
*/
export const EJECTION_REQUEST_TIMEOUT_MILLISECONDS = 2000;

/**
Milliseconds between a host's reports of the upstreams it knows, while any of them is ejected.
*/
export const UPSTREAMS_REPORT_INTERVAL_MILLISECONDS = 10_000;

/**
Milliseconds for which a host takes upstreams of a service that is new to it for warm.
*/
export const ASSUMED_WARM_MILLISECONDS = 10_000;

/**
Summaries that a host sends in a second over all services without urgent evidence; at least four for a single service.
*/
export const DETECTION_SUMMARIES_PER_SECOND = 20;

/**
Milliseconds after which the call to a carrier for the list of its upstreams fails.
*/
export const UPSTREAM_LIST_TIMEOUT_MILLISECONDS = 1000;

/**
Milliseconds between the ticks of detection: half of what the machine asks for, so that urgent evidence leaves soon.
*/
export const DETECTION_TICK_INTERVAL_MILLISECONDS = 50;

/**
Steps of detection that a host makes in a second over all services without failures; at least ten for a single service.
*/
export const DETECTION_STEPS_PER_SECOND = 40;

/**
Milliseconds that a starting host waits for another host's catalogue before it serves callers.
*/
export const MAX_FIRST_CATALOGUE_WAIT_MILLISECONDS = 3000;

/**
Least milliseconds between two log lines on refused connections with a wrong fleet secret.
*/
export const REFUSAL_LOG_INTERVAL_MILLISECONDS = 60_000;
