/**
Times and bounds of a fleet whose slots are dispatched.
*/

/**
Milliseconds that the first message of a link may take; a control host that is busy with its start needs most.
*/
export const HELLO_MILLISECONDS = 1500;

/**
Milliseconds that a dispatcher may take to answer an ask at once, if only with "wait": a pause of its process for a used-up
share of the processor lasts up to 100 ms, and a caller's objective is about a second.
*/
export const ASK_MILLISECONDS = 250;

/**
Milliseconds more that a host waits for others at most while large bodies fill its own link. Who does not wait for its own bytes takes every control host
for lost, dispatches alone, and sees neither free slots nor what others have learned.
*/
export const MOST_LINK_DELAY_MILLISECONDS = 1000;

/**
Dispatchers that may leave an ask unanswered before its host dispatches alone: with the second one the other control hosts are probed, so
the third is one that answers, or an entry host.
*/
export const MOST_UNANSWERED = 3;

/**
Milliseconds after which a request is to come back when no upstream of its service is known at all: heartbeats come every second or two.
*/
export const UNKNOWN_SERVICE_MILLISECONDS = 500;

/**
Milliseconds that a control host may take to answer a probe, after another one has left an ask unanswered: like an ask's, less what was lost
already.
*/
export const PROBE_MILLISECONDS = 150;

/**
Entry hosts that all hosts know as dispatchers for when no control host answers: two of each of three failure domains, so that some are
left when hosts are lost with the control hosts, and few enough that each dispatches several services.
*/
export const STANDBYS_MOST = 6;

/**
Standbys of a service that receive its dispatcher's updates: the first, and a second for when the first is lost too.
*/
export const STANDBYS_PER_SERVICE = 2;

/**
Milliseconds for which changes of the entry hosts are batched before the standbys are chosen again and published.
*/
export const STANDBYS_BATCH_MILLISECONDS = 300;

/**
Milliseconds after the last need for which links to standbys stay open: longer than control hosts take to be back in order.
*/
export const STANDBY_IDLE_MILLISECONDS = 20_000;

/**
Milliseconds that a request waits for the first link to a standby: twice what opening one takes within a region.
*/
export const STANDBY_OPEN_MILLISECONDS = 60;

/**
Resends that an entry host may give out beyond a part of the requests. The budget is the whole fleet's, and any number of hosts may dispatch at
once: each takes next to nothing beyond what the requests that it is asked for give it.
*/
export const STANDBY_EXTRA_RESENDS = 2;

/**
Milliseconds for which a dispatcher that did not answer in time is passed over.
*/
export const SLOW_DISPATCHER_MILLISECONDS = 1000;

/**
Milliseconds of silence after which a dispatcher is passed over without asking: two pings were missed. An ask
that is not answered tells sooner.
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
Milliseconds between two looks for silent upstreams and hosts.
*/
export const HOUSEKEEPING_MILLISECONDS = 1000;

/**
Milliseconds for which a host waits for a control host of its own failure domain before it fetches a generation from another.
*/
export const NEAR_FETCH_MILLISECONDS = 25;

/**
Milliseconds that fetching a generation or the list of instances may take: 12 MB on a link of 50 Mbit/s.
*/
export const FETCH_MILLISECONDS = 2000;

/**
Milliseconds that a request waits on a host that has no generation yet. After a restart of everything it is there within 0.8 s; a caller that
waits in vain still has most of its time.
*/
export const FIRST_GENERATION_MILLISECONDS = 1000;

/**
Milliseconds after the first generation for which a host that has just started waits for its links to the other control hosts: three tries.
*/
export const LINKING_MILLISECONDS = 250;

/**
Milliseconds after which a request is to come back to a fleet that has no generation: what went wrong takes longer than a usual start.
*/
export const NO_GENERATION_MILLISECONDS = 700;

/**
Milliseconds before a fetch that failed is tried again.
*/
export const FETCH_AGAIN_MILLISECONDS = 100;

/**
Milliseconds without a link after which a control host that no other one names is forgotten.
*/
export const FORGET_CONTROL_MILLISECONDS = 15_000;

/**
Milliseconds that one try to bring a command to the leader may take: operators turn to another host after a second.
*/
export const PROPOSE_MILLISECONDS = 700;

/**
Tries to bring a command to the leader, and the wait between them in milliseconds: together less than a second, so that the
operator still hears an answer.
*/
export const PROPOSE_TRIES = 3;
export const PROPOSE_AGAIN_MILLISECONDS = 60;

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
Seconds for which callers may cache the directory's answer. Short, so that they turn away from a stopping host while it still serves.
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
How much more a used part of the link counts than one of the processor. A large body holds the link until it is through, while the processor turns to
the next request after a millisecond: with 0.4 of a link in use by uploads of 0.2 s to 1 s each, half of all requests wait behind one.
*/
export const LINK_LOAD_FACTOR = 4;

/**
Milliseconds in which the number of entry hosts that the directory names shrinks to half, when fewer are needed.
*/
export const DIRECTORY_HALF_LIFE_MILLISECONDS = 5000;

/**
Milliseconds between two measurements of an entry host's load.
*/
export const LOAD_MILLISECONDS = 1000;

/**
Share of a new measurement of load that is lower than the one before.
*/
export const LOAD_SHARE = 0.3;

