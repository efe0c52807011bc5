/**
Limits and weights of admission control.
*/

/**
Minimum number of answers in a window. With fewer, the error of the median reaches a fifth at the usual variance of
latencies.
*/
export const MIN_WINDOW_SAMPLES = 64;

/**
Maximum number of latencies kept in a window: those of the latest answers.
*/
export const MAX_WINDOW_SAMPLES = 256;

/**
Minimum length of a window.
*/
export const MIN_WINDOW_MILLISECONDS = 250;

/**
Number of consecutive windows whose mean median is one sample of the baseline latency. With single windows the minimum would
be set by chance: within a minute some window is far below the usual, and the limit would collapse.
*/
export const BASELINE_LATENCY_WINDOWS = 4;

/**
Ratio of the median latency to the baseline above which the limit shrinks.
*/
export const LATENCY_TOLERANCE_RATIO = 1.3;

/**
Minimum gradient: the target of the limit in one window is at least this factor times the limit.
*/
export const MIN_GRADIENT = 0.7;

/**
Fraction of sheds and timeouts in a window above which the limit shrinks regardless of latency.
*/
export const MAX_OVERLOAD_FRACTION = 0.05;

/**
Factor on the limit after a window with too many sheds and timeouts.
*/
export const OVERLOAD_DECREASE_FACTOR = 0.9;

/**
Fraction of the distance to its target that the limit moves in one window.
*/
export const LIMIT_SMOOTHING_WEIGHT = 0.3;

/**
Initial limit, unless the cap is lower.
*/
export const INITIAL_LIMIT = 8;

/**
Factor on the limit during a probe, which measures the baseline latency again.
*/
export const PROBE_LIMIT_FACTOR = 0.7;

/**
Minimum length of a span of the baseline latency. The minima of the two latest spans are kept.
*/
export const MIN_BASELINE_SPAN_MILLISECONDS = 30_000;

/**
Minimum length of a span of the baseline latency, in windows. A probe takes five windows, so it costs at most a twentieth of
the time however slow the answers are.
*/
export const MIN_BASELINE_SPAN_WINDOWS = 100;

/**
Default capacity of the token bucket, in seconds of its rate.
*/
export const DEFAULT_BURST_SECONDS = 0.1;

/**
Weight of a new sample in the exponentially weighted average of latencies.
*/
export const USUAL_LATENCY_WEIGHT = 0.05;

/**
Default maximum of waiting requests.
*/
export const DEFAULT_MAX_WAITING = 1000;

/**
Maximum number of unused flow objects that are kept for reuse.
*/
export const MAX_FREE_FLOWS = 1024;

/**
Maximum number of idle flows that are kept because their start tags are ahead of the virtual time.
*/
export const MAX_IDLE_FLOWS = 1024;
