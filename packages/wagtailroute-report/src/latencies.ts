/**
Latency histograms of the last hour, in slices of which the oldest is dropped as a whole.
*/
import * as hdr from 'hdr-histogram-js';
import * as constants from './constants.ts';

/**
Latencies of a service. Times are monotonic milliseconds.
*/
export type Latencies = {
	readonly record: (milliseconds: number, now: number) => void;
	/**
	Returns the histogram of the last hour (between three quarters of it and the whole).
	*/
	readonly read: (now: number) => hdr.Histogram;
};

/**
Percentiles in milliseconds.
*/
export type LatencySummary = {
	readonly count: number;
	readonly p50: number;
	readonly p90: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

const SLICE_MILLISECONDS = constants.LATENCY_SPAN_MILLISECONDS / constants.LATENCY_SLICES;
const MAXIMUM_VALUE = constants.MAXIMUM_LATENCY_MILLISECONDS * constants.LATENCY_UNITS_PER_MILLISECOND;

type Slice = {
	readonly number: number;
	readonly histogram: hdr.Histogram;
};

/**
Creates an empty histogram with an error of at most 1%. It grows with the largest value.
*/
export function createHistogram(): hdr.Histogram {
	return hdr.build({numberOfSignificantValueDigits: 2, bitBucketSize: 32});
}

/**
Creates histograms without any value.
*/
export function createLatencies(): Latencies {
	let slices: Slice[] = [];

	const dropOld = (number: number) => {
		slices = slices.filter(slice => slice.number > number - constants.LATENCY_SLICES);
	};

	return {
		record(milliseconds, now) {
			const number = Math.floor(now / SLICE_MILLISECONDS);
			if (slices.at(-1)?.number !== number) {
				dropOld(number);
				slices.push({number, histogram: createHistogram()});
			}

			slices.at(-1)!.histogram.recordValue(toUnits(milliseconds));
		},
		read(now) {
			dropOld(Math.floor(now / SLICE_MILLISECONDS));
			const merged = createHistogram();
			for (const {histogram} of slices) {
				merged.add(histogram);
			}

			return merged;
		},
	};
}

function toUnits(milliseconds: number): number {
	const units = Math.round(milliseconds * constants.LATENCY_UNITS_PER_MILLISECOND);
	return Math.min(MAXIMUM_VALUE, Math.max(1, units));
}

/**
Returns the percentiles of a histogram.
*/
export function summarizeLatencies(histogram: hdr.Histogram): LatencySummary {
	const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / constants.LATENCY_UNITS_PER_MILLISECOND;
	return {
		count: histogram.totalCount,
		p50: at(50),
		p90: at(90),
		p99: at(99),
		p999: at(99.9),
		max: histogram.totalCount === 0 ? 0 : histogram.maxValue / constants.LATENCY_UNITS_PER_MILLISECOND,
	};
}

/**
Writes a histogram as text, in the library's own compressed form.
*/
export function encodeHistogram(histogram: hdr.Histogram): string {
	return histogram.totalCount === 0 ? '' : hdr.encodeIntoCompressedBase64(histogram);
}

/**
Adds a histogram written by {@link encodeHistogram}.
*/
export function addEncoded(into: hdr.Histogram, text: string): void {
	if (text !== '') {
		into.add(hdr.decodeFromCompressedBase64(text, 32, false));
	}
}
