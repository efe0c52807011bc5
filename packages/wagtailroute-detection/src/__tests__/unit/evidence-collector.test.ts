/**
Tests of the collector of one host's evidence.
*/
import test from 'ava';
import * as detection from '../../index.ts';

const CASES: ReadonlyArray<{
	readonly result: detection.RequestResult;
	readonly counted: Pick<detection.UpstreamSummary, 'successes' | 'failures' | 'sheds'> | undefined;
	readonly isUrgent: boolean;
}> = [
	{result: 'success', counted: {successes: 1, failures: {}, sheds: 0}, isUrgent: false},
	{result: 'shed', counted: {successes: 0, failures: {}, sheds: 1}, isUrgent: false},
	{result: 'cancelled', counted: undefined, isUrgent: false},
	...detection.FAILURE_KINDS.map(kind => ({
		result: kind,
		counted: {successes: 0, failures: {[kind]: 1}, sheds: 0},
		isUrgent: true,
	})),
];

for (const {result, counted, isUrgent} of CASES) {
	test(`a request with the result ${result} is counted by its result`, t => {
		const collector = createCollector();
		collector.end(collector.begin('u', 0), result, 20);
		t.is(collector.hasUrgentEvidence(20), isUrgent);
		const summary = collector.collectSummary(20);
		const actual = summary?.upstreams.map(({successes, failures, sheds}) => ({successes, failures, sheds}));
		t.deepEqual(actual, counted === undefined ? undefined : [counted]);
		t.is(collector.collectSummary(30), undefined);
	});
}

test('a hanging request is reported before it ends, at most twice', t => {
	// Guards against a half-open upstream that occupies all its slots until the timeouts, because it never answers and latency
	// counts only at the end of a request.
	const collector = createCollector();
	for (let request = 0; request < 30; request++) {
		collector.record('u', 'success', 20);
	}

	collector.collectSummary(0);
	const request = collector.begin('u', 0);
	t.is(collector.collectSummary(30), undefined);
	t.true(collector.hasUrgentEvidence(100));
	t.is(countLatencies(collector.collectSummary(100)), 1);
	t.is(countLatencies(collector.collectSummary(200)), 1);
	t.is(collector.collectSummary(5000), undefined);
	collector.end(request, 'success', 6000);
	t.is(countLatencies(collector.collectSummary(6000)), 0);
});

function createCollector(): detection.EvidenceCollector {
	return detection.createEvidenceCollector({host: 'h', failureDomain: 'd', epoch: 1});
}

function countLatencies(summary: detection.Summary | undefined): number {
	let total = 0;
	for (const [index, value] of (summary?.upstreams[0]?.latencies ?? []).entries()) {
		total += index % 2 === 1 ? value : 0;
	}

	return total;
}

test('successes before the first failure are dropped, those after an alert count', t => {
	// Guards against an ejection that comes seconds too late: an upstream answers well, then fails once and gets no more requests,
	// and the earlier successes in the same summary cancel the evidence of the failure.
	const collector = createCollector();
	const succeed = () => {
		collector.record('u', 'success', 20);
	};

	succeed();
	collector.record('u', 'status', 20);
	succeed();
	t.like(collector.collectDueSummary(1000, 1000)?.upstreams, [{successes: 1, failures: {status: 1}}]);
	collector.record('u', 'status', 20);
	t.like(collector.collectDueSummary(1100, 1000)?.upstreams, [{successes: 0, failures: {status: 1}}]);
	succeed();
	collector.record('u', 'status', 20);
	t.like(collector.collectDueSummary(1200, 1000)?.upstreams, [{successes: 1, failures: {status: 1}}]);
});

test('summaries between the full ones contain only upstreams with urgent evidence and those that any host alerted', t => {
	// Guards against late detection of a sick upstream, and against constant traffic between hosts, as a single summary interval
	// causes: one host sees failures, and the others have successes that they haven't sent yet.
	const collector = createCollector();
	collector.collectDueSummary(1000, 1000);
	collector.record('u', 'success', 20);
	collector.record('v', 'success', 20);
	t.is(collector.collectDueSummary(1400, 1000), undefined);
	collector.applySummary({
		host: 'other', failureDomain: 'd', epoch: 1, sequence: 1, upstreams: [{
			id: 'u', successes: 0, failures: {reset: 2}, sheds: 0, latencies: [],
		}],
	}, 1400);
	t.deepEqual(collector.collectDueSummary(1410, 1000)?.upstreams.map(({id}) => id), ['u']);
	t.is(collector.collectDueSummary(1420, 1000), undefined);
	t.deepEqual(collector.collectDueSummary(2000, 1000)?.upstreams.map(({id}) => id), ['v']);
});
