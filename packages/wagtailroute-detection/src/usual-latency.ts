/**
Usual latencies of a host over all upstreams of a service, from which it determines that a request is overdue.
*/
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';

/**
Histogram of a host's recent latencies, which decays with time.
*/
export type UsualLatency = {
	readonly add: (milliseconds: number) => void;
	/**
	Returns the 90th percentile in milliseconds, or Infinity while there are too few samples, and applies the decay since the
	last call.
	*/
	readonly getQuantileAndDecay: (now: number) => number;
};

const USUAL_QUANTILE = 0.9;

/**
Creates usual latencies without samples.
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
