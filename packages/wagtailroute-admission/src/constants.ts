/**
Limits of admission.
*/

/**
Answers that a window holds at least. With fewer, the median of answers that vary as usual is off by a fifth.
*/
export const MIN_WINDOW_SAMPLES = 64;

/**
Answers of a window whose latency is kept: the latest.
*/
export const MAX_WINDOW_SAMPLES = 256;

/**
Shortest window, in ms.
*/
export const MIN_WINDOW_MILLISECONDS = 250;

/**
Windows whose mean counts as a least latency. The least of single windows would be that of chance: in a minute some window
is far below the usual, and the limit would collapse.
*/
export const LEAST_LATENCY_WINDOWS = 4;

/**
How much longer than its least a typical answer may take before the limit shrinks, as a factor.
*/
export const LATENCY_TOLERANCE = 1.3;

/**
Least factor by which one window shrinks the limit.
*/
export const MIN_GRADIENT = 0.7;

/**
Share of sheds and timeouts in a window above which the limit shrinks whatever the latency.
*/
export const MAX_OVERLOAD_SHARE = 0.05;

/**
Factor by which sheds and timeouts shrink the limit.
*/
export const OVERLOAD_FACTOR = 0.9;

/**
Part of the way that the limit moves towards its new value in one window.
*/
export const LIMIT_SMOOTHING = 0.3;

/**
Limit at the start, unless the cap is lower.
*/
export const START_LIMIT = 8;

/**
Part of the limit that is left while the least latency is measured anew.
*/
export const PROBE_FACTOR = 0.7;

/**
How long a least latency counts, in ms. The two latest spans are held.
*/
export const LEAST_LATENCY_SPAN_MILLISECONDS = 30_000;

/**
How long a least latency counts at least, in windows: a probe takes five windows, so that it costs a twentieth of the time
at most however slow the answers are.
*/
export const LEAST_LATENCY_SPAN_WINDOWS = 100;

/**
Burst of the rate limit, in seconds' worth of its rate.
*/
export const BURST_SECONDS = 0.1;

/**
Weight of a new sample in the usual latency.
*/
export const LATENCY_WEIGHT = 0.05;

/**
Default bound of waiting requests.
*/
export const MAX_WAITING = 1000;

/**
Free entries of organisations kept for reuse.
*/
export const MAX_FREE_MEMBERS = 1024;

/**
Idle organisations remembered because they were served ahead of the rest.
*/
export const MAX_OWING_MEMBERS = 1024;
