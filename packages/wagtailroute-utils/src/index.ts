/**
Small helpers that every package may use: invariants, teardowns and seeded random numbers.
*/
export {BrokenInvariant, invariant} from './invariant.ts';
export {mergeTeardowns, type Teardown} from './teardown.ts';
export {
	createRandom,
	pickIndex,
	type Random,
	shuffle,
} from './random.ts';
