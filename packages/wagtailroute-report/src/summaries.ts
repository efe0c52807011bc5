/**
What one host hands to the host that writes a report, and how the summaries of all hosts are merged. A summary holds sums
and points and no buckets: its size does not depend on the time counted.
*/
import type * as core from 'wagtailroute-core';
import type * as hdr from 'hdr-histogram-js';
import * as constants from './constants.ts';
import {addEncoded, createHistogram} from './latencies.ts';
import type {BucketRow} from './ring.ts';
import {addCounts, type Counts, createCounts} from './verdicts.ts';

type WindowCounts = ServiceSummary['windows'];

/**
One service on one host.
*/
export type ServiceSummary = {
	readonly service: core.ServiceName;
	/**
	Counts over each window of a burn rate.
	*/
	readonly windows: Readonly<Record<constants.BurnWindow, Counts>>;
	/**
	Counts over the objective's window.
	*/
	readonly budget: Counts;
	/**
	Counts over the window that was asked for.
	*/
	readonly asked: Counts;
	/**
	Points over the window that was asked for, oldest first.
	*/
	readonly series: readonly Counts[];
	/**
	Histogram of the last hour, as `encodeHistogram` writes it.
	*/
	readonly latencies: string;
	/**
	Milliseconds since the oldest count within the objective's window.
	*/
	readonly countedMilliseconds: number;
};

/**
All services on one host.
*/
export type Summary = {
	readonly services: readonly ServiceSummary[];
	/**
	Requests of services beyond the bound of the table.
	*/
	readonly untracked: number;
};

/**
One service over all hosts.
*/
export type MergedService = Omit<ServiceSummary, 'latencies'> & {
	/**
	Tenths of milliseconds.
	*/
	readonly latencies: hdr.Histogram;
};

/**
Sums of all hosts, as they come in.
*/
export type Merging = {
	readonly add: (summary: Summary) => void;
	readonly read: () => {readonly services: readonly MergedService[]; readonly untracked: number};
};

/**
Returns the points of a plot: rows of one width, a whole number of them for each point, oldest first.
*/
export function createSeries(rows: readonly BucketRow[], widthMilliseconds: number, spanMilliseconds: number): readonly Counts[] {
	const buckets = spanMilliseconds / widthMilliseconds;
	const bucketsPerPoint = Math.ceil(buckets / constants.SERIES_POINTS);
	const points = Array.from({length: Math.ceil(buckets / bucketsPerPoint)}, createCounts);
	for (const [age, ...counts] of rows) {
		// Ages are those of the middles: the bucket before the present one is between half a width and one and a half old.
		const back = Math.floor(Math.round(age / widthMilliseconds) / bucketsPerPoint);
		const point = points.at(-1 - back);
		if (point !== undefined && back < points.length) {
			addCounts(point, counts);
		}
	}

	return points;
}

/**
Starts a merge. Not immutable: thousands of summaries are added to it, and each is dropped at once.
*/
export function createMerging(): Merging {
	const services = new Map<core.ServiceName, MergedService>();
	let untracked = 0;
	return {
		add(summary) {
			untracked += summary.untracked;
			for (const part of summary.services) {
				const merged = services.get(part.service) ?? createMerged(part.service);
				services.set(part.service, mergeService(merged, part));
			}
		},
		read: () => ({
			services: services.values().toArray().toSorted((left, right) => left.service.localeCompare(right.service)),
			untracked,
		}),
	};
}

const WINDOW_NAMES = Object.keys(constants.BURN_WINDOWS) as constants.BurnWindow[];

function createMerged(service: core.ServiceName): MergedService {
	const windows = Object.fromEntries(WINDOW_NAMES.map((name): [string, Counts] => [name, createCounts()]));
	return {
		service,
		windows: windows as WindowCounts,
		budget: createCounts(),
		asked: createCounts(),
		series: [],
		latencies: createHistogram(),
		countedMilliseconds: 0,
	};
}

function mergeService(merged: MergedService, part: ServiceSummary): MergedService {
	addEncoded(merged.latencies, part.latencies);
	const windows = Object.fromEntries(WINDOW_NAMES.map(name => [name, sumCounts(merged.windows[name], part.windows[name])]));
	return {
		...merged,
		windows: windows as WindowCounts,
		budget: sumCounts(merged.budget, part.budget),
		asked: sumCounts(merged.asked, part.asked),
		series: part.series.map((counts, index) => sumCounts(counts, merged.series[index] ?? [])),
		countedMilliseconds: Math.max(merged.countedMilliseconds, part.countedMilliseconds),
	};
}

function sumCounts(left: Counts, right: Counts): Counts {
	return left.map((count, index) => count + (right[index] ?? 0));
}
