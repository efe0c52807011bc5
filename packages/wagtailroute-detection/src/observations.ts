/**
Observations of one tick: the summaries of the hosts, added up by upstream and by host.
*/
import type * as core from 'wagtailroute-core';
import type * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';

/**
Requests of one host at one upstream, by result.
*/
export type Observation = {
	readonly successes: number;
	/**
	Failures other than timeouts.
	*/
	readonly failures: number;
	readonly timeouts: number;
	readonly latencies: latencies.SparseHistogram;
};

/**
An observation without requests.
*/
export const EMPTY_OBSERVATION: Observation = {
	successes: 0,
	failures: 0,
	timeouts: 0,
	latencies: [],
};

/**
Observations by upstream, then by host.
*/
export type Observations = ReadonlyMap<core.UpstreamId, ReadonlyMap<core.HostId, Observation>>;

/**
Adds up summaries by upstream and host. Sheds are ignored: shedding is a healthy server's answer to overload.
*/
export function collectObservations(pending: readonly summaries.Summary[]): Observations {
	const collected = new Map<core.UpstreamId, Map<core.HostId, Observation>>();
	for (const summary of pending) {
		for (const upstream of summary.upstreams) {
			const byHost = collected.get(upstream.id) ?? new Map<core.HostId, Observation>();
			const before = byHost.get(summary.host);
			const observation = createObservation(upstream);
			byHost.set(summary.host, before === undefined ? observation : mergeObservations(before, observation));
			collected.set(upstream.id, byHost);
		}
	}

	return collected;
}

/**
Returns the latencies that all hosts reported.
*/
export function mergeLatencies(byHost: ReadonlyMap<core.HostId, Observation> | undefined): latencies.SparseHistogram {
	const pairs: number[] = [];
	for (const {latencies: seen} of byHost?.values() ?? []) {
		pairs.push(...seen);
	}

	return pairs;
}

function mergeObservations(left: Observation, right: Observation): Observation {
	return {
		successes: left.successes + right.successes,
		failures: left.failures + right.failures,
		timeouts: left.timeouts + right.timeouts,
		latencies: [...left.latencies, ...right.latencies],
	};
}

function createObservation(upstream: summaries.UpstreamSummary): Observation {
	let failures = 0;
	for (const kind in upstream.failures) {
		if (Object.hasOwn(upstream.failures, kind)) {
			failures += upstream.failures[kind as summaries.FailureKind]!;
		}
	}

	const timeouts = upstream.failures.timeout ?? 0;
	return {
		successes: upstream.successes,
		failures: failures - timeouts,
		timeouts,
		latencies: upstream.latencies,
	};
}
