/**
Times and bounds of a fleet whose slots are dispatched.
*/
import type * as core from 'wagtailroute-core';

/**
Milliseconds that the hello of a link may take; a control host that is busy with its start takes longest.
*/
export const HELLO_TIMEOUT_MILLISECONDS = 1500;

/**
Milliseconds that a dispatcher may take for its first answer to a slot request, which may be "wait". CPU throttling pauses a process for up to
100 ms, and a caller's latency objective is about a second.
*/
export const SLOT_REQUEST_TIMEOUT_MILLISECONDS = 250;

/**
Milliseconds that a dispatcher may take for its first answer while its other messages arrive, with overload control on. A dispatcher that is short of
CPU time is not relieved by hosts that turn away: they send their requests to a second one, which then is slow as well.
*/
export const SLOW_DISPATCHER_TIMEOUT_MILLISECONDS = 1000;

/**
Longest time in milliseconds that a host adds to its timeouts while large bodies fill its own network link. Without it the host would consider every control
host lost and use its own dispatcher, which knows neither the slots in use nor the doubts of other dispatchers about upstreams.
*/
export const MAX_LINK_DELAY_MILLISECONDS = 1000;

/**
Dispatchers that may fail to decide on a slot request before its host uses its own dispatcher. When one does not answer, the other control hosts
are probed, so the third one tried is responsive, or is a standby.
*/
export const MAX_FAILED_DISPATCHERS = 3;

/**
Milliseconds after which a caller is to retry when no upstream of the service is known: heartbeats arrive every one or two seconds.
*/
export const UNKNOWN_SERVICE_RETRY_MILLISECONDS = 500;

/**
Milliseconds that a control host may take to answer a probe, which is sent after another one did not answer a slot request: less than the timeout of a
slot request, since part of the caller's time is already lost.
*/
export const PROBE_TIMEOUT_MILLISECONDS = 150;

/**
Entry hosts that dispatch when no control host answers: two in each of three failure domains, so that some are left when entry hosts are lost together
with the control hosts, and few enough that each dispatches several services.
*/
export const MAX_STANDBYS = 6;

/**
Standbys of a service that receive its dispatcher's updates: the first, and a second for when the first is lost too.
*/
export const STANDBYS_PER_SERVICE = 2;

/**
Milliseconds for which changes of the entry hosts are batched before the standbys are chosen again and published.
*/
export const STANDBYS_BATCH_MILLISECONDS = 300;

/**
Milliseconds for which links to standbys stay open after they were last needed: longer than control hosts take to recover.
*/
export const STANDBY_IDLE_TIMEOUT_MILLISECONDS = 20_000;

/**
Milliseconds that a slot request waits for the first link to a standby: twice the time that opening one takes within a region.
*/
export const MAX_STANDBY_WAIT_MILLISECONDS = 60;

/**
Milliseconds for which a dispatcher that did not answer in time is skipped.
*/
export const UNRESPONSIVE_DISPATCHER_MILLISECONDS = 1000;

/**
Milliseconds of silence after which a dispatcher is skipped without a request to it: two pings were missed. A slot request that times out shows
it sooner.
*/
export const SILENT_DISPATCHER_MILLISECONDS = 5500;

/**
Milliseconds between two checks of a dispatcher for requests that can no longer be granted a slot in time and granted slots that were abandoned.
*/
export const DISPATCH_TICK_MILLISECONDS = 50;

/**
Milliseconds for which heartbeats that change nothing are batched before they are relayed to the other control hosts.
*/
export const RELAY_BATCH_MILLISECONDS = 500;

/**
Milliseconds without a heartbeat after which an upstream counts as silent: three heartbeats were missed.
*/
export const SILENT_UPSTREAM_MILLISECONDS = 5000;

/**
Milliseconds between two checks for silent upstreams, idle links to standbys and expired control hosts.
*/
export const HOUSEKEEPING_INTERVAL_MILLISECONDS = 1000;

/**
Milliseconds for which an entry host waits for a control host of its own failure domain to report a new generation before it fetches it from another failure domain.
*/
export const FAR_FETCH_DELAY_MILLISECONDS = 25;

