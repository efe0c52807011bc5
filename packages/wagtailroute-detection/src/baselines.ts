/**
What is normal for a service just now: the pooled rates and latencies of an upstream's peers.

The peers that look worst are left out, up to a quarter, so that a few sick ones don't hide another. Of the windows
the worst one counts: when the whole service gets worse, the shortest one follows within a tick and no upstream stands
out; when a service has little traffic, the long one still knows its usual rate.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';
import * as symptoms from './symptoms.ts';
import type * as windows from './windows.ts';

/**
Latency limits, as buckets: a request above one is slow, or stalled.
*/
export type Limits = {
	readonly slow: number;
	readonly stalled: number;
	/**
	The peers' median.
	*/
	readonly median: number;
};

/**
The windows of each upstream in service.
*/
export type Peers = ReadonlyMap<core.UpstreamId, windows.Windows>;

type Length = 'short' | 'long';

const LENGTHS: readonly Length[] = ['short', 'long'];

type RateWindow = {
	readonly get: (windows: windows.Windows) => symptoms.Samples;
	/**
	Requests that the window counts at least.
	*/
	readonly least: number;
};

const RATE_WINDOWS: readonly RateWindow[] = [
	{get: ({instant}) => instant, least: constants.INSTANT_MINIMUM_REQUESTS},
	{get: ({short}) => short.samples, least: 1},
	{get: ({long}) => long.samples, least: 1},
];

const SLOW_QUANTILE = 0.9;
const MEDIAN = 0.5;

/**
What is normal for the latencies of a service.
*/
export type LatencyBaseline = {
	/**
	Returns the latency limits of an upstream; undefined while its peers have too few samples.
	*/
	readonly getLimits: (upstream: core.UpstreamId) => Limits | undefined;
	/**
	Whether the service as a whole has become slow: overload, or something that all upstreams depend on.
	*/
	readonly isDistressed: boolean;
};

/**
Creates the baseline of latencies. Limits are made when they are first asked for: a step asks only for upstreams that had
traffic.
*/
export function createLatencyBaseline(peers: Peers): LatencyBaseline {
	const kept = trim(peers, getMedianBadness);
	const pooled = {short: poolLatencies(kept, 'short'), long: poolLatencies(kept, 'long')};
	const made = new Map<core.UpstreamId, Limits | undefined>();
	const makeLimits = (upstream: core.UpstreamId): Limits | undefined => {
		const own = kept.get(upstream);
		const limits = LENGTHS
			.map(length => own === undefined ? pooled[length] : takeOut(pooled[length], own[length]))
			.filter(({total}) => total >= constants.MINIMUM_PEER_SAMPLES)
			.map(pool => getLimits(pool));
		return limits.length === 0 ? undefined : mergeLimits(limits);
	};

	return {
		getLimits(upstream) {
			if (!made.has(upstream)) {
				made.set(upstream, makeLimits(upstream));
			}

			return made.get(upstream);
		},
		isDistressed: pooled.short.total >= constants.MINIMUM_PEER_SAMPLES
			&& getMedian(pooled.short) >= getMedian(pooled.long) * constants.DISTRESS_RATIO,
	};
}

/**
Returns a function from an upstream to its peers' rate of a symptom.
*/
export function createRateBaseline(
	peers: Peers,
	symptom: symptoms.Symptom,
): (upstream: core.UpstreamId) => number {
	const kept = trim(peers, ({short, long}) =>
		symptoms.getRate(symptoms.mergeSamples(short.samples[symptom], long.samples[symptom])));
	const pooled = RATE_WINDOWS.map(({get}) => poolSamples(kept, windows => get(windows)[symptom]));
	return upstream => {
		const own = kept.get(upstream);
		const rates = RATE_WINDOWS.map(({get, least}, index) => {
			const sample = own === undefined
				? pooled[index]!
				: symptoms.mergeSamples(pooled[index]!, symptoms.scaleSample(get(own)[symptom], -1));
			return sample.bad / Math.max(least, sample.count);
		});
		return Math.max(0, ...rates);
	};
}

function trim(peers: Peers, getBadness: (windows: windows.Windows) => number): Peers {
	const ranked = [...peers]
		.map(([id, kept]) => ({id, kept, badness: getBadness(kept)}))
		.toSorted((left, right) => right.badness - left.badness);
	const trimmed = ranked.length < 3 ? 0 : Math.ceil(ranked.length * constants.TRIMMED_SHARE);
	return new Map(ranked.slice(trimmed).map(({id, kept}) => [id, kept]));
}

function getMedianBadness({short, long}: windows.Windows): number {
	return latencies.getCommonMedianBucket(short.latencies, long.latencies, short.total + long.total);
}

type Pool = Pick<windows.Window, 'latencies' | 'total'>;

function poolLatencies(peers: Peers, length: Length): Pool {
	let total = 0;
	for (const peer of peers.values()) {
		total += peer[length].total;
	}

	return {latencies: latencies.sumHistograms(peers.values().map(peer => peer[length].latencies)), total};
}

function takeOut(pool: Pool, own: Pool): Pool {
	return {latencies: latencies.subtractHistogram(pool.latencies, own.latencies), total: pool.total - own.total};
}

function getMedian({latencies: histogram, total}: Pool): number {
	return latencies.getUpperEnd(latencies.getQuantileBucket(histogram, MEDIAN, total));
}

function poolSamples(peers: Peers, get: (windows: windows.Windows) => symptoms.Sample): symptoms.Sample {
	let pooled = symptoms.EMPTY_SAMPLE;
	for (const peer of peers.values()) {
		pooled = symptoms.mergeSamples(pooled, get(peer));
	}

	return pooled;
}

function getLimits({latencies: histogram, total}: Pool): Limits {
	const median = latencies.getQuantileBucket(histogram, MEDIAN, total);
	const high = latencies.getQuantileBucket(histogram, SLOW_QUANTILE, total);
	const least = latencies.getBucket(latencies.getUpperEnd(median) + constants.MINIMUM_EXCESS_MILLISECONDS);
	const slow = Math.max(high, least);
	return {slow, stalled: latencies.getBucket(latencies.getUpperEnd(slow) * constants.STALL_RATIO), median};
}

function mergeLimits(limits: readonly Limits[]): Limits {
	return {
		slow: Math.max(...limits.map(({slow}) => slow)),
		stalled: Math.max(...limits.map(({stalled}) => stalled)),
		median: Math.max(...limits.map(({median}) => median)),
	};
}
