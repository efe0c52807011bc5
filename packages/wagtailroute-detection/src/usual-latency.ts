/**
The latencies that are usual for a host over all upstreams of a service: how it knows that a request is overdue.
*/
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';

/**
Usual latencies, decaying with time.
*/
export type UsualLatency = {
	readonly add: (milliseconds: number) => void;
	/**
	Returns the 90th percentile in milliseconds, Infinity while there are too few samples, and lets all decay.
	*/
	readonly getQuantileAndDecay: (now: number) => number;
};

const USUAL_QUANTILE = 0.9;

/**
Creates the latencies of a host that has seen none.
*/
export function createUsualLatency(): UsualLatency {
	let histogram = [...latencies.EMPTY_HISTOGRAM];
	let decayedAt: number | undefined;
	return {
		add(milliseconds) {
			histogram[latencies.getBucket(milliseconds)]!++;
		},
		getQuantileAndDecay(now) {
			const decay = Math.exp(((decayedAt ?? now) - now) / constants.USUAL_LATENCY_WINDOW_MILLISECONDS);
			decayedAt = now;
			if (latencies.getSampleCount(histogram) < constants.MIN_PEER_SAMPLES) {
				return Infinity;
			}

			const quantile = latencies.getQuantile(histogram, USUAL_QUANTILE);
			histogram = histogram.map(count => count * decay);
			return quantile;
		},
	};
}