/**
Milliseconds for which an entry host waits for a link to a control host of its own failure domain before it follows the instances at another one. When a
fleet starts, links to busy control hosts take up to a second, and each change of an instance would cross failure domains once for each entry host.
*/
export const FAR_FOLLOW_DELAY_MILLISECONDS = 1000;

/**
Milliseconds for which changes of instances are collected before they are sent to the entry hosts that follow them. Sent one by one, the start of 345
upstreams takes 345 messages to each of 174 entry hosts; together they are compressed.
*/
export const INSTANCE_CHANGES_BATCH_MILLISECONDS = 50;

/**
Milliseconds that fetching a generation or the list of instances may take: 12 MB on a link of 50 Mbit/s.
*/
export const FETCH_TIMEOUT_MILLISECONDS = 2000;

/**
Milliseconds that a request waits on a host that does not serve yet. After a restart of the whole fleet the generation arrives within 0.8 s; a caller
that waits in vain still has most of its time.
*/
export const MAX_FIRST_GENERATION_WAIT_MILLISECONDS = 1000;

/**
Milliseconds for which a host that has just started waits, after its first generation, for its links to the other control hosts: three connection attempts.
*/
export const MAX_CONTROL_LINKS_WAIT_MILLISECONDS = 250;

/**
Milliseconds after which a caller is to retry when the host has no generation: the cause lasts longer than a usual start, for which requests wait.
*/
export const NO_GENERATION_RETRY_MILLISECONDS = 700;

/**
Retirements that an announcement contains at most; of more, only the log index of the last one is announced, and hosts that lack some fetch them.
*/
export const MAX_ANNOUNCED_RETIREMENTS = 64;

/**
Milliseconds without an answer after which another control host is asked for a generation as well: a fraction of the time within which it must be in force.
*/
export const FETCH_HEDGE_DELAY_MILLISECONDS = 400;

/**
Control hosts that are asked for a generation at the same time at most: two of them may be lost at once.
*/
export const MAX_CONCURRENT_FETCHES = 3;

/**
Milliseconds that fetching missed retirements may take: some kilobytes, and the next control host must still be asked in time.
*/
export const RETIREMENT_FETCH_TIMEOUT_MILLISECONDS = 500;

/**
Milliseconds before a fetch that failed is retried.
*/
export const FETCH_RETRY_DELAY_MILLISECONDS = 100;

/**
Milliseconds without a link after which a control host is forgotten unless another one names it.
*/
export const CONTROL_HOST_EXPIRY_MILLISECONDS = 15_000;

/**
Milliseconds that one call of the leader may take: operators try another host after a second.
*/
export const LEADER_CALL_TIMEOUT_MILLISECONDS = 700;

/**
Attempts at a call of the leader, and the milliseconds after each: attempts without a leader take less than a second together, so that the operator
still receives an answer.
*/
export const MAX_LEADER_CALL_ATTEMPTS = 3;
export const LEADER_CALL_RETRY_DELAY_MILLISECONDS = 60;

/**
Milliseconds after which a proposal counts as slow in the leader's log: those who wait for it retry soon.
*/
export const SLOW_PROPOSAL_MILLISECONDS = 300;

/**
Milliseconds between two steps by which the leader of the control group adapts its members to the control hosts that run.
*/
export const RECONCILE_INTERVAL_MILLISECONDS = 300;

/**
Milliseconds without a link to a member's host after which another control host replaces it in the group. Longer than a restart of a process.
*/
export const REPLACE_MEMBER_DELAY_MILLISECONDS = 2500;

/**
Largest number of voters in the control group: with 5, two may be lost at once.
*/
export const MAX_VOTERS = 5;

/**
Largest command of the control group in bytes of JSON: a catalogue of 46,000 routes with its document takes 23 MB, and a message between hosts may
take 33 MB.
*/
export const MAX_COMMAND_BYTES = 29_360_128;

/**
Milliseconds before a replica whose store failed is opened again: a full disk lasts for seconds.
*/
export const REOPEN_DELAY_MILLISECONDS = 1000;