/**
Change of load that the control hosts are told, a third of what is aimed at: a message to each costs as much as a request's.
*/
export const LOAD_STEP = 0.13;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Milliseconds of silence after which the directory no longer names an entry host of its own failure domain: two pings were missed.
*/
export const SILENT_ENTRY_MILLISECONDS = 1600;

/**
The same for an entry host of another failure domain, which pings less often.
*/
export const SILENT_FAR_ENTRY_MILLISECONDS = 4500;

/**
Milliseconds between the pings of a link within a failure domain.
*/
export const NEAR_PING_MILLISECONDS = 700;

/**
The same between failure domains, where bytes cost: callers look up an entry host at control hosts of their own failure domain.
*/
export const FAR_PING_MILLISECONDS = 2000;

/**
Milliseconds that opening a connection to an upstream may take before another one is tried: a hundred times the way between
failure domains of one region.
*/
export const UPSTREAM_CONNECT_MILLISECONDS = 300;

/**
Part of the time between SIGTERM and the end for which a stopping entry host takes new requests: callers keep its address for a
while, and whatever is taken in must have its answer before the end, also if it lasts as long as the longest timeouts.
*/
export const ACCEPTING_PART = 0.48;

/**
Milliseconds before the end of the time to stop at which a stopping host gives up what is still under way, and the part of that time that this is at most.
*/
export const STOP_MARGIN_MILLISECONDS = 600;
export const STOP_MARGIN_PART = 0.1;

/**
Usual times of its route after which a request that may be repeated is asked another place for: with work times that spread by half, one in
a hundred takes longer on an upstream that is well.
*/
export const PATIENCE_RATIO = 3;

/**
The same in milliseconds at least: a pause of a process lasts up to 100 ms.
*/
export const PATIENCE_MILLISECONDS = 600;

/**
Routes whose usual time a host keeps: those it carries of 46,000.
*/
export const ROUTES_MEASURED = 4096;

/**
Milliseconds after its last ask for which a host is told what a dispatcher believes.
*/
export const ASKER_MILLISECONDS = 10_000;

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
Milliseconds after the last answer that advertised it for which a host reports a rate limit to dispatchers that it turns to.
*/
export const RATE_LIMIT_TTL_MILLISECONDS = 10_000;

/**
Milliseconds for which changes of the linked control hosts are batched before their list is sent to all hosts: when a fleet starts, each of 15
control hosts opens 14 links within a tenth of a second, and a list for each link takes 58,000 messages to 277 entry hosts.
*/
export const CONTROL_HOSTS_BATCH_MILLISECONDS = 50;

/**
Milliseconds after a change of the instances before connections to addresses that are gone are closed.
*/
export const RETAIN_MILLISECONDS = 5000;

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
Milliseconds between two reports of the bytes over links, at the level debug.
*/
export const REPORT_MILLISECONDS = 10_000;

/**
Milliseconds of recent asks that the request share of a dispatcher is measured over.
*/
export const REQUEST_SHARE_WINDOW_MILLISECONDS = 1000;

/**
Slices of a window in which a host counts what its callers were admitted.
*/
export const RECENT_USE_SLICES = 20;

/**
Milliseconds for which a number of entry hosts that another host told counts: a host that has just started knows all of them by then.
*/
export const ENTRY_HOST_COUNT_MILLISECONDS = 6000;

/**
Entry hosts that a fleet is taken to have while a host was not told how many there are: one that dispatches alone may give out one part in so
many of what is limited over all of them.
*/
export const UNKNOWN_ENTRY_HOSTS = 100;

/**
Organisations that have a label of their own in metrics, and whose refusals are collected between two log lines; the others count together.
*/
export const ORGANISATION_LABELS_MOST = 20;

/**
Milliseconds between two log lines about refusals of one organisation.
*/
export const REFUSALS_TOLD_MILLISECONDS = 1000;

/**
Milliseconds between two looks whether the process runs late.
*/
export const PAUSE_LOOK_MILLISECONDS = 1000;

/**
Milliseconds from which on a late timer is logged: a leader that is late by so much misses a heartbeat.
*/
export const PAUSE_MILLISECONDS = 200;

/**
Longest time in milliseconds without a message of this side on a link to a dispatcher that is asked: looked at every 0.35 s.
*/
export const ASKED_PING_MILLISECONDS = 350;

/**
Silence in milliseconds from which on an entry host that asks here counts as absent: two pings were missed.
*/
export const SILENT_ASKER_MILLISECONDS = 1000;

/**
Milliseconds between two looks at which entry hosts are heard: at least while a dispatcher is asked, at most while it is not.
*/
export const ABSENCE_LOOK_MILLISECONDS = 50;
export const ABSENCE_REPEAT_MILLISECONDS = 250;

/**
Milliseconds of the slices of time in which absent hosts are put together.
*/
export const ABSENCE_SLICE_MILLISECONDS = 250;

/**
Milliseconds after which an entry host that is not heard counts as gone: callers have turned to others.
*/
export const ABSENCE_MOST_MILLISECONDS = 60_000;

/**
Milliseconds between two log lines about the idle upstreams of a service.
*/
export const IDLE_LOG_INTERVAL_MILLISECONDS = 2000;

/**
Largest number of idle upstreams that such a line names.
*/
export const MAX_IDLE_UPSTREAMS_LOGGED = 5;
