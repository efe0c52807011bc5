/**
Differential tests: the incremental statistics are compared with naive versions that recompute them from the full history.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as latencies from '../../latencies.ts';
import * as symptoms from '../../symptoms.ts';
import * as windows from '../../windows.ts';

const SEED = 11;

const SAMPLES = fc.array(
	fc.record({good: fc.nat({max: 20}), bad: fc.nat({max: 5}), elapsed: fc.integer({min: 10, max: 500})}),
	{minLength: 1, maxLength: 60},
);

test('the evidence is the largest sum of log likelihood ratios over any suffix of the history', t => {
	t.log(`seed ${SEED}`);
	const normalRate = 0.01;
	fc.assert(fc.property(SAMPLES, history => {
		let evidence = symptoms.EMPTY_EVIDENCE.errors;
		const ratios: number[][] = symptoms.ALTERNATIVES.errors.map(() => []);
		for (const {good, bad} of history) {
			const sample = {count: good + bad, bad};
			evidence = symptoms.addSample(evidence, 'errors', {
				sample,
				normalRate,
				maxGain: 8,
				maxEvidence: Infinity,
			});
			for (const [index, extra] of symptoms.ALTERNATIVES.errors.entries()) {
				ratios[index]!.push(Math.min(8, naiveRatio(sample, normalRate, extra)));
				t.true(Math.abs(evidence[index]! - naiveLargestSuffix(ratios[index]!)) < 1e-6);
			}
		}
	}), {seed: SEED, numRuns: 100});
});

test('a window is the sum of its history, with each sample weighted by its age', t => {
	t.log(`seed ${SEED}`);
	fc.assert(fc.property(SAMPLES, history => {
		let window = windows.EMPTY_WINDOWS;
		const ages: Array<{age: number; bad: number; count: number}> = [];
		for (const {good, bad, elapsed} of history) {
			const errors = {count: good + bad, bad};
			window = windows.addSamples(window, new Map([['host', {...symptoms.EMPTY_SAMPLES, errors}]]), elapsed);
			for (const sample of ages) {
				sample.age += elapsed;
			}

			ages.push({age: 0, ...errors});
		}

		let bad = 0;
		for (const sample of ages) {
			bad += sample.bad * Math.exp(-sample.age / 1000);
		}

		t.true(Math.abs(window.short.samples.errors.bad - bad) < 1e-6);
	}), {seed: SEED, numRuns: 100});
});

test('a window of latencies is the weighted sum of its history, and subtracting a peer from a sum leaves the others', t => {
	t.log(`seed ${SEED}`);
	const pairs = fc.array(fc.tuple(fc.nat({max: latencies.BUCKET_COUNT + 3}), fc.nat({max: 9})), {maxLength: 8});
	const history = fc.array(fc.record({pairs, elapsed: fc.integer({min: 10, max: 500})}), {minLength: 1, maxLength: 30});
	fc.assert(fc.property(history, steps => {
		let window = windows.EMPTY_WINDOWS;
		for (const {pairs: added, elapsed} of steps) {
			window = windows.addLatencies(window, added.flat(), elapsed);
		}

		const expected = naiveLatencies(steps, 1000);
		t.true(window.short.latencies.every((count, bucket) => Math.abs(count - expected[bucket]!) < 1e-6));
		const sum = latencies.sumHistograms([window.short.latencies, window.long.latencies]);
		const rest = latencies.subtractHistogram(sum, window.long.latencies);
		t.true(rest.every((count, bucket) => Math.abs(count - expected[bucket]!) < 1e-6));
		t.is(latencies.getMergedMedianBucket(window.short.latencies, window.long.latencies), latencies.getQuantileBucket(sum, 0.5));
	}), {seed: SEED, numRuns: 100});
});

test('the estimate of a quantile by buckets is at most one bucket above the exact one', t => {
	t.log(`seed ${SEED}`);
	const values = fc.array(fc.double({min: 0.6, max: 60_000, noNaN: true}), {minLength: 1, maxLength: 80});
	fc.assert(fc.property(values, fc.double({min: 0.05, max: 1, noNaN: true}), (all, quantile) => {
		const histogram = [...latencies.EMPTY_HISTOGRAM];
		for (const value of all) {
			histogram[latencies.getBucket(value)]!++;
		}

		const exact = all.toSorted((left, right) => left - right)[Math.ceil(all.length * quantile) - 1]!;
		const estimate = latencies.getQuantile(histogram, quantile);
		t.true(estimate >= exact * 0.999 && estimate <= exact * 1.2);
	}), {seed: SEED, numRuns: 200});
});

function naiveRatio({count, bad}: symptoms.Sample, normal: number, extra: number): number {
	const sick = normal + ((1 - normal) * extra);
	let ratio = 0;
	for (let request = 0; request < count; request++) {
		ratio += request < bad ? Math.log(sick) - Math.log(normal) : Math.log(1 - sick) - Math.log(1 - normal);
	}

	return ratio;
}

function naiveLargestSuffix(ratios: readonly number[]): number {
	let largest = 0;
	for (let from = 0; from < ratios.length; from++) {
		let total = 0;
		for (const ratio of ratios.slice(from)) {
			total += ratio;
		}

		largest = Math.max(largest, total);
	}

	return largest;
}

function naiveLatencies(
	steps: ReadonlyArray<{readonly pairs: ReadonlyArray<readonly [number, number]>; readonly elapsed: number}>,
	windowMilliseconds: number,
): readonly number[] {
	const counts = Array.from({length: latencies.BUCKET_COUNT}, () => 0);
	for (const [index, {pairs}] of steps.entries()) {
		const age = steps.slice(index + 1).reduce((sum, {elapsed}) => sum + elapsed, 0);
		const known = pairs.filter(([bucket]) => bucket < latencies.BUCKET_COUNT);
		for (const [bucket, count] of known) {
			counts[bucket]! += count * Math.exp(-age / windowMilliseconds);
		}
	}

	return counts;
}