/**
Seconds for which callers may cache the directory's answer. Short, so that they stop using a stopping host while it still serves.
*/
export const ADDRESS_TTL_SECONDS = 2;

/**
Smallest number of entry hosts that the directory names in a failure domain: one may be frozen and another one stopping.
*/
export const MIN_DIRECTORY_ADDRESSES = 3;

/**
Largest number of entry hosts that the directory names in a failure domain: callers read no more from an answer.
*/
export const MAX_DIRECTORY_ADDRESSES = 64;

/**
Milliseconds between two computations of the directory's table, which is published at once when it has changed. Callers cache an answer for
two seconds, so a tenth of that matters little.
*/
export const DIRECTORY_INTERVAL_MILLISECONDS = 200;

/**
Target load of an entry host, as a part of its processor or link: a burst of twice as much causes no queueing yet. With a lower target, more
hosts share the same requests: each runs colder code and opens more connections, which costs a third more processor time.
*/
export const TARGET_LOAD = 0.4;

/**
Weight of the link's utilisation relative to the processor's. A large body occupies the link until it is transferred, while the processor turns to
the next request after a millisecond: with 0.4 of a link used by uploads of 0.2 s to 1 s each, half of all requests wait behind one.
*/
export const LINK_LOAD_WEIGHT = 4;

/**
Milliseconds in which the number of entry hosts that the directory names shrinks to half, when fewer are needed.
*/
export const DIRECTORY_HALF_LIFE_MILLISECONDS = 5000;

/**
Milliseconds between two measurements of an entry host's load.
*/
export const LOAD_INTERVAL_MILLISECONDS = 1000;

/**
Weight of a new measurement in the moving average of the load, if it is lower than the average.
*/
export const LOAD_DECREASE_WEIGHT = 0.3;

/**
Change of an entry host's load from which on it is reported to the control hosts, a third of the target load: a message to each costs as much as those of a request.
*/
export const MIN_REPORTED_LOAD_CHANGE = 0.13;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds without a message after which the directory no longer returns an entry host of its own failure domain: two pings were missed.
*/
export const SILENT_ENTRY_MILLISECONDS = 1600;

/**
The same for an entry host of another failure domain, which sends pings less often.
*/
export const SILENT_FAR_ENTRY_MILLISECONDS = 4500;

/**
Milliseconds between the pings of a link within a failure domain.
*/
export const NEAR_PING_INTERVAL_MILLISECONDS = 700;

/**
The same between failure domains, where traffic costs. Longer intervals are enough there: callers look up entry hosts at control hosts of their own failure domain.
*/
export const FAR_PING_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds that opening a connection to an upstream may take before another upstream is tried: a hundred times the latency between failure domains of
one region.
*/
export const UPSTREAM_CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
Fraction of the time between SIGTERM and the end in which a stopping entry host accepts new requests: callers keep its address for a
while, and accepted requests must be answered before the end, even if they take as long as the longest timeouts.
*/
export const ACCEPTING_FRACTION = 0.48;

/**
Milliseconds before the end at which a stopping host aborts the requests that are still in flight, and the largest fraction of the stop time that this may take.
*/
export const STOP_MARGIN_MILLISECONDS = 600;
export const MAX_STOP_MARGIN_FRACTION = 0.1;

/**
Fraction of the time between the abort and the end of a stop in which the responses to aborted requests are written.
*/
export const FLUSHING_FRACTION = 0.5;

/**
Milliseconds between two checks of whether these responses are written.
*/
export const FLUSH_CHECK_INTERVAL_MILLISECONDS = 10;

/**
Multiple of the route's usual time after which a repeatable request is overdue and is sent to another upstream: with log-normal service times
of sigma 0.5, one in a hundred takes longer on a healthy upstream.
*/
export const OVERDUE_RATIO = 3;

/**
Milliseconds before which no request is overdue: a pause of a process lasts up to 100 ms.
*/
export const MIN_OVERDUE_MILLISECONDS = 600;

