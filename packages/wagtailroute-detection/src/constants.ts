/**
Times and limits of detection that both operating points share.
*/

/**
Recommended period between ticks, in milliseconds.
*/
export const TICK_INTERVAL_MILLISECONDS = 100;

/**
Period between summaries of alerted upstreams, in milliseconds.
*/
export const ALERTED_SUMMARY_INTERVAL_MILLISECONDS = 250;

/**
Recommended period between whole summaries of a host in quiet times, in milliseconds; alerted upstreams are told of each
`SUMMARY_MILLISECONDS`.
*/
export const QUIET_SUMMARY_INTERVAL_MILLISECONDS = 1000;

/**
Period between ticks while nothing stands out, in milliseconds.
*/
export const QUIET_TICK_INTERVAL_MILLISECONDS = 500;

/**
Part of the threshold that evidence must reach to end quiet times: more than a single failure among usual ones gives.
*/
export const ACTIVE_EVIDENCE_FRACTION = 0.4;

/**
Failures, over a window of so many milliseconds, that alert the hosts to an upstream, and for how long. A request that is
far too late counts as a part of one.
*/
export const ALERT_FAILURES = 1.5;
export const ALERT_WINDOW_MILLISECONDS = 2000;
export const ALERT_DURATION_MILLISECONDS = 3000;
export const OVERDUE_ALERT_WEIGHT = 0.5;

/**
Shortest time between summaries when there is urgent evidence, in milliseconds.
*/
export const MIN_SUMMARY_INTERVAL_MILLISECONDS = 50;

/**
Failures or overdue requests at one upstream since the last summary that make the next one urgent.
*/
export const URGENT_EVENTS = 1;

/**
Time constants of the decaying windows, in milliseconds: the instant one follows the first failures that come everywhere
at once, the short one follows a change of the whole service, the long
one holds the usual rates of a service with little traffic.
*/
export const INSTANT_WINDOW_MILLISECONDS = 250;
export const SHORT_WINDOW_MILLISECONDS = 1000;
export const LONG_WINDOW_MILLISECONDS = 20_000;

/**
Time constant of the windows by host, in milliseconds.
*/
export const HOST_REQUESTS_WINDOW_MILLISECONDS = 5000;

/**
Share of the peers left out of the baseline because they look worst, so that a few sick ones don't hide another. Small:
leaving out many makes the rest look better than they are, and healthy upstreams worse than the rest.
*/
export const TRIMMED_FRACTION = 0.1;

/**
Share of upstreams that may look sick at once. Above it the cause is shared: overload, or something they all depend on.
*/
export const SHARED_CAUSE_FRACTION = 0.34;

/**
Requests that the instant window counts at least: a single failure among a few requests is no rate.
*/
export const MIN_INSTANT_REQUESTS = 10;

/**
Ratio of the service's median latency, over the short window to the long one, at which the whole service is slow.
*/
export const SERVICE_SLOWDOWN_RATIO = 1.6;

/**
Factor by which the present rate of a symptom must exceed the normal one: evidence alone may be older than a change of
the whole service.
*/
export const SHORT_RATE_RATIO = 1.25;

/**
Factor by which the rate in the instant window must exceed the normal one when an ejection is asked for, and the rate
above which no more is needed.
*/
export const INSTANT_RATE_RATIO = 2;
export const MAX_REQUIRED_INSTANT_RATE = 0.5;

/**
Requests in a window of the peers below which their latencies say nothing.
*/
export const MIN_PEER_SAMPLES = 20;

/**
Smallest excess over the peers' median that counts as slow, in milliseconds: covers the way between failure domains.
*/
export const MIN_SLOW_EXCESS_MILLISECONDS = 8;

/**
A request is stalled when it takes this many times the peers' 90th percentile.
*/
export const STALL_RATIO = 4;

/**
Ages, as multiples of this host's own 90th percentile, at which a request still in flight is reported as it stands.
*/
export const OVERDUE_RATIOS = [3, 6] as const;

/**
Time constant of a host's own usual latencies, in milliseconds.
*/
export const USUAL_LATENCY_WINDOW_MILLISECONDS = 5000;

/**
Ramp of a cold upstream, in milliseconds. Its latency is no evidence before that.
*/
export const RAMP_DURATION_MILLISECONDS = 10_000;

/**
Parts that the hosts are divided into, to find faults of the path of some of them.
*/
export const HOST_PARTITIONS = 4;

/**
Part of the threshold that the evidence of the hosts outside any one group must reach.
*/
export const MIN_OUTSIDE_EVIDENCE_FRACTION = 0.5;

/**
How long a host steers away from an upstream that it alone can't reach, in milliseconds; doubles up to the ceiling.
*/
export const INITIAL_STEERING_MILLISECONDS = 5000;
export const MAX_STEERING_MILLISECONDS = 60_000;

/**
How long it must look like a path fault before the host steers away, in milliseconds: longer than a summary
period, so that the other hosts' evidence about a sick upstream arrives first. Else every host would steer away at the first failures, and
no evidence would be left to eject it.
*/
export const STEERING_DELAY_MILLISECONDS = 400;

/**
Requests of other hosts, in the window by host, below which they can't tell a path fault from a sick upstream.
*/
export const MIN_OUTSIDE_REQUESTS = 5;

/**
Wait before a request for a grant is sent again when no answer came, in milliseconds.
*/
export const GRANT_TIMEOUT_MILLISECONDS = 1000;

/**
Time in service after which earlier ejections are forgotten, in milliseconds.
*/
export const EJECTION_COUNT_RESET_MILLISECONDS = 300_000;

/**
Part of a threshold below which the evidence of other hosts says that they reach the upstream.
*/
export const MAX_HEALTHY_OUTSIDE_FRACTION = 0.2;

/**
Share of upstreams that a host alone can't reach above which its own network is at fault.
*/
export const SELF_FAULT_FRACTION = 0.5;

/**
Parts of the threshold: what makes an upstream a suspect, what ends a trial, and what re-admission must be below.
*/
export const SUSPECT_EVIDENCE_FRACTION = 0.5;
export const TRIAL_FAILURE_EVIDENCE_FRACTION = 0.5;
export const READMISSION_EVIDENCE_FRACTION = 0.25;

/**
Ceiling of evidence as a multiple of the threshold.
*/
export const MAX_EVIDENCE_RATIO = 1.5;

/**
Good requests on trial that one bad one outweighs.
*/
export const TRIAL_FAILURE_PENALTY = 3;

/**
Time without a summary after which a host no longer counts among the carriers, in milliseconds.
*/
export const SILENT_HOST_MILLISECONDS = 30_000;
