/**
Bounds of the table of instances.
*/

/**
Milliseconds of silence after which an instance is forgotten. Longer than a cut between an upstream and the control hosts
lasts as a rule: meanwhile requests still reach it.
*/
export const FORGET_MILLISECONDS = 60_000;