/**
Routes for which a host keeps usual durations and deadlines: of a catalogue of 46,000 it serves only some.
*/
export const MAX_MEASURED_ROUTES = 4096;

/**
Milliseconds after its last slot request for which a host counts as a requesting host and receives a dispatcher's beliefs.
*/
export const REQUESTING_HOST_EXPIRY_MILLISECONDS = 10_000;

/**
Milliseconds for which suspensions and readmissions are batched before they are sent to the hosts that request slots. These need them only to
dispatch on their own, which the standbys do before them; standbys receive them at once. In a fleet of 277 hosts with 420 upstreams, of which 14 a
second are suspended and as many readmitted, sending each to every host at once takes 8,000 messages a second.
*/
export const BELIEF_BATCH_MILLISECONDS = 1000;

/**
Milliseconds for which updates of what upstreams advertise are batched before they are sent to other dispatchers.
*/
export const UPDATE_BATCH_MILLISECONDS = 100;

/**
Milliseconds after the last answer that advertised a rate limit for which a host reports the limit to dispatchers that it starts to use.
*/
export const RATE_LIMIT_TTL_MILLISECONDS = 10_000;

/**
Milliseconds for which changes of the linked control hosts are batched before their list is sent to all hosts: when a fleet starts, each of 15
control hosts opens 14 links within a tenth of a second, and a list for each link takes 58,000 messages to 277 entry hosts.
*/
export const CONTROL_HOSTS_BATCH_MILLISECONDS = 50;

/**
The same for the list that goes to entry hosts. A new control host isn't needed there at once, and when a fleet of 174 entry hosts starts, each list that is
spared saves 1.2 MB between failure domains.
*/
export const ENTRY_CONTROL_HOSTS_BATCH_MILLISECONDS = 500;

/**
Milliseconds after a change of the instances before connections to addresses without an instance are closed.
*/
export const CONNECTION_PRUNE_DELAY_MILLISECONDS = 5000;

/**
Milliseconds after a change of the instances before they are saved to disk: a start brings dozens of changes.
*/
export const INSTANCES_SAVE_DELAY_MILLISECONDS = 1000;

/**
Milliseconds after a change of a belief before the beliefs are saved to disk.
*/
export const BELIEFS_SAVE_DELAY_MILLISECONDS = 200;

/**
Largest age in milliseconds of stored beliefs that are loaded: doubt has decayed by then.
*/
export const MAX_BELIEFS_AGE_MILLISECONDS = 20_000;

/**
Milliseconds between two log lines about the bytes of a link, at the level debug.
*/
export const LINK_REPORT_INTERVAL_MILLISECONDS = 10_000;

/**
Milliseconds of recent slot requests over which the request share of a dispatcher is measured.
*/
export const REQUEST_SHARE_WINDOW_MILLISECONDS = 1000;

/**
Time slices of a window in which a host counts the requests that were admitted for its callers.
*/
export const RECENT_USAGE_SLICES = 20;

/**
Milliseconds for which a number of entry hosts reported by another host is used: by then a host that has just started knows all of them.
*/
export const ENTRY_HOST_COUNT_TTL_MILLISECONDS = 6000;

/**
Number of entry hosts assumed while a host does not know how many there are: its own dispatcher may then grant one part in this many of a limit that holds
over all of them.
*/
export const ASSUMED_ENTRY_HOSTS = 100;

/**
Entry hosts of an earlier version whose last slot request a dispatcher remembers.
*/
export const MAX_LENDING_HOSTS = 4096;

/**
Organisations that have their own label in metrics, and whose refusals are counted between two log lines; the others share a label.
*/
export const MAX_ORGANISATION_LABELS = 20;

/**
Milliseconds between two log lines about refusals of one organisation.
*/
export const REFUSAL_LOG_INTERVAL_MILLISECONDS = 1000;

/**
Interval in milliseconds of the timer whose delay is measured.
*/
export const PAUSE_CHECK_INTERVAL_MILLISECONDS = 1000;

/**
Delay in milliseconds from which on a late timer is logged: a leader that is delayed by this time misses a heartbeat.
*/
export const MIN_PAUSE_MILLISECONDS = 200;

