/**
Baselines of a service: the present pooled rates and latencies of an upstream's peers.

The peers that look worst are left out, a tenth rounded up, so that a few sick ones don't hide another. The worst of the
windows counts: when the whole service gets worse, the shortest window follows within a tick and no upstream stands out;
when a service has little traffic, the long window still holds its usual rate.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';
import * as symptoms from './symptoms.ts';
import type * as windows from './windows.ts';

/**
Latency limits as bucket numbers: a request in a higher bucket is slow, or stalled.
*/
export type LatencyLimits = {
	readonly slow: number;
	readonly stalled: number;
	/**
	Bucket of the peers' median.
	*/
	readonly median: number;
};

/**
Windows of the upstreams in service.
*/
export type PeerWindows = ReadonlyMap<core.UpstreamId, windows.Windows>;

type WindowLength = 'short' | 'long';

const LENGTHS: readonly WindowLength[] = ['short', 'long'];

type RateWindow = {
	readonly get: (windows: windows.Windows) => symptoms.Samples;
	/**
	Smallest number of requests that the rate is divided by.
	*/
	readonly minRequests: number;
};

const RATE_WINDOWS: readonly RateWindow[] = [
	{get: ({instant}) => instant, minRequests: constants.MIN_INSTANT_REQUESTS},
	{get: ({short}) => short.samples, minRequests: 1},
	{get: ({long}) => long.samples, minRequests: 1},
];

const SLOW_QUANTILE = 0.9;
const MEDIAN = 0.5;

/**
Normal latencies of a service.
*/
export type LatencyBaseline = {
	/**
	Returns the latency limits of an upstream; undefined while its peers have too few samples.
	*/
	readonly getLimits: (upstream: core.UpstreamId) => LatencyLimits | undefined;
	/**
	Whether the service as a whole has become slow, through overload or a common dependency.
	*/
	readonly isServiceSlow: boolean;
};

/**
Creates the baseline of latencies. Limits are computed on first use, since a tick needs them only for upstreams that had
traffic.
*/
export function createLatencyBaseline(peers: PeerWindows): LatencyBaseline {
	const trimmedPeers = removeWorstPeers(peers, getMedianBucket);
	const pooled = {short: poolLatencies(trimmedPeers, 'short'), long: poolLatencies(trimmedPeers, 'long')};
	const limitsByUpstream = new Map<core.UpstreamId, LatencyLimits | undefined>();
	const computeLimits = (upstream: core.UpstreamId): LatencyLimits | undefined => {
		const own = trimmedPeers.get(upstream);
		const limits = LENGTHS
			.map(length => own === undefined ? pooled[length] : subtractPool(pooled[length], own[length]))
			.filter(({latencyCount}) => latencyCount >= constants.MIN_PEER_SAMPLES)
			.map(pool => getLimits(pool));
		return limits.length === 0 ? undefined : mergeLimits(limits);
	};

	return {
		getLimits(upstream) {
			if (!limitsByUpstream.has(upstream)) {
				limitsByUpstream.set(upstream, computeLimits(upstream));
			}

			return limitsByUpstream.get(upstream);
		},
		isServiceSlow: pooled.short.latencyCount >= constants.MIN_PEER_SAMPLES
			&& getMedian(pooled.short) >= getMedian(pooled.long) * constants.SERVICE_SLOWDOWN_RATIO,
	};
}

/**
Returns a function that gives, for an upstream, its peers' rate of a symptom.
*/
export function createRateBaseline(
	peers: PeerWindows,
	symptom: symptoms.Symptom,
): (upstream: core.UpstreamId) => number {
	const trimmedPeers = removeWorstPeers(peers, ({short, long}) =>
		symptoms.getRate(symptoms.mergeSamples(short.samples[symptom], long.samples[symptom])));
	const pooled = RATE_WINDOWS.map(({get}) => poolSamples(trimmedPeers, windows => get(windows)[symptom]));
	return upstream => {
		const own = trimmedPeers.get(upstream);
		const rates = RATE_WINDOWS.map(({get, minRequests}, index) => {
			const sample = own === undefined
				? pooled[index]!
				: symptoms.mergeSamples(pooled[index]!, symptoms.scaleSample(get(own)[symptom], -1));
			return sample.bad / Math.max(minRequests, sample.count);
		});
		return Math.max(0, ...rates);
	};
}

function removeWorstPeers(peers: PeerWindows, getBadness: (windows: windows.Windows) => number): PeerWindows {
	const ranked = [...peers]
		.map(([id, peer]) => ({id, peer, badness: getBadness(peer)}))
		.toSorted((left, right) => right.badness - left.badness);
	const trimmedCount = ranked.length < 3 ? 0 : Math.ceil(ranked.length * constants.TRIMMED_FRACTION);
	return new Map(ranked.slice(trimmedCount).map(({id, peer}) => [id, peer]));
}

function getMedianBucket({short, long}: windows.Windows): number {
	return latencies.getMergedMedianBucket(short.latencies, long.latencies, short.latencyCount + long.latencyCount);
}

type Pool = Pick<windows.Window, 'latencies' | 'latencyCount'>;

function poolLatencies(peers: PeerWindows, length: WindowLength): Pool {
	let latencyCount = 0;
	for (const peer of peers.values()) {
		latencyCount += peer[length].latencyCount;
	}

	return {latencies: latencies.sumHistograms(peers.values().map(peer => peer[length].latencies)), latencyCount};
}

function subtractPool(pool: Pool, own: Pool): Pool {
	return {latencies: latencies.subtractHistogram(pool.latencies, own.latencies), latencyCount: pool.latencyCount - own.latencyCount};
}

function getMedian({latencies: histogram, latencyCount}: Pool): number {
	return latencies.getBucketUpperBound(latencies.getQuantileBucket(histogram, MEDIAN, latencyCount));
}

function poolSamples(peers: PeerWindows, get: (windows: windows.Windows) => symptoms.Sample): symptoms.Sample {
	let pooled = symptoms.EMPTY_SAMPLE;
	for (const peer of peers.values()) {
		pooled = symptoms.mergeSamples(pooled, get(peer));
	}

	return pooled;
}

function getLimits({latencies: histogram, latencyCount}: Pool): LatencyLimits {
	const median = latencies.getQuantileBucket(histogram, MEDIAN, latencyCount);
	const quantile = latencies.getQuantileBucket(histogram, SLOW_QUANTILE, latencyCount);
	const minSlow = latencies.getBucket(latencies.getBucketUpperBound(median) + constants.MIN_SLOW_EXCESS_MILLISECONDS);
	const slow = Math.max(quantile, minSlow);
	return {slow, stalled: latencies.getBucket(latencies.getBucketUpperBound(slow) * constants.STALL_RATIO), median};
}

function mergeLimits(limits: readonly LatencyLimits[]): LatencyLimits {
	return {
		slow: Math.max(...limits.map(({slow}) => slow)),
		stalled: Math.max(...limits.map(({stalled}) => stalled)),
		median: Math.max(...limits.map(({median}) => median)),
	};
}
