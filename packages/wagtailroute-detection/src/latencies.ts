/**
Latencies as counts in logarithmic buckets: small, mergeable by addition, and exact enough (about 19% a bucket) to tell
a server that is twice as slow as its peers.
*/

/**
Buckets per doubling.
*/
const BUCKETS_PER_OCTAVE = 4;

/**
Upper end of the first bucket, in milliseconds.
*/
const FIRST_BUCKET_MILLISECONDS = 0.5;

/**
Number of buckets: the last one takes all above about 100 seconds.
*/
export const BUCKET_COUNT = 72;

/**
Counts by bucket, `BUCKET_COUNT` long.
*/
export type Histogram = readonly number[];

/**
A histogram without samples.
*/
export const EMPTY_HISTOGRAM: Histogram = createEmptyHistogram();

/**
Counts by bucket without the empty ones: pairs of bucket and count, flattened. A bucket may come several times.
*/
export type SparseHistogram = readonly number[];

/**
Bucket of a latency.
*/
export function getBucket(milliseconds: number): number {
	if (!(milliseconds > FIRST_BUCKET_MILLISECONDS)) {
		return 0;
	}

	const bucket = Math.ceil(Math.log2(milliseconds / FIRST_BUCKET_MILLISECONDS) * BUCKETS_PER_OCTAVE);
	return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
Upper end of a bucket in milliseconds.
*/
export function getBucketUpperBound(bucket: number): number {
	return FIRST_BUCKET_MILLISECONDS * (2 ** (bucket / BUCKETS_PER_OCTAVE));
}

/**
Scales a histogram and adds pairs to it.
*/
export function scaleAndAdd(histogram: Histogram, factor: number, added: SparseHistogram): Histogram {
	const next = [...histogram];
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		next[bucket]! *= factor;
	}

	for (let index = 0; index + 1 < added.length; index += 2) {
		const bucket = added[index]!;
		// A bucket that doesn't exist comes from a host of another version: dropped, not counted elsewhere.
		if (next[bucket] !== undefined) {
			next[bucket] += added[index + 1]!;
		}
	}

	return next;
}

/**
Adds up histograms.
*/
export function sumHistograms(all: Iterable<Histogram>): Histogram {
	const sum = [...EMPTY_HISTOGRAM];
	for (const histogram of all) {
		for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
			sum[bucket]! += histogram[bucket]!;
		}
	}

	return sum;
}

/**
Takes a histogram out of a sum that it is part of.
*/
export function subtractHistogram(sum: Histogram, part: Histogram): Histogram {
	const rest = [...sum];
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		rest[bucket]! -= part[bucket]!;
	}

	return rest;
}

/**
Number of samples.
*/
export function getSampleCount(histogram: Histogram): number {
	let total = 0;
	for (const count of histogram) {
		total += count;
	}

	return total;
}

/**
Bucket that holds the quantile; 0 when there are no samples.
*/
export function getQuantileBucket(histogram: Histogram, quantile: number, total = getSampleCount(histogram)): number {
	const wanted = total * quantile;
	let seen = 0;
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		seen += histogram[bucket]!;
		if (seen >= wanted && seen > 0) {
			return bucket;
		}
	}

	return 0;
}

/**
Upper end, in milliseconds, of the bucket that holds the quantile.
*/
export function getQuantile(histogram: Histogram, quantile: number): number {
	return getBucketUpperBound(getQuantileBucket(histogram, quantile));
}

/**
Bucket that holds the median of two histograms together; 0 when there are no samples.
*/
export function getMergedMedianBucket(left: Histogram, right: Histogram, total = getSampleCount(left) + getSampleCount(right)): number {
	const wanted = total / 2;
	let seen = 0;
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		seen += left[bucket]! + right[bucket]!;
		if (seen >= wanted && seen > 0) {
			return bucket;
		}
	}

	return 0;
}

/**
Number of samples in pairs, and of those in buckets above the given one.
*/
export function countSparseSamples(pairs: SparseHistogram, bucket: number): {readonly count: number; readonly above: number} {
	let count = 0;
	let above = 0;
	for (let index = 0; index + 1 < pairs.length; index += 2) {
		const samples = pairs[index]! < BUCKET_COUNT ? pairs[index + 1]! : 0;
		count += samples;
		above += pairs[index]! > bucket ? samples : 0;
	}

	return {count, above};
}

// An array that holds whole numbers only is converted, and copied whole, at the first fraction written to it. Histograms
// are copied in each step, so the empty one is made an array of fractions from the start.
function createEmptyHistogram(): Histogram {
	const empty = Array.from({length: BUCKET_COUNT}, () => 0.5);
	return empty.fill(0);
}