/**
Longest time in milliseconds without a message from this host on a link to a dispatcher that it recently sent slot requests to; checked every 0.35 s.
*/
export const DISPATCHER_PING_INTERVAL_MILLISECONDS = 350;

/**
Milliseconds without a message after which an entry host that requests slots here counts as absent: two pings were missed.
*/
export const SILENT_REQUESTING_HOST_MILLISECONDS = 1000;

/**
Milliseconds between two checks for absent entry hosts: the minimum while slots are requested, and the interval of the periodic check.
*/
export const MIN_ABSENCE_CHECK_MILLISECONDS = 50;
export const ABSENCE_CHECK_INTERVAL_MILLISECONDS = 250;

/**
Milliseconds of the time slices by which absent hosts are grouped.
*/
export const ABSENCE_GROUP_MILLISECONDS = 250;

/**
Milliseconds without a message after which an entry host no longer counts as absent: its callers use other hosts by then.
*/
export const MAX_ABSENCE_MILLISECONDS = 60_000;

/**
Milliseconds between two log lines about the idle upstreams of a service.
*/
export const IDLE_LOG_INTERVAL_MILLISECONDS = 2000;

/**
Milliseconds between two log lines about the resends of a service.
*/
export const BUDGET_LOG_INTERVAL_MILLISECONDS = 1000;

/**
Largest number of idle upstreams that such a line names.
*/
export const MAX_IDLE_UPSTREAMS_LOGGED = 5;

/**
Crashes after which a request is quarantined: as many upstreams are lost to it at most, but for copies that are in flight together.
*/
export const CRASHES_TO_QUARANTINE = 3;

/**
Crashes from which on entry hosts are told of a request, so that those at which it completes clear it.
*/
export const CRASHES_TO_TELL = 2;

/**
Milliseconds after its last crash for which a request that is not quarantined is remembered, and for which it stays quarantined.
*/
export const SUSPECT_EXPIRY_MILLISECONDS = 600_000;
export const QUARANTINE_MILLISECONDS = 3_600_000;

/**
Largest number of crash records on a host.
*/
export const MAX_CRASH_RECORDS = 4096;

/**
Largest number of completed requests, by fingerprint, and of probed upstreams that an entry host remembers.
*/
export const MAX_SURVIVALS = 4096;

/**
Milliseconds that an upstream may take to accept a new connection after one was lost; a timeout is no crash.
*/
export const CRASH_PROBE_TIMEOUT_MILLISECONDS = 250;

/**
Milliseconds for which the result of such a connection holds for further requests that the upstream loses.
*/
export const PROBED_MILLISECONDS = 1000;

/**
Milliseconds from a loss until the first health check of its upstream, since a server that is going down may still accept connections.
*/
export const FIRST_CHECK_DELAY_MILLISECONDS = 150;

/**
Milliseconds from a health check whose connection was closed until the next one.
*/
export const CLOSED_CHECK_DELAY_MILLISECONDS = 50;

/**
Health checks in a row whose connection is closed without an answer that show a crash: one alone may have met the upstream's limit of connections.
*/
export const CLOSED_PROBES_OF_CRASH = 2;

/**
Milliseconds from an unanswered health check until the next one.
*/
export const SILENT_CHECK_DELAY_MILLISECONDS = 500;

/**
Milliseconds between the starts of two inquiries into an upstream that answers its health checks: one that resets connections in a failure period would be checked
for each request that it loses.
*/
export const MIN_INQUIRY_INTERVAL_MILLISECONDS = 1000;

/**
Milliseconds after a loss for which an entry host checks whether its upstream has crashed, and the largest number of upstreams that it checks.
*/
export const UNDECIDED_LOSS_MILLISECONDS = 6000;
export const MAX_INQUIRIES = 1024;

/**
Milliseconds without a heartbeat after which a silent upstream counts as crashed. Heartbeats come every 1.5 s at most, and are relayed up to 0.5 s later.
*/
export const MISSED_HEARTBEAT_MILLISECONDS = 2300;

