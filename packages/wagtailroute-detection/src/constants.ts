/**
Times and limits of detection that both operating points share. Parts of a threshold refer to
`OperatingPoint.threshold`, the evidence that asks for an ejection.
*/

/**
Interval between ticks while something stands out, in milliseconds.
*/
export const TICK_INTERVAL_MILLISECONDS = 100;

/**
Interval between summaries of alerted upstreams, in milliseconds.
*/
export const ALERTED_SUMMARY_INTERVAL_MILLISECONDS = 250;

/**
Interval between full summaries of a host while nothing stands out, in milliseconds. Alerted upstreams are summarized
every `ALERTED_SUMMARY_INTERVAL_MILLISECONDS`.
*/
export const QUIET_SUMMARY_INTERVAL_MILLISECONDS = 1000;

/**
Interval between ticks while nothing stands out, in milliseconds.
*/
export const QUIET_TICK_INTERVAL_MILLISECONDS = 500;

/**
Fraction of the threshold at which evidence makes ticks frequent. A single failure among the usual ones yields less.
*/
export const ACTIVE_EVIDENCE_FRACTION = 0.4;

/**
Weight of failures, in a window that decays with the given time constant, that alerts the hosts to an upstream, and how
long the alert lasts. A failure weighs 1; a request that takes several times the usual time weighs less.
*/
export const ALERT_FAILURES = 1.5;
export const ALERT_WINDOW_MILLISECONDS = 2000;
export const ALERT_DURATION_MILLISECONDS = 3000;
export const OVERDUE_ALERT_WEIGHT = 0.5;

/**
Shortest interval between summaries when there is urgent evidence, in milliseconds.
*/
export const MIN_SUMMARY_INTERVAL_MILLISECONDS = 50;

/**
Failures and overdue reports of one upstream since the last summary that make the next summary urgent.
*/
export const URGENT_EVENTS = 1;

/**
Time constants of the decaying windows, in milliseconds. The instant window follows the first failures that occur at all
upstreams at once, the short one follows a change of the whole service, and the long one holds the usual rates of a
service with little traffic.
*/
export const INSTANT_WINDOW_MILLISECONDS = 250;
export const SHORT_WINDOW_MILLISECONDS = 1000;
export const LONG_WINDOW_MILLISECONDS = 20_000;

/**
Time constant of the windows that count requests by host, in milliseconds.
*/
export const HOST_REQUESTS_WINDOW_MILLISECONDS = 5000;

/**
Fraction of the peers left out of the baseline because they look worst, so that a few sick ones don't hide another.
Leaving out many makes the rest look better than they are, and healthy upstreams worse than the rest.
*/
export const TRIMMED_FRACTION = 0.1;

/**
Fraction of the upstreams that may look sick at once. Above it the cause is shared: overload, or a common dependency.
*/
export const SHARED_CAUSE_FRACTION = 0.34;

/**
Smallest number of requests that the rate of the instant window is divided by: a single failure among a few requests
gives no useful rate.
*/
export const MIN_INSTANT_REQUESTS = 10;

/**
Ratio of the service's median latency in the short window to that in the long one at which the whole service is slow.
*/
export const SERVICE_SLOWDOWN_RATIO = 1.6;

/**
Factor by which the rate of a symptom in the short window must exceed the normal rate: the evidence may be older than a
change of the whole service.
*/
export const SHORT_RATE_RATIO = 1.25;

/**
Factor by which the rate of a symptom in the instant window must exceed the normal rate for an ejection to be requested.
A rate of `MAX_REQUIRED_INSTANT_RATE` is always enough.
*/
export const INSTANT_RATE_RATIO = 2;
export const MAX_REQUIRED_INSTANT_RATE = 0.5;

/**
Samples in a window of the peers below which their latencies give no limits.
*/
export const MIN_PEER_SAMPLES = 20;

/**
Smallest excess over the peers' median latency that counts as slow, in milliseconds. It covers the network delay between
failure domains.
*/
export const MIN_SLOW_EXCESS_MILLISECONDS = 8;

/**
Multiple of the slow limit above which a request counts as stalled.
*/
export const STALL_RATIO = 4;

/**
Ages, as multiples of this host's own 90th percentile, at which a request still in flight is reported as overdue.
*/
export const OVERDUE_RATIOS = [3, 6] as const;

/**
Time constant of a host's own usual latencies, in milliseconds.
*/
export const USUAL_LATENCY_WINDOW_MILLISECONDS = 5000;

/**
Ramp-up time of a cold upstream, in milliseconds. Before it ends, the upstream's latency is no evidence.
*/
export const RAMP_DURATION_MILLISECONDS = 10_000;

/**
Number of equal parts that the hosts are divided into, to find network path faults that concern some of the hosts.
*/
export const HOST_PARTITIONS = 4;

/**
Fraction of the threshold that the evidence of the hosts outside any one group must reach.
*/
export const MIN_OUTSIDE_EVIDENCE_FRACTION = 0.5;

/**
How long a host first steers away from an upstream that it alone can't reach, in milliseconds. Each consecutive time
doubles it, up to the maximum.
*/
export const INITIAL_STEERING_MILLISECONDS = 5000;
export const MAX_STEERING_MILLISECONDS = 60_000;

/**
How long a path fault must be suspected before the host steers away, in milliseconds. It exceeds the summary interval, so
that the other hosts' evidence about a sick upstream arrives first. Otherwise every host would steer away at the first
failures, and no evidence would be left to eject the upstream.
*/
export const STEERING_DELAY_MILLISECONDS = 400;

/**
Requests of other hosts, in the windows by host, below which they can't distinguish a path fault from a sick upstream.
*/
export const MIN_OUTSIDE_REQUESTS = 5;

/**
Time after which a grant request without an answer is sent again, in milliseconds.
*/
export const GRANT_TIMEOUT_MILLISECONDS = 1000;

/**
Time in service after which the count of consecutive ejections starts over, in milliseconds.
*/
export const EJECTION_COUNT_RESET_MILLISECONDS = 300_000;

/**
Fraction of the threshold below which the evidence of other hosts shows that they reach the upstream.
*/
export const MAX_HEALTHY_OUTSIDE_FRACTION = 0.2;

/**
Fraction of the upstreams that a host alone can't reach above which the host's own network is at fault.
*/
export const SELF_FAULT_FRACTION = 0.5;

/**
Fractions of the threshold: at the first an upstream is a suspect, at the second a trial fails, and re-admission is
requested only below the third.
*/
export const SUSPECT_EVIDENCE_FRACTION = 0.5;
export const TRIAL_FAILURE_EVIDENCE_FRACTION = 0.5;
export const READMISSION_EVIDENCE_FRACTION = 0.25;

/**
Largest evidence that is kept, as a multiple of the threshold.
*/
export const MAX_EVIDENCE_RATIO = 1.5;

/**
Number of successful trial requests that one failed or slow trial request cancels.
*/
export const TRIAL_FAILURE_PENALTY = 3;

/**
Time without a summary after which a host no longer counts among the carriers of the service, in milliseconds.
*/
export const SILENT_HOST_MILLISECONDS = 30_000;
