/**
Limits, intervals and exit codes of the command line.
*/

/**
Exit code for every failure without a code of its own.
*/
export const EXIT_FAILURE = 1;

/**
Exit code for a bad or unknown setting, command or argument.
*/
export const EXIT_BAD_SETTING = 2;

/**
Exit code of a check that ends with warnings only.
*/
export const EXIT_WARNINGS = 2;

/**
Time in which the whole answer of an admin port must arrive.
*/
export const ANSWER_TIMEOUT_MILLISECONDS = 10_000;

/**
Maximum size of the body of an answer of an admin port.
*/
export const MAX_ANSWER_BYTES = 268_435_456;

/**
Maximum size of a file of catalogue entries.
*/
export const MAX_ENTRIES_FILE_BYTES = 16_777_216;

/**
Maximum number of times that a change is sent, the first one included.
*/
export const MAX_CHANGE_ATTEMPTS = 6;

/**
Delay before the first retry of a change. It doubles with each further retry.
*/
export const CHANGE_RETRY_DELAY_MILLISECONDS = 200;

/**
Interval between two requests that ask whether a change is in force.
*/
export const IN_FORCE_POLL_INTERVAL_MILLISECONDS = 200;

/**
Time after which the command no longer waits for a change to be in force on every host.
*/
export const IN_FORCE_TIMEOUT_MILLISECONDS = 15_000;

/**
Time that a start still has once a signal has asked for a stop.
*/
export const MAX_STOPPED_START_MILLISECONDS = 500;
