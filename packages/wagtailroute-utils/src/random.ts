/**
Seeded random numbers, so that every decision can be replayed from its seed.
*/
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

// The generator gives signed 32-bit integers: scaled to [-0.5, 0.5), then moved to [0, 1).
const FLOAT_SCALE = 2 ** -32;
const HALF = 0.5;

/**
Returns the next number, uniform in [0, 1).
*/
export type Random = () => number;

/**
Creates a source of numbers that is the same for the same seed.
*/
export function createRandom(seed: number): Random {
	const generator = xoroshiro.xoroshiro128plus(seed);
	return () => (generator.next() * FLOAT_SCALE) + HALF;
}

/**
Returns a uniform integer in [0, bound).
*/
export function pickIndex(random: Random, bound: number): number {
	return Math.floor(random() * bound);
}

/**
Returns a shuffled copy (Fisher-Yates).
*/
export function shuffle<Item>(random: Random, items: readonly Item[]): Item[] {
	const shuffled = [...items];
	for (let last = shuffled.length - 1; last > 0; last--) {
		const index = pickIndex(random, last + 1);
		const moved = shuffled[last]!;
		shuffled[last] = shuffled[index]!;
		shuffled[index] = moved;
	}

	return shuffled;
}
