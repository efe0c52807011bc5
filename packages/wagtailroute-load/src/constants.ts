/**
Bounds of a load run.
*/

/**
Greatest number of requests of one run: each one's outcome is kept until the end.
*/
export const REQUESTS = 2_000_000;

/**
Greatest number of requests under way.
*/
export const CONCURRENCY = 20_000;

/**
Greatest body in bytes of one request, and of one generated answer.
*/
export const BODY_BYTES = 16_777_216;

/**
Body in bytes above which it is generated while it is sent.
*/
export const BUFFERED_BODY_BYTES = 65_536;

/**
Longest wait in milliseconds for an answer, where the mix names none.
*/
export const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/**
Time in milliseconds that a request may take beyond the deadline it told: the answer to a passed deadline is on its way.
*/
export const TIMEOUT_MARGIN_MILLISECONDS = 1000;

/**
Time in milliseconds between two progress records.
*/
export const PROGRESS_MILLISECONDS = 1000;

/**
Wait in milliseconds below which the loop turns instead of using a timer: timers are a millisecond coarse.
*/
export const TIMER_MILLISECONDS = 2;

/**
Greatest latency in microseconds that the histogram tells apart.
*/
export const GREATEST_LATENCY_MICROSECONDS = 600_000_000;

/**
Greatest number of wrong answers or outcomes that are described; all are counted.
*/
export const DESCRIBED_WRONGS = 10;

/**
Longest wait in milliseconds for a stand-in or the directory.
*/
export const CONTROL_TIMEOUT_MILLISECONDS = 5000;
