/**
Hedging of reads: a second send after the time within which most answers come, paid for by the retry budget. It shortens
the wait for a read that met a slow upstream. Its cost is bounded by the budget; when everything is slow the quantile
rises with it, so that hedges do not add to an overload.
*/
import type * as core from 'wagtailroute-core';
import {HEDGE_QUANTILE, MIN_QUANTILE_SAMPLES} from './constants.ts';

/**
Histogram of latencies in buckets of equal ratio; old samples fade. Immutable.
*/
export type LatencyHistogram = {
	readonly counts: readonly number[];
	readonly total: number;
};

// Each bucket is a quarter wider than the one before: 64 of them reach from 0.1 ms to over 2 minutes.
const BUCKETS = 64;
const BUCKET_RATIO = 1.25;
const FIRST_BUCKET_MILLISECONDS = 0.1;
const FADE_AT_SAMPLES = 1000;

/**
Creates an empty histogram.
*/
export function createLatencyHistogram(): LatencyHistogram {
	return {counts: Array.from({length: BUCKETS}, () => 0), total: 0};
}

/**
Adds the latency of an answer, in ms.
*/
export function recordLatency(histogram: LatencyHistogram, milliseconds: number): LatencyHistogram {
	const exact = Math.log(milliseconds / FIRST_BUCKET_MILLISECONDS) / Math.log(BUCKET_RATIO);
	const bucket = Math.min(BUCKETS - 1, Math.max(0, Math.ceil(exact)));
	const isFull = histogram.total >= FADE_AT_SAMPLES;
	const kept = isFull ? histogram.counts.map(count => count / 2) : histogram.counts;
	const total = isFull ? histogram.total / 2 : histogram.total;
	return {counts: kept.with(bucket, kept[bucket]! + 1), total: total + 1};
}

/**
Returns the upper end of the bucket that holds the quantile, in ms; undefined while there are few samples.
*/
export function getLatencyQuantile({counts, total}: LatencyHistogram, quantile: number): number | undefined {
	if (total < MIN_QUANTILE_SAMPLES) {
		return undefined;
	}

	let left = total * quantile;
	const bucket = counts.findIndex(count => {
		left -= count;
		return left <= 0;
	});
	return FIRST_BUCKET_MILLISECONDS * (BUCKET_RATIO ** bucket);
}

/**
Returns after how many ms a send is hedged, undefined when it is not. Asked when the request is sent; whether the budget
allows the hedge is asked when the time has come.
*/
export function getHedgeDelay({requestClass, histogram, remainingMilliseconds, isResendOfTier}: {
	readonly requestClass: core.RequestClass;
	readonly histogram: LatencyHistogram;
	readonly remainingMilliseconds: number;
	readonly isResendOfTier: boolean;
}): number | undefined {
	const delay = getLatencyQuantile(histogram, HEDGE_QUANTILE);
	const isHedged = requestClass === 'read' && !isResendOfTier && delay !== undefined;
	return isHedged && delay < remainingMilliseconds ? delay : undefined;
}
