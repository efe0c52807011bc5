/**
Bounds of the table of instances.
*/

/**
Milliseconds of silence after which an instance is forgotten. Longer than a cut between an upstream and the control hosts
lasts as a rule: meanwhile requests still reach it.
*/
export const FORGET_MILLISECONDS = 60_000;

/**
Ended instances that are remembered, so that a heartbeat that was held up brings none of them back: far more than end within the seconds
that one can be held up.
*/
export const RETIREMENTS_KEPT = 4096;