/**
Milliseconds between two checks of the heartbeats of silent upstreams, and for which a heartbeat can still disprove a crash.
*/
export const LOSS_CHECK_INTERVAL_MILLISECONDS = 100;
export const MAX_LOSS_AGE_MILLISECONDS = 30_000;

/**
Milliseconds by which hosts may differ on the time of a crash: messages between them take this long at most, unless a host is overloaded.
*/
export const CRASH_TIME_TOLERANCE_MILLISECONDS = 200;

/**
Milliseconds for which an answered health check shows that this host reaches upstreams.
*/
export const REACHED_MILLISECONDS = 300;

/**
Milliseconds after an answer in which a single failure counts against its upstream at once.
*/
export const RECENT_ANSWER_MILLISECONDS = 1000;

/**
Milliseconds without an answer of any upstream, and upstreams with unanswered requests, after which a host checks whether it reaches any. A single answer may take as long.
*/
export const SILENT_UPSTREAMS_MILLISECONDS = 500;
export const MIN_SILENT_UPSTREAMS = 3;

/**
Upstreams that are sent a health check, one and then several at once, before a host considers itself isolated.
*/
export const FIRST_REACH_CHECKS = 1;
export const FURTHER_REACH_CHECKS = 3;

/**
Upstreams that are remembered as having answered last.
*/
export const MAX_ANSWERING = 8;

/**
Smallest number of upstreams, beside the one that failed, without an answer of which a host considers itself isolated.
*/
export const MIN_UNREACHED_UPSTREAMS = 2;

/**
Milliseconds between two checks of a host that is isolated, and the upstreams that it checks of those that answered last and of the newest ones.
*/
export const ISOLATION_CHECK_INTERVAL_MILLISECONDS = 250;
export const ISOLATION_CHECKS = 2;

/**
Entry hosts that a directory table names as forwarding targets.
*/
export const MAX_FORWARDING_ADDRESSES = 24;

/**
Hosts to which a request may be forwarded, one after the other, while each answers that it is isolated too or refuses the connection.
*/
export const MAX_FORWARDS = 3;

/**
Milliseconds for which a host that did not take a forwarded request is not chosen again.
*/
export const FORWARDING_PAUSE_MILLISECONDS = 1500;

/**
Milliseconds after a change of the crash records before they are saved to disk.
*/
export const CRASHES_SAVE_DELAY_MILLISECONDS = 100;

/**
Entry hosts from which on a fleet counts as large: a dispatcher with 0.4 of a core doesn't answer the slot requests of more hosts in time.
*/
export const LARGE_FLEET_ENTRY_HOSTS = 150;

/**
Milliseconds between two messages about the free slots of the pools of a host, and until one without a change is repeated: twice before it expires.
*/
export const ROOM_INTERVAL_MILLISECONDS = 50;
export const ROOM_REPEAT_MILLISECONDS = 200;

/**
Milliseconds after which a report of free slots no longer counts.
*/
export const ROOM_EXPIRY_MILLISECONDS = 500;

/**
Milliseconds after the last slot request of a pool for which its free slots are reported.
*/
export const POOL_USE_MILLISECONDS = 1000;

/**
Expected wait in a pool, in milliseconds, above which a request is lent to another one. It leaves the failure domain then, which costs more for an upload.
*/
export const LENDING_WAIT_MILLISECONDS: Readonly<Record<core.RequestClass, number>> = {
	read: 60, idempotent: 60, 'non-idempotent': 60, upload: 250,
};

/**
Milliseconds between two requests that try the upstreams of a pool while all of them are suspended and other pools have free slots.
*/
export const POOL_TRIAL_INTERVAL_MILLISECONDS = 300;

/**
Milliseconds between two log lines about the requests that one pool lends to another.
*/
export const LENDING_LOG_INTERVAL_MILLISECONDS = 1000;

/**
Upstreams that the smallest pool of a service needs for the service to be divided. At times a third of the upstreams fail; in a pool of a few that may be
most of them, while the others of the service have free slots.
*/
export const MIN_POOL_UPSTREAMS = 16;
