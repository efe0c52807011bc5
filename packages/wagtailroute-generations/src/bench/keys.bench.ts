/**
What it costs to find the organisation that holds a key, by the number of keys. A look-up must stay flat: it is on the way of every request.
*/
import process from 'node:process';
import * as generations from '../index.ts';

const COUNTS = [85, 10_000, 1_400_000];
const LOOK_UPS = 200_000;
/**
Times as long as with the fewest keys that a look-up may take with the most: what does not fit into a processor's caches is a few times slower.
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
Measures.
*/
export async function run() {
	// The first measurement would include compiling.
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
	const before = getHeap();
	const startedAt = performance.now();
	const find = generations.createOrganisationFinder({organisations});
	const millisecondsToBuild = performance.now() - startedAt;
	const bytesPerKey = (getHeap() - before) / count;
	const lookedUpAt = performance.now();
	let found = 0;
	for (let look = 0; look < LOOK_UPS; look++) {
		found += find(`key-${look % count}-4f1d8a`) === undefined ? 0 : 1;
	}

	const nanosecondsPerLookUp = (performance.now() - lookedUpAt) * NANOSECONDS_PER_MILLISECOND / found;
	return {
		keys: count,
		nanosecondsPerLookUp: Math.round(nanosecondsPerLookUp),
		bytesPerKey: Math.round(bytesPerKey),
		millisecondsToBuild: Math.round(millisecondsToBuild),
	};
}

function getHeap(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}
