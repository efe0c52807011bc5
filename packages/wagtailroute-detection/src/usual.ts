/**
The latencies that are usual for a host over all upstreams of a service: how it knows that a request is overdue.
*/
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';

/**
Usual latencies, decaying with time.
*/
export type Usual = {
	readonly add: (milliseconds: number) => void;
	/**
	Returns the 90th percentile in milliseconds, Infinity while there are too few samples, and lets all decay.
	*/
	readonly takeQuantile: (now: number) => number;
};

const USUAL_QUANTILE = 0.9;

/**
Creates the latencies of a host that has seen none.
*/
export function createUsual(): Usual {
	let usual = [...latencies.EMPTY_HISTOGRAM];
	let takenAt: number | undefined;
	return {
		add(milliseconds) {
			usual[latencies.getBucket(milliseconds)]!++;
		},
		takeQuantile(now) {
			const decay = Math.exp(((takenAt ?? now) - now) / constants.USUAL_WINDOW_MILLISECONDS);
			takenAt = now;
			if (latencies.getTotal(usual) < constants.MINIMUM_PEER_SAMPLES) {
				return Infinity;
			}

			const quantile = latencies.getQuantile(usual, USUAL_QUANTILE);
			usual = usual.map(count => count * decay);
			return quantile;
		},
	};
}
