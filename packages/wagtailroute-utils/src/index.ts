/**
Small helpers that every package may use: invariants, teardowns, detached tasks, drains, seeded random numbers, listening, probing.
*/
export {setBounded} from './bounded.ts';
export {runDetached} from './detached.ts';
export {
	type Discard, type DiscardLimits, LINGER_MILLISECONDS, startDiscard,
} from './discards.ts';
export {createDrain} from './draining.ts';
export {BrokenInvariant, invariant} from './invariant.ts';
export {createLingeringClose, MAX_LINGER_MILLISECONDS, MAX_LINGERING_CONNECTIONS} from './lingering.ts';
export {closeServer, listen, type ListenAddress} from './listening.ts';
export {isRefusing} from './probing.ts';
export {mergeTeardowns, type Teardown} from './teardown.ts';
export {
	coalesce,
	createRepeat, repeat, schedule, scheduleAfterReading,
} from './timers.ts';
export {
	createRandom,
	pickIndex,
	type Random,
	shuffle,
} from './random.ts';
