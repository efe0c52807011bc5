/**
Counts of a host's requests at one upstream between two summaries.
*/
import type * as core from 'wagtailroute-core';
import * as summaries from './summaries.ts';

/**
Counts of one upstream, mutable because each request changes them. `latencies` holds sample counts by bucket; `urgentEvents`
counts the failures and overdue reports.
*/
export type RequestCounts = {
	successes: number;
	failures: Partial<Record<summaries.FailureKind, number>>;
	sheds: number;
	latencies: Map<number, number>;
	urgentEvents: number;
};

/**
Creates counts without requests.
*/
export function createRequestCounts(): RequestCounts {
	return {
		successes: 0, failures: {}, sheds: 0, latencies: new Map(), urgentEvents: 0,
	};
}

/**
Counts the result of a request. `isQuiet`: whether the upstream is not alerted.
*/
export function countResult(counts: RequestCounts, result: CountedResult, isQuiet: boolean): void {
	if (isQuiet && FAILURES.has(result)) {
		dropEarlierSuccesses(counts);
	}

	const recorder = RECORDERS[result] as (counts: RequestCounts, result: CountedResult) => void;
	recorder(counts, result);
}

/**
Counts a latency in its bucket.
*/
export function countLatency({latencies}: RequestCounts, bucket: number): void {
	latencies.set(bucket, (latencies.get(bucket) ?? 0) + 1);
}

const FAILURES: ReadonlySet<summaries.RequestResult> = new Set(summaries.FAILURE_KINDS);

// A summary doesn't contain the order of requests. Successes before the first failure of a quiet period have no evidence to
// reduce. In one summary with the failure, they would cancel most of its evidence, and the failing server would be found
// seconds later.
function dropEarlierSuccesses(counts: RequestCounts): void {
	if (Object.keys(counts.failures).length === 0) {
		counts.successes = 0;
	}
}

function countFailure(counts: RequestCounts, kind: summaries.FailureKind): void {
	counts.failures[kind] = (counts.failures[kind] ?? 0) + 1;
	counts.urgentEvents++;
}

/**
Results that are counted; a cancelled request is no evidence.
*/
export type CountedResult = Exclude<summaries.RequestResult, 'cancelled'>;

const RECORDERS: {readonly [Kind in CountedResult]: (counts: RequestCounts, result: Kind) => void} = {
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
Returns the counts in the form that is sent to other hosts.
*/
export function createUpstreamSummary(id: core.UpstreamId, counts: RequestCounts): summaries.UpstreamSummary {
	return {
		id,
		successes: counts.successes,
		failures: counts.failures,
		sheds: counts.sheds,
		latencies: [...counts.latencies].flat(),
	};
}
