/**
Bounds of the catalogue. A stranger can't reach it, but an operator's script in a loop can, so everything is bounded.
*/

/**
Longest name of a service or an owner, in characters.
*/
export const MAX_NAME_LENGTH = 128;

/**
Most routes of one entry.
*/
export const MAX_ROUTES_PER_ENTRY = 200;

/**
Longest path prefix, in characters.
*/
export const MAX_PREFIX_LENGTH = 512;

/**
Most entries of the catalogue. The design size is 6,900 services.
*/
export const MAX_ENTRIES = 20_000;

/**
Largest entry as text, in bytes.
*/
export const MAX_ENTRY_BYTES = 131_072;

/**
Answers kept for a resend with the same Change-Id: at 15,000 changes a day, more than a day's.
*/
export const MAX_STORED_ANSWERS = 20_000;

/**
Changes kept in the history of one entry.
*/
export const MAX_HISTORY_ITEMS = 20;

/**
Removals kept for deltas; a host that is further behind gets the whole catalogue.
*/
export const MAX_REMOVALS = 1000;
