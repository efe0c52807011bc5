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
const FIRST_MILLISECONDS = 0.5;

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
export const EMPTY_HISTOGRAM: Histogram = Array.from({length: BUCKET_COUNT}, () => 0);

/**
Bucket of a latency.
*/
export function getBucket(milliseconds: number): number {
	if (!(milliseconds > FIRST_MILLISECONDS)) {
		return 0;
	}

	const bucket = Math.ceil(Math.log2(milliseconds / FIRST_MILLISECONDS) * BUCKETS_PER_OCTAVE);
	return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
Upper end of a bucket in milliseconds.
*/
export function getUpperEnd(bucket: number): number {
	return FIRST_MILLISECONDS * (2 ** (bucket / BUCKETS_PER_OCTAVE));
}

/**
Adds histograms bucket by bucket, each scaled by its factor.
*/
export function combineHistograms(left: Histogram, leftFactor: number, right: Histogram, rightFactor: number): Histogram {
	const combined = [...left];
	for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
		combined[bucket] = (left[bucket]! * leftFactor) + (right[bucket]! * rightFactor);
	}

	return combined;
}

/**
Number of samples.
*/
export function getTotal(histogram: Histogram): number {
	let total = 0;
	for (const count of histogram) {
		total += count;
	}

	return total;
}

/**
Bucket that holds the quantile; 0 when there are no samples.
*/
export function getQuantileBucket(histogram: Histogram, quantile: number): number {
	const wanted = getTotal(histogram) * quantile;
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
	return getUpperEnd(getQuantileBucket(histogram, quantile));
}

/**
Number of samples in buckets above the given one.
*/
export function countAbove(histogram: Histogram, bucket: number): number {
	let above = 0;
	for (let index = bucket + 1; index < histogram.length; index++) {
		above += histogram[index]!;
	}

	return above;
}
