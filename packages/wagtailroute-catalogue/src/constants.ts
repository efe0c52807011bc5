/**
Limits of the catalogue. Only operators can change it, but an operator's script may send changes in a loop, so every size is limited.
*/

/**
Maximum length of the name of a service or an owner, in characters.
*/
export const MAX_NAME_LENGTH = 128;

/**
Maximum number of routes of one entry.
*/
export const MAX_ROUTES_PER_ENTRY = 200;

/**
Maximum length of a path prefix, in characters.
*/
export const MAX_PREFIX_LENGTH = 512;

/**
Maximum number of entries of the catalogue. The design size is 6,900 services.
*/
export const MAX_ENTRIES = 20_000;

/**
Maximum size of an entry as text, in bytes.
*/
export const MAX_ENTRY_BYTES = 131_072;

/**
Answers stored to answer a resend with the same Change-Id: more than one day's at 15,000 changes a day.
*/
export const MAX_STORED_ANSWERS = 20_000;

/**
Changes kept in the history of one entry; the oldest are dropped.
*/
export const MAX_HISTORY_ITEMS = 20;

/**
Removals kept to create deltas; a host that is further behind gets the whole catalogue.
*/
export const MAX_REMOVALS = 1000;
