/**
Bounds and settings of the fuzzing.
*/

/**
Inputs sent side by side before the target is examined.
*/
export const BATCH_INPUTS = 40;

/**
Milliseconds that an input may keep its connection without an answer; many mutated requests never get one.
*/
export const INPUT_MILLISECONDS = 400;

/**
Milliseconds in which the target must answer a good request.
*/
export const GOOD_MILLISECONDS = 10_000;

/**
Bytes of resident memory that a target may gain over a campaign, once it is warm. It follows the collector's habits: what is
held is measured by the heap after a collection.
*/
export const MAXIMUM_RESIDENT_GROWTH_BYTES = 256 * 1024 * 1024;

/**
Bytes of heap after a collection that a target may gain over a campaign, once it is warm.
*/
export const MAXIMUM_HEAP_GROWTH_BYTES = 48 * 1024 * 1024;

/**
Batches after which a target counts as warm: its code is compiled, its pools are open.
*/
export const WARM_BATCHES = 20;

/**
Members, services or upstreams that a campaign may add to the target's tables: as many as the pool of names that inputs are
made from, with what mutations make of them.
*/
export const MAXIMUM_ADDED_MEMBERS = 2048;

/**
Bytes of the answer to a good request.
*/
export const GOOD_ANSWER_BYTES = 40_000;

/**
Milliseconds between the announcements of the good upstream.
*/
export const RENEW_MILLISECONDS = 2000;

/**
Name of the service that good requests are for; inputs never name it.
*/
export const GOOD_SERVICE = 'wholesome';

/**
Name of the service that inputs are about.
*/
export const DECOY_SERVICE = 'decoy';

/**
Token of the admin port of a target.
*/
export const TOKEN = 'fuzz-token';

/**
Secret of the fleet of a target.
*/
export const SECRET = 'fuzz-secret';

/**
First port of a target's three.
*/
export const FIRST_PORT = 27_100;
