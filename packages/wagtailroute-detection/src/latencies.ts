/**
Histograms of latencies with logarithmic buckets: small, mergeable by addition, and precise enough (a bucket spans about
19%) to detect a server that is twice as slow as its peers.
*/

/**
Buckets per doubling.
*/
const BUCKETS_PER_OCTAVE = 4;

/**
Upper bound of the first bucket, in milliseconds.
*/
const FIRST_BUCKET_MILLISECONDS = 0.5;

/**
Number of buckets. The last one holds all latencies above about 100 seconds.
*/
export const BUCKET_COUNT = 72;

/**
Sample counts by bucket; `BUCKET_COUNT` long.
*/
export type Histogram = readonly number[];

/**
A histogram without samples.
*/
export const EMPTY_HISTOGRAM: Histogram = createEmptyHistogram();

/**
Sample counts without the empty buckets: pairs of bucket and count, flattened. A bucket may occur several times.
*/
export type SparseHistogram = readonly number[];

/**
Returns the bucket of a latency.
*/
export function getBucket(milliseconds: number): number {
	if (!(milliseconds > FIRST_BUCKET_MILLISECONDS)) {
		return 0;
	}

	const bucket = Math.ceil(Math.log2(milliseconds / FIRST_BUCKET_MILLISECONDS) * BUCKETS_PER_OCTAVE);
	return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
Returns the upper bound of a bucket in milliseconds.
*/
export function getBucketUpperBound(bucket: number): number {
	return FIRST_BUCKET_MILLISECONDS * (2 ** (bucket / BUCKETS_PER_OCTAVE));
}

/**
Multiplies the counts of a histogram by a factor, and adds a sparse histogram to it.
*/
export function scaleAndAdd(histogram: Histogram, factor: number, added: SparseHistogram): Histogram {
	const next = [...histogram];
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		next[bucket]! *= factor;
	}

	for (let index = 0; index + 1 < added.length; index += 2) {
		const bucket = added[index]!;
		// A bucket that doesn't exist comes from a host of another version. It is dropped, not counted in another bucket.
		if (next[bucket] !== undefined) {
			next[bucket] += added[index + 1]!;
		}
	}

	return next;
}

/**
Adds up histograms bucket by bucket.
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
Subtracts a histogram from a sum that includes it.
*/
export function subtractHistogram(sum: Histogram, part: Histogram): Histogram {
	const rest = [...sum];
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		rest[bucket]! -= part[bucket]!;
	}

	return rest;
}

/**
Returns the number of samples in a histogram.
*/
export function getSampleCount(histogram: Histogram): number {
	let total = 0;
	for (const count of histogram) {
		total += count;
	}

	return total;
}

/**
Returns the bucket that holds the quantile, or 0 when there are no samples.
*/
export function getQuantileBucket(histogram: Histogram, quantile: number, total = getSampleCount(histogram)): number {
	const rank = total * quantile;
	let cumulative = 0;
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		cumulative += histogram[bucket]!;
		if (cumulative >= rank && cumulative > 0) {
			return bucket;
		}
	}

	return 0;
}

/**
Returns the upper bound, in milliseconds, of the bucket that holds the quantile.
*/
export function getQuantile(histogram: Histogram, quantile: number): number {
	return getBucketUpperBound(getQuantileBucket(histogram, quantile));
}

/**
Returns the bucket that holds the median of two histograms together, or 0 when there are no samples.
*/
export function getMergedMedianBucket(left: Histogram, right: Histogram, total = getSampleCount(left) + getSampleCount(right)): number {
	const rank = total / 2;
	let cumulative = 0;
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		cumulative += left[bucket]! + right[bucket]!;
		if (cumulative >= rank && cumulative > 0) {
			return bucket;
		}
	}

	return 0;
}

/**
Counts the samples in a sparse histogram, and those in buckets above the given one.
*/
export function countSparseSamples(histogram: SparseHistogram, bucket: number): {readonly count: number; readonly above: number} {
	let count = 0;
	let above = 0;
	for (let index = 0; index + 1 < histogram.length; index += 2) {
		const samples = histogram[index]! < BUCKET_COUNT ? histogram[index + 1]! : 0;
		count += samples;
		above += histogram[index]! > bucket ? samples : 0;
	}

	return {count, above};
}

// The engine converts and copies an array of integers when the first fraction is written to it. Histograms are copied in
// each tick, so the empty one is an array of fractions from the start.
function createEmptyHistogram(): Histogram {
	const empty = Array.from({length: BUCKET_COUNT}, () => 0.5);
	return empty.fill(0);
}
