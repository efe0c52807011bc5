/**
Cost of finding the organisation that holds a key, by the number of keys. The cost of a look-up must not grow with the number of keys,
since each request needs one.
*/
import process from 'node:process';
import * as generations from '../index.ts';

const COUNTS = [85, 10_000, 1_400_000];
const LOOK_UPS = 200_000;
/**
Maximum ratio of the look-up times with the most and the fewest keys. Data that does not fit into the processor's caches is a few times
slower.
*/
const MAX_LOOK_UP_RATIO = 3;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

type Row = {
	readonly keys: number;
	readonly nanosecondsPerLookUp: number;
	readonly bytesPerKey: number;
	readonly millisecondsToBuild: number;
};

/**
Measures all numbers of keys; `broken` names the exceeded limit.
*/
export async function run() {
	// Warm-up run: the first measurement would include the compilation of the code.
	measure(COUNTS[1]!);
	const rows = COUNTS.map(count => measure(count));
	const ratio = rows.at(-1)!.nanosecondsPerLookUp / rows[0]!.nanosecondsPerLookUp;
	return {
		title: 'Organisations by their keys',
		rows,
		broken: ratio > MAX_LOOK_UP_RATIO ? [`A look-up among ${COUNTS.at(-1)} keys takes ${ratio.toFixed(1)} times as long as among ${COUNTS[0]}.`] : [],
	};
}

function measure(count: number): Row {
	const organisations = Array.from({length: count}, (_item, index): generations.GenerationOrganisation => ({
		name: `organisation-${index}`, keys: [`key-${index}-4f1d8a`], ratePerSecond: 10, burst: 10,
	}));
	const before = getHeapBytes();
	const startedAt = performance.now();
	const find = generations.createOrganisationFinder({organisations});
	const millisecondsToBuild = performance.now() - startedAt;
	const bytesPerKey = (getHeapBytes() - before) / count;
	const lookedUpAt = performance.now();
	let found = 0;
	for (let index = 0; index < LOOK_UPS; index++) {
		found += find(`key-${index % count}-4f1d8a`) === undefined ? 0 : 1;
	}

	const nanosecondsPerLookUp = (performance.now() - lookedUpAt) * NANOSECONDS_PER_MILLISECOND / found;
	return {
		keys: count,
		nanosecondsPerLookUp: Math.round(nanosecondsPerLookUp),
		bytesPerKey: Math.round(bytesPerKey),
		millisecondsToBuild: Math.round(millisecondsToBuild),
	};
}

function getHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}
