/**
Tests of the evidence that one host collects.
*/
import test from 'ava';
import * as detection from '../../index.ts';

const CASES: ReadonlyArray<{
	readonly result: detection.Result;
	readonly seen: Pick<detection.UpstreamSummary, 'successes' | 'failures' | 'sheds'> | undefined;
	readonly urgent: boolean;
}> = [
	{result: 'success', seen: {successes: 1, failures: {}, sheds: 0}, urgent: false},
	{result: 'shed', seen: {successes: 0, failures: {}, sheds: 1}, urgent: false},
	{result: 'cancelled', seen: undefined, urgent: false},
	...detection.FAILURE_KINDS.map(kind => ({
		result: kind,
		seen: {successes: 0, failures: {[kind]: 1}, sheds: 0},
		urgent: true,
	})),
];

for (const {result, seen, urgent} of CASES) {
	test(`a request that ends with ${result} is counted apart`, t => {
		const evidence = createEvidence();
		evidence.end(evidence.begin('u', 0), result, 20);
		t.is(evidence.isUrgent(20), urgent);
		const summary = evidence.takeSummary(20);
		const counted = summary?.upstreams.map(({successes, failures, sheds}) => ({successes, failures, sheds}));
		t.deepEqual(counted, seen === undefined ? undefined : [seen]);
		t.is(evidence.takeSummary(30), undefined);
	});
}

test('a request that hangs is reported before it ends, twice at most', t => {
	// Symptom: a half-open upstream holds all its slots until the timeouts.
	// Sequence: requests are sent to it and none comes back.
	// Cause: latency that counts only when a request ends.
	const evidence = createEvidence();
	for (let request = 0; request < 30; request++) {
		evidence.record('u', 'success', 20);
	}

	evidence.takeSummary(0);
	const ticket = evidence.begin('u', 0);
	t.is(evidence.takeSummary(30), undefined);
	t.true(evidence.isUrgent(100));
	t.is(countLatencies(evidence.takeSummary(100)), 1);
	t.is(countLatencies(evidence.takeSummary(200)), 1);
	t.is(evidence.takeSummary(5000), undefined);
	evidence.end(ticket, 'success', 6000);
	t.is(countLatencies(evidence.takeSummary(6000)), 0);
});

function createEvidence(): detection.Evidence {
	return detection.createEvidence({host: 'h', failureDomain: 'd', epoch: 1});
}

function countLatencies(summary: detection.Summary | undefined): number {
	let total = 0;
	for (const [index, value] of (summary?.upstreams[0]?.latencies ?? []).entries()) {
		total += index % 2 === 1 ? value : 0;
	}

	return total;
}
