/**
Bounds of the table of instances.
*/

/**
Milliseconds of silence after which an instance is forgotten. Longer than a cut between an upstream and the control hosts
lasts as a rule: meanwhile requests still reach it.
*/
export const INSTANCE_EXPIRY_MILLISECONDS = 60_000;

/**
Ended instances that are remembered, so that a heartbeat that was held up brings none of them back: far more than end within the seconds
that one can be held up.
*/
export const MAX_RETIREMENTS = 4096;

/**
Milliseconds without a heartbeat after which an instance gives its address up to one that started before it: three heartbeats were missed.
Until then the other's word was held up on its way, or its clock is behind.
*/
export const ADDRESS_TAKEOVER_MILLISECONDS = 5000;

/**
Servers whose newest start is remembered: twice as many as the largest fleet has upstreams.
*/
export const MAX_SERVERS = 280_000;
