/**
Counts and latencies of a run.
*/
import * as hdr from 'hdr-histogram-js';
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import type * as truths from './truth.ts';

/**
What became of one attempt.

- `whole`: an answer to its end.
- `broken`: an answer that was cut off.
- `refused`: no connection.
- `timed-out`: no answer in time.
- `no-answer`: the connection ended before an answer.
*/
export type Ending = 'whole' | 'broken' | 'refused' | 'timed-out' | 'no-answer';

/**
Latencies in milliseconds.
*/
export type Latencies = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p90: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

/**
A part of the histogram: whole answers within `uptoMilliseconds` and over the bound before it.
*/
export type HistogramBar = {
	readonly uptoMilliseconds: number;
	readonly count: number;
};

/**
A copy of the counts. `latencies` are those of whole answers from the intended start, in all and by class; `sendLag` is the
time from the intended start to the sending.
*/
export type TallyRecord = {
	readonly attempts: number;
	readonly endings: Readonly<Record<Ending, number>>;
	readonly statuses: Readonly<Record<string, number>>;
	readonly told: Readonly<Record<truths.Told, number>>;
	readonly latencies: Latencies;
	readonly latenciesByClass: Readonly<Partial<Record<core.RequestClass, Latencies>>>;
	readonly sendLag: Latencies;
	readonly histogram: readonly HistogramBar[];
};

/**
The counts of a run under way.
*/
export type Tally = {
	readonly countAttempt: (ending: Ending, status: number | undefined, told: truths.Told) => void;
	/**
	Records the latency in milliseconds of a whole answer.
	*/
	readonly recordLatency: (requestClass: core.RequestClass, milliseconds: number) => void;
	readonly recordLag: (milliseconds: number) => void;
	readonly read: () => TallyRecord;
};

const MICROSECONDS_PER_MILLISECOND = 1000;

/**
Creates counts at zero.
*/
export function createTally(): Tally {
	const endings: Record<Ending, number> = {
		whole: 0, broken: 0, refused: 0, 'timed-out': 0, 'no-answer': 0,
	};
	const told: Record<truths.Told, number> = {
		ran: 0, 'not-run': 0, unknown: 0, untold: 0, lost: 0,
	};
	const statuses = new Map<string, number>();
	const all = createHistogram();
	const lag = createHistogram();
	const byClass = new Map<core.RequestClass, hdr.Histogram>();
	const bars = new Map<number, number>();
	let attempts = 0;
	return {
		countAttempt(ending, status, outcome) {
			attempts++;
			endings[ending]++;
			told[outcome]++;
			if (status !== undefined) {
				statuses.set(String(status), (statuses.get(String(status)) ?? 0) + 1);
			}
		},
		recordLatency(requestClass, milliseconds) {
			const ofClass = byClass.get(requestClass) ?? createHistogram();
			byClass.set(requestClass, ofClass);
			const microseconds = toMicroseconds(milliseconds);
			all.recordValue(microseconds);
			ofClass.recordValue(microseconds);
			const bar = Math.ceil(Math.log2(microseconds));
			bars.set(bar, (bars.get(bar) ?? 0) + 1);
		},
		recordLag(milliseconds) {
			lag.recordValue(toMicroseconds(milliseconds));
		},
		read: () => ({
			attempts,
			endings: {...endings},
			statuses: Object.fromEntries(statuses),
			told: {...told},
			latencies: readLatencies(all),
			latenciesByClass: Object.fromEntries([...byClass].map(([name, histogram]) => [name, readLatencies(histogram)])),
			sendLag: readLatencies(lag),
			histogram: [...bars]
				.toSorted(([left], [right]) => left - right)
				.map(([bar, count]) => ({uptoMilliseconds: (2 ** bar) / MICROSECONDS_PER_MILLISECOND, count})),
		}),
	};
}

function createHistogram(): hdr.Histogram {
	return hdr.build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: constants.GREATEST_LATENCY_MICROSECONDS,
		numberOfSignificantValueDigits: 3,
		useWebAssembly: false,
	});
}

function toMicroseconds(milliseconds: number): number {
	const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
	return Math.min(Math.max(1, microseconds), constants.GREATEST_LATENCY_MICROSECONDS);
}

function readLatencies(histogram: hdr.Histogram): Latencies {
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
	const isEmpty = histogram.totalCount === 0;
	return {
		count: histogram.totalCount,
		mean: isEmpty ? 0 : histogram.mean / MICROSECONDS_PER_MILLISECOND,
		p50: at(50),
		p90: at(90),
		p99: at(99),
		p999: at(99.9),
		max: isEmpty ? 0 : histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
	};
}
