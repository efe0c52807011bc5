/**
Bounds and exit codes of the command line.
*/

/**
Exit code for a request that was refused or a host that could not be asked.
*/
export const EXIT_REFUSED = 1;

/**
Exit code for a bad or unknown setting.
*/
export const EXIT_BAD_SETTING = 2;

/**
Longest wait in milliseconds for one answer of an admin port.
*/
export const ANSWER_TIMEOUT_MILLISECONDS = 10_000;

/**
Greatest answer in bytes that is read from an admin port.
*/
export const ANSWER_BYTES = 268_435_456;

/**
Greatest file of entries in bytes.
*/
export const ENTRIES_FILE_BYTES = 16_777_216;

/**
How often a change is sent before it is given up.
*/
export const CHANGE_ATTEMPTS = 6;

/**
Wait in milliseconds before the first resend of a change; it doubles with each further one.
*/
export const CHANGE_WAIT_MILLISECONDS = 200;

/**
Time in milliseconds between two questions whether a change is in force.
*/
export const IN_FORCE_POLL_MILLISECONDS = 200;

/**
Longest wait in milliseconds for a change to be in force on every host.
*/
export const IN_FORCE_MILLISECONDS = 15_000;
