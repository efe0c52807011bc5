/**
What a host counts of one upstream between two summaries.
*/
import type * as core from 'wagtailroute-core';
import * as summaries from './summaries.ts';

/**
Counts of one upstream. Mutable: they change with each request.
*/
export type Counts = {
	successes: number;
	failures: Partial<Record<summaries.FailureKind, number>>;
	sheds: number;
	latencies: Map<number, number>;
	urgent: number;
};

/**
Creates counts of nothing.
*/
export function createCounts(): Counts {
	return {
		successes: 0, failures: {}, sheds: 0, latencies: new Map(), urgent: 0,
	};
}

/**
Counts how a request ended. `isQuiet` says that nothing was lately seen against the upstream.
*/
export function countResult(counts: Counts, result: Recorded, isQuiet: boolean): void {
	if (isQuiet && FAILURES.has(result)) {
		forgetSuccesses(counts);
	}

	const recorder = RECORDERS[result] as (counts: Counts, result: Recorded) => void;
	recorder(counts, result);
}

/**
Counts a latency in its bucket.
*/
export function countLatency({latencies}: Counts, bucket: number): void {
	latencies.set(bucket, (latencies.get(bucket) ?? 0) + 1);
}

const FAILURES: ReadonlySet<summaries.Result> = new Set(summaries.FAILURE_KINDS);

// A summary doesn't say what came first. Successes before the first failure of a quiet stretch have no evidence to reduce;
// told together with it they would take most of it back, and a server that has just failed would be found seconds later.
function forgetSuccesses(counts: Counts): void {
	if (Object.keys(counts.failures).length === 0) {
		counts.successes = 0;
	}
}

function countFailure(counts: Counts, kind: summaries.FailureKind): void {
	counts.failures[kind] = (counts.failures[kind] ?? 0) + 1;
	counts.urgent++;
}

/**
Results that count; a cancelled request says nothing.
*/
export type Recorded = Exclude<summaries.Result, 'cancelled'>;

const RECORDERS: {readonly [Kind in Recorded]: (counts: Counts, result: Kind) => void} = {
	success(counts) {
		counts.successes++;
	},
	shed(counts) {
		counts.sheds++;
	},
	connect: countFailure,
	reset: countFailure,
	status: countFailure,
	truncated: countFailure,
	timeout: countFailure,
};

/**
Tells what was counted.
*/
export function writeSummary(id: core.UpstreamId, counts: Counts): summaries.UpstreamSummary {
	return {
		id,
		successes: counts.successes,
		failures: counts.failures,
		sheds: counts.sheds,
		latencies: [...counts.latencies].flat(),
	};
}
