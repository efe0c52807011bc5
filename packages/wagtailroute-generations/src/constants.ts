/**
Limits of the replicated state.
*/

/**
Retirements that are kept: about two hours' worth at 37,000 restarts of upstreams a day, far longer than a heartbeat can be delayed.
*/
export const MAX_RETIREMENTS = 4096;
