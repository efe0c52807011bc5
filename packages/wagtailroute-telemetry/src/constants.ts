/**
Bounds of logs and metrics.
*/

/**
Lines of one kind that are written in a second. A line costs about 20 microseconds: ten kinds at this rate cost 0.6% of a core.
*/
export const MAX_LINES_PER_SECOND = 30;

/**
The same for failures and refusals.
*/
export const MAX_URGENT_LINES_PER_SECOND = 60;

/**
Seconds of unused rate that are saved up for a burst.
*/
export const BURST_SECONDS = 4;

/**
Bytes that may wait for standard output; beyond it lines are dropped.
*/
export const MAX_BUFFERED_LOG_BYTES = 1_048_576;

/**
Milliseconds in a second.
*/
export const MILLISECONDS_PER_SECOND = 1000;

/**
Upper bounds of the latency histograms in milliseconds: doubled from a fast answer up to the longest timeout in use.
*/
export const LATENCY_BUCKETS_MILLISECONDS = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400];
