/**
The counts of one host: requests of each service by verdict, in buckets of three widths, and its latencies.
*/
import type * as core from 'wagtailroute-core';
import {type Copy, limitDays} from './copies.ts';
import {
	addPart,
	copyBuckets,
	copyWhole,
	getBucket,
	type Rows,
} from './copying.ts';
import * as constants from './constants.ts';
import {
	createServiceCounters,
	findRing,
	type ServiceCounters,
	setWindow,
	summarizeService,
} from './service-counters.ts';
import type {Summary} from './summaries.ts';
import {
	type Counts,
	getVerdict,
	type Objective,
	type RequestResult,
	VERDICTS,
} from './verdicts.ts';

/**
Counters of a host. All times are monotonic milliseconds of this process and never go back.
*/
export type BurnCounters = {
	/**
	Counts one answered request.
	*/
	readonly record: (service: core.ServiceName, result: RequestResult, objective: Objective, now: number) => void;
	/**
	Sums the counts of the last `spanMilliseconds`, from the finest buckets that reach so far.
	*/
	readonly getCounts: (service: core.ServiceName, spanMilliseconds: number, now: number) => Counts | undefined;
	/**
	Returns what a report needs: sums over its windows, and points over the last `spanMilliseconds`.
	*/
	readonly summarize: (spanMilliseconds: number, now: number) => Summary;
	/**
	Returns the counts as a copy for another holder, up to the present five-minute bucket and without it: the whole, or only
	the five-minute buckets from a number on.
	*/
	readonly copy: (now: number, fromBucket?: number) => Copy;
	/**
	Says whether the five-minute buckets still reach back to a number; if not, only the whole will do.
	*/
	readonly canCopyFrom: (bucket: number, now: number) => boolean;
	/**
	Returns the present five-minute bucket, for a host that stops: nothing is counted after it.
	*/
	readonly copyLast: (now: number) => Copy;
	/**
	Adds a copy. Its ages are counted back from `now`.
	*/
	readonly add: (copy: Copy, now: number) => void;
	/**
	Returns the number of the present five-minute bucket, for {@link BurnCounters.copy}.
	*/
	readonly getBucket: (now: number) => number;
	/**
	Returns the number of all requests kept.
	*/
	readonly getTotal: (now: number) => number;
};

const MIDDLE_BUCKETS = constants.MIDDLE_SPAN_MILLISECONDS / constants.MIDDLE_WIDTH_MILLISECONDS;

/**
Creates counters without any counts.
*/
export function createBurnCounters(): BurnCounters {
	const services = new Map<core.ServiceName, ServiceCounters>();
	let untracked = 0;

	const getService = (name: core.ServiceName, windowDays: number, now: number): ServiceCounters | undefined => {
		const known = services.get(name);
		if (known !== undefined) {
			setWindow(known, windowDays, now);
			return known;
		}

		if (services.size >= constants.MAXIMUM_SERVICES) {
			return undefined;
		}

		const created = createServiceCounters(windowDays);
		services.set(name, created);
		return created;
	};

	return {
		record(service, result, objective, now) {
			const counters = getService(service, objective.windowDays, now);
			if (counters === undefined) {
				untracked++;
				return;
			}

			const verdict = getVerdict(result, objective);
			const index = VERDICTS.indexOf(verdict);
			counters.fine.add(now, index, 1);
			counters.middle.add(now, index, 1);
			counters.coarse.add(now, index, 1);
			if (verdict === 'good' || verdict === 'slow') {
				counters.latencies.record(result.milliseconds, now);
			}
		},
		getCounts(service, spanMilliseconds, now) {
			const counters = services.get(service);
			return counters === undefined ? undefined : findRing(counters, spanMilliseconds).sum(spanMilliseconds, now);
		},
		summarize: (spanMilliseconds, now) => ({
			untracked,
			services: [...services].map(([name, counters]) => summarizeService(name, counters, spanMilliseconds, now)),
		}),
		copy: (now, fromBucket) => copyServices(services, counters => (
			fromBucket === undefined ? copyWhole(counters, now) : copyBuckets(counters, now, fromBucket, getBucket(now))
		)),
		canCopyFrom: (bucket, now) => getBucket(now) - bucket <= MIDDLE_BUCKETS,
		copyLast: now => copyServices(services, counters => copyBuckets(counters, now, getBucket(now))),
		add(copy, now) {
			for (const part of copy) {
				const counters = getService(part.service, limitDays(part.windowDays), now);
				if (counters !== undefined) {
					addPart(counters, part, now);
				}
			}
		},
		getBucket,
		getTotal: now => services.values()
			.flatMap(({coarse}) => coarse.sum(Infinity, now))
			.reduce((total, count) => total + count, 0),
	};
}

/**
Copies what has any counts.
*/
function copyServices(services: ReadonlyMap<core.ServiceName, ServiceCounters>, copy: (counters: ServiceCounters) => Rows): Copy {
	return [...services]
		.map(([service, counters]) => ({service, windowDays: counters.windowDays, ...copy(counters)}))
		.filter(({coarse}) => coarse.length > 0);
}
