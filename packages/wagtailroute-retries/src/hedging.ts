/**
Hedging of reads: a second attempt when the first one takes longer than most answers, paid for by the retry budget. It
shortens the wait for a read that was sent to a slow upstream. The budget bounds its cost; when all upstreams are slow, the
quantile rises with them, so that hedges do not add to an overload.
*/
import type * as core from 'wagtailroute-core';
import {HEDGE_QUANTILE, MIN_QUANTILE_SAMPLES} from './constants.ts';

/**
Histogram of latencies in buckets of exponentially growing width; the weight of old samples decays. Immutable.
*/
export type LatencyHistogram = {
	readonly counts: readonly number[];
	readonly total: number;
};

// The upper end of each bucket is 1.25 times that of the bucket before: 64 buckets reach from 0.1 ms to over 2 minutes.
const BUCKET_COUNT = 64;
const BUCKET_RATIO = 1.25;
const FIRST_BUCKET_MILLISECONDS = 0.1;
// All counts are halved when the total reaches this.
const HALVE_AT_SAMPLES = 1000;

/**
Creates an empty histogram.
*/
export function createLatencyHistogram(): LatencyHistogram {
	return {counts: Array.from({length: BUCKET_COUNT}, () => 0), total: 0};
}

/**
Adds the latency of an answer.
*/
export function recordLatency(histogram: LatencyHistogram, milliseconds: number): LatencyHistogram {
	const position = Math.log(milliseconds / FIRST_BUCKET_MILLISECONDS) / Math.log(BUCKET_RATIO);
	const bucket = Math.min(BUCKET_COUNT - 1, Math.max(0, Math.ceil(position)));
	const isFull = histogram.total >= HALVE_AT_SAMPLES;
	const kept = isFull ? histogram.counts.map(count => count / 2) : histogram.counts;
	const total = isFull ? histogram.total / 2 : histogram.total;
	return {counts: kept.with(bucket, kept[bucket]! + 1), total: total + 1};
}

/**
Returns the upper end of the bucket that holds the quantile, in milliseconds; undefined while there are too few samples.
*/
export function getLatencyQuantile({counts, total}: LatencyHistogram, quantile: number): number | undefined {
	if (total < MIN_QUANTILE_SAMPLES) {
		return undefined;
	}

	let remaining = total * quantile;
	const bucket = counts.findIndex(count => {
		remaining -= count;
		return remaining <= 0;
	});
	return FIRST_BUCKET_MILLISECONDS * (BUCKET_RATIO ** bucket);
}

/**
Returns the delay in milliseconds after which an attempt is hedged; undefined when it is not hedged. The caller checks the
retry budget when the delay has passed.
*/
export function getHedgeDelay({requestClass, histogram, remainingMilliseconds, isTierRetry}: {
	readonly requestClass: core.RequestClass;
	readonly histogram: LatencyHistogram;
	readonly remainingMilliseconds: number;
	readonly isTierRetry: boolean;
}): number | undefined {
	const delay = getLatencyQuantile(histogram, HEDGE_QUANTILE);
	const isHedged = requestClass === 'read' && !isTierRetry && delay !== undefined;
	return isHedged && delay < remainingMilliseconds ? delay : undefined;
}
