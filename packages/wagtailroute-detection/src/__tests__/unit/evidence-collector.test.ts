/**
Tests of the evidence that one host collects.
*/
import test from 'ava';
import * as detection from '../../index.ts';

const CASES: ReadonlyArray<{
	readonly result: detection.RequestResult;
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
		t.is(evidence.hasUrgentEvidence(20), urgent);
		const summary = evidence.collectSummary(20);
		const counted = summary?.upstreams.map(({successes, failures, sheds}) => ({successes, failures, sheds}));
		t.deepEqual(counted, seen === undefined ? undefined : [seen]);
		t.is(evidence.collectSummary(30), undefined);
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

	evidence.collectSummary(0);
	const ticket = evidence.begin('u', 0);
	t.is(evidence.collectSummary(30), undefined);
	t.true(evidence.hasUrgentEvidence(100));
	t.is(countLatencies(evidence.collectSummary(100)), 1);
	t.is(countLatencies(evidence.collectSummary(200)), 1);
	t.is(evidence.collectSummary(5000), undefined);
	evidence.end(ticket, 'success', 6000);
	t.is(countLatencies(evidence.collectSummary(6000)), 0);
});

function createEvidence(): detection.EvidenceCollector {
	return detection.createEvidenceCollector({host: 'h', failureDomain: 'd', epoch: 1});
}

function countLatencies(summary: detection.Summary | undefined): number {
	let total = 0;
	for (const [index, value] of (summary?.upstreams[0]?.latencies ?? []).entries()) {
		total += index % 2 === 1 ? value : 0;
	}

	return total;
}

test('successes before the first failure take nothing from it, those after an alert do', t => {
	// Symptom: an upstream that began to fail is ejected seconds later than its failures call for.
	// Sequence: it serves well, fails once, and the choice of upstreams sends it nothing more.
	// Cause: successes of the time before, told in one summary with the failure.
	const evidence = createEvidence();
	const succeed = () => {
		evidence.record('u', 'success', 20);
	};

	succeed();
	evidence.record('u', 'status', 20);
	succeed();
	t.like(evidence.collectDueSummary(1000, 1000)?.upstreams, [{successes: 1, failures: {status: 1}}]);
	evidence.record('u', 'status', 20);
	t.like(evidence.collectDueSummary(1100, 1000)?.upstreams, [{successes: 0, failures: {status: 1}}]);
	succeed();
	evidence.record('u', 'status', 20);
	t.like(evidence.collectDueSummary(1200, 1000)?.upstreams, [{successes: 1, failures: {status: 1}}]);
});

test('in quiet times only what is urgent is told between whole summaries, and what is alerted from any host', t => {
	// Symptom: a sick upstream is found late, or hosts tell each other everything all the time.
	// Sequence: one host sees failures; the others have sent it good requests that they haven't told yet.
	// Cause: one period for all that is told.
	const evidence = createEvidence();
	evidence.collectDueSummary(1000, 1000);
	evidence.record('u', 'success', 20);
	evidence.record('v', 'success', 20);
	t.is(evidence.collectDueSummary(1400, 1000), undefined);
	evidence.applySummary({
		host: 'other', failureDomain: 'd', epoch: 1, sequence: 1, upstreams: [{
			id: 'u', successes: 0, failures: {reset: 2}, sheds: 0, latencies: [],
		}],
	}, 1400);
	t.deepEqual(evidence.collectDueSummary(1410, 1000)?.upstreams.map(({id}) => id), ['u']);
	t.is(evidence.collectDueSummary(1420, 1000), undefined);
	t.deepEqual(evidence.collectDueSummary(2000, 1000)?.upstreams.map(({id}) => id), ['v']);
});
