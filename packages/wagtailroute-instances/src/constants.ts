/**
Limits and timeouts of the table of instances.
*/

/**
Milliseconds without a heartbeat after which an instance is removed from the table. Longer than most interruptions between an upstream
and the control hosts: requests can still reach the upstream during one.
*/
export const INSTANCE_EXPIRY_MILLISECONDS = 60_000;

/**
Retirements that are kept, so that a delayed heartbeat does not bring a retired instance back. Far more than the number of instances
that end within the few seconds for which a heartbeat can be delayed.
*/
export const MAX_RETIREMENTS = 4096;

/**
Milliseconds without a heartbeat after which an instance loses its address to an instance that started earlier: it has missed three
heartbeats. Until then, the heartbeat of the earlier instance is assumed to be delayed, or the clock of its server to be behind.
*/
export const ADDRESS_TAKEOVER_MILLISECONDS = 5000;

/**
Servers whose latest start is kept: twice as many as the largest fleet has upstreams.
*/
export const MAX_SERVERS = 280_000;
