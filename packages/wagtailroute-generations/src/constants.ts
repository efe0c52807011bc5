/**
Bounds of the replicated state.
*/

/**
Retirements kept: at 37,000 restarts of upstreams a day about two hours' worth, far longer than a heartbeat can be held up.
*/
export const MAX_RETIREMENTS = 4096;
