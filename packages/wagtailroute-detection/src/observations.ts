/**
The observations of one tick: summaries of the hosts, added up by upstream and by host.
*/
import type * as core from 'wagtailroute-core';
import * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';

/**
What was seen of one upstream, by one host or by all.
*/
export type Observation = {
	readonly successes: number;
	/**
	Failures but for timeouts.
	*/
	readonly failures: number;
	readonly timeouts: number;
	readonly latencies: latencies.Histogram;
};

/**
Nothing seen.
*/
export const EMPTY_OBSERVATION: Observation = {
	successes: 0,
	failures: 0,
	timeouts: 0,
	latencies: latencies.EMPTY_HISTOGRAM,
};

/**
Observations by upstream, then by host.
*/
export type Observations = ReadonlyMap<core.UpstreamId, ReadonlyMap<core.HostId, Observation>>;

/**
Adds up summaries. Sheds are left out: shedding is a healthy server's answer to overload.
*/
export function collectObservations(pending: readonly summaries.Summary[]): Observations {
	const collected = new Map<core.UpstreamId, Map<core.HostId, Observation>>();
	for (const summary of pending) {
		for (const upstream of summary.upstreams) {
			const byHost = collected.get(upstream.id) ?? new Map<core.HostId, Observation>();
			const before = byHost.get(summary.host) ?? EMPTY_OBSERVATION;
			byHost.set(summary.host, mergeObservations(before, readObservation(upstream)));
			collected.set(upstream.id, byHost);
		}
	}

	return collected;
}

/**
Adds up the observations of all hosts.
*/
export function mergeHosts(byHost: ReadonlyMap<core.HostId, Observation> | undefined): Observation {
	let merged = EMPTY_OBSERVATION;
	for (const observation of byHost?.values() ?? []) {
		merged = mergeObservations(merged, observation);
	}

	return merged;
}

function mergeObservations(left: Observation, right: Observation): Observation {
	return {
		successes: left.successes + right.successes,
		failures: left.failures + right.failures,
		timeouts: left.timeouts + right.timeouts,
		latencies: latencies.combineHistograms(left.latencies, 1, right.latencies, 1),
	};
}

function readObservation(upstream: summaries.UpstreamSummary): Observation {
	const histogram = [...latencies.EMPTY_HISTOGRAM];
	for (let index = 0; index + 1 < upstream.latencies.length; index += 2) {
		const bucket = upstream.latencies[index]!;
		// A bucket that doesn't exist comes from a host of another version: dropped, not counted elsewhere.
		if (histogram[bucket] !== undefined) {
			histogram[bucket] += upstream.latencies[index + 1]!;
		}
	}

	let failures = 0;
	for (const count of Object.values(upstream.failures)) {
		failures += count;
	}

	const timeouts = upstream.failures.timeout ?? 0;
	return {
		successes: upstream.successes,
		failures: failures - timeouts,
		timeouts,
		latencies: histogram,
	};
}
