/**
Tests of detection as a whole, from summaries to effects.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import type * as detection from '../../index.ts';
import * as service from './service.ts';

const HEALTHY: service.Report = {successes: 3};

const POINTS: readonly detection.OperatingPointName[] = ['fast', 'careful'];

type Case = {
	readonly name: string;
	readonly getReport: (upstream: string, host: number) => service.Report;
	readonly ejected: readonly string[];
};

const CASES: readonly Case[] = [
	{name: 'all healthy', getReport: () => HEALTHY, ejected: []},
	{name: 'one fails', getReport: only('0', {successes: 0, failures: 3}), ejected: ['0']},
	{name: 'one fails for a third', getReport: only('0', {successes: 2, failures: 1}), ejected: ['0']},
	{name: 'one is four times as slow', getReport: only('0', {successes: 2, bucket: 28}), ejected: ['0']},
	{name: 'one is 40% slower', getReport: only('0', {successes: 2, bucket: 22}), ejected: []},
	{name: 'one sheds', getReport: only('0', {successes: 1, sheds: 9}), ejected: []},
	{name: 'all fail for a third', getReport: () => ({successes: 2, failures: 1}), ejected: []},
	{name: 'all are slow', getReport: () => ({successes: 2, bucket: 32}), ejected: []},
	{name: 'half fail', getReport: upstream => ['0', '1', '2'].includes(upstream) ? {successes: 0, failures: 3} : HEALTHY, ejected: []},
	{
		name: 'one host fails everywhere',
		getReport: (_upstream, host) => host === 1 ? {successes: 0, failures: 3} : HEALTHY,
		ejected: [],
	},
	{
		name: 'one host alone fails at one upstream',
		getReport: (upstream, host) => upstream === '0' && host === 0 ? {successes: 0, failures: 3} : HEALTHY,
		ejected: [],
	},
	{
		name: 'a failure domain alone fails at one upstream',
		getReport: (upstream, host) => upstream === '0' && host % 2 === 0 ? {successes: 0, failures: 3} : HEALTHY,
		ejected: [],
	},
];

for (const {name, getReport, ejected} of CASES) {
	for (const operatingPoint of POINTS) {
		test(`${operatingPoint}: ${name}`, t => {
			const subject = service.createService({operatingPoint});
			subject.run(20_000, () => HEALTHY);
			const effects = subject.run(5000, getReport);
			t.deepEqual([...new Set(getRequested(effects))], ejected);
		});
	}
}

test('upstreams that are all equally bad are never ejected, whatever the rate', t => {
	// Symptom: a dependency fails, and the fleet takes out one upstream after the other.
	// Sequence: all upstreams fail at the same rate; by chance one fails more often for a while.
	// Cause: a limit that doesn't move with the peers.
	const seed = 3;
	t.log(`seed ${seed}`);
	const rates = fc.double({min: 0.02, max: 0.9, noNaN: true});
	fc.assert(fc.property(rates, fc.integer({min: 6, max: 12}), fc.nat(), (rate, upstreams, chance) => {
		const random = utils.createRandom(chance);
		const subject = service.createService({upstreams, operatingPoint: 'careful'});
		subject.run(3000, () => HEALTHY);
		const effects = subject.run(4000, () => {
			const failures = [0, 1, 2, 3].filter(() => random() < rate).length;
			return {successes: 4 - failures, failures};
		});
		t.deepEqual(getRequested(effects), []);
	}), {seed, numRuns: 25});
});

test('a host steers away from what it alone cannot reach, and only there', t => {
	// Symptom: one host's requests to one upstream fail while the upstream is well.
	// Sequence: the path from host 0 to upstream 0 breaks; the other hosts go on.
	// Cause: a one-way partition, not a sick upstream.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const effects = subject.run(3000, (upstream, host) =>
		upstream === '0' && host === 0 ? {successes: 0, failures: 3, kind: 'connect'} : HEALTHY);
	const steered = effects.filter(({kind}) => kind === 'steer-away');
	t.like(steered[0], {upstream: '0', cause: 'path'});
	t.true(steered.every(effect => effect.kind === 'steer-away' && effect.upstream === '0'));
});

test('a host that reaches no upstream reports itself and steers nowhere', t => {
	// Symptom: all requests of one host fail, and its load falls on the few upstreams that it still reaches.
	// Sequence: host 0 loses its way to all upstreams at once.
	// Cause: its own network.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const effects = subject.run(3000, (_upstream, host) => host === 0 ? {successes: 0, failures: 3} : HEALTHY);
	t.is(effects.filter(({kind}) => kind === 'report-self').length, 1);
	t.deepEqual(getRequested(effects), []);
});

test('a refused ejection becomes a preference, and is asked for again', t => {
	// Symptom: a sick upstream keeps its work because the floor is reached or the grantor can't be asked.
	// Sequence: a request for a grant is refused.
	// Cause: the floor goes before the ejection; the host may only prefer others.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const sick = only('0', {successes: 0, failures: 3});
	t.deepEqual(getRequested(subject.run(500, sick)), ['0']);
	const refused = subject.send({kind: 'refused', upstream: '0', reason: 'unreachable'});
	t.like(refused, [{kind: 'steer-away', upstream: '0', cause: 'refused'}]);
	t.deepEqual(getRequested(subject.run(1500, sick)), []);
	t.deepEqual(getRequested(subject.run(1500, sick)), ['0']);
});

test('an ejected upstream is tried after a wait that doubles, and comes back after a good trial', t => {
	// Symptom: a flapping upstream gets its whole share again and again.
	// Sequence: it is ejected, comes back after a good trial, and fails again.
	// Cause: a wait that doesn't grow with the ejections.
	const subject = service.createService();
	const waits = [1, 2, 3].map(() => {
		subject.run(5000, () => HEALTHY);
		subject.run(1000, only('0', {successes: 0, failures: 3}));
		subject.send({kind: 'ejected', upstream: '0'});
		const ejectedAt = subject.getNow();
		let wait = 0;
		while (wait === 0) {
			const effects = subject.run(100, only('0', {successes: 0}));
			wait = effects.some(({kind}) => kind === 'start-trial') ? subject.getNow() - ejectedAt : 0;
		}

		const effects = subject.run(2000, () => HEALTHY);
		t.true(effects.some(({kind}) => kind === 'request-readmission'));
		subject.send({kind: 'readmitted', upstream: '0'});
		t.is(subject.getPhase('0'), 'serving');
		return wait;
	});
	t.true(waits[1]! > waits[0]! * 1.6 && waits[2]! > waits[1]! * 1.6, waits.join(', '));
});

test('a trial that fails ends at once and waits longer', t => {
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	subject.send({kind: 'ejected', upstream: '0'});
	const effects = subject.run(8000, only('0', {successes: 0, failures: 1}));
	t.deepEqual(effects.map(({kind}) => kind), ['start-trial', 'end-trial']);
	t.is(subject.getPhase('0'), 'ejected');
});

test('no order of evidence, refusals and hints takes an upstream out without the grantor', t => {
	// Symptom: hosts that can't reach the grantor eject together more than the floor allows.
	// Sequence: evidence, refusals, hints and withdrawn failures in any order, and no decision of the grantor.
	// Cause: a host that acts on its own finding.
	const seed = 8;
	t.log(`seed ${seed}`);
	const upstream = fc.constantFrom('0', '1', '2', '3', '4', '5');
	const move = fc.oneof(
		fc.record({kind: fc.constant('refused' as const), upstream, reason: fc.constantFrom('floor' as const, 'unreachable' as const)}),
		fc.record({kind: fc.constant('health-hint' as const), upstream, isHealthy: fc.boolean()}),
		fc.record({kind: fc.constant('discount' as const), upstream, count: fc.nat({max: 5})}),
		fc.record({kind: fc.constant('readmitted' as const), upstream}),
		fc.record({kind: fc.constant('fail' as const), upstream}),
	);
	fc.assert(fc.property(fc.array(move, {maxLength: 25}), moves => {
		const subject = service.createService();
		subject.run(1000, () => HEALTHY);
		for (const event of moves) {
			if (event.kind === 'fail') {
				subject.run(300, only(event.upstream, {successes: 0, failures: 3}));
			} else {
				subject.send(event);
			}
		}

		const phases = ['0', '1', '2', '3', '4', '5'].map(id => subject.getPhase(id));
		t.true(phases.every(phase => phase === 'serving' || phase === 'requested'));
	}), {seed, numRuns: 30});
});

test('a summary that comes twice counts once', t => {
	// Symptom: an upstream with a few failures is ejected when a connection between hosts is opened anew.
	// Sequence: a summary is sent again because its acknowledgement was lost.
	// Cause: evidence counted twice.
	const subject = service.createService({hosts: 1});
	subject.run(5000, () => HEALTHY);
	const summary: detection.Summary = {
		host: 'host 1',
		failureDomain: 'domain 1',
		epoch: 1,
		sequence: 1,
		upstreams: [{
			id: '0',
			successes: 0,
			failures: {status: 1},
			sheds: 0,
			latencies: [],
		}],
	};
	for (let times = 0; times < 20; times++) {
		subject.send({kind: 'summary', summary});
	}

	t.deepEqual(getRequested(subject.run(1000, () => HEALTHY)), []);
});

test('failures withdrawn as the doing of a request are no evidence', t => {
	// Symptom: innocent upstreams are ejected after a request crashed them.
	// Sequence: failures arrive, then the quarantine withdraws them.
	// Cause: evidence that belongs to the request.
	const subject = service.createService({hosts: 1, operatingPoint: 'careful'});
	subject.run(5000, () => HEALTHY);
	subject.run(100, only('0', {successes: 0, failures: 3}));
	subject.send({kind: 'discount', upstream: '0', count: 3});
	t.deepEqual(getRequested(subject.run(100, only('0', {successes: 0, failures: 2}))), []);
});

test('a cold upstream is not held to the latency of warm ones', t => {
	// Symptom: an upstream that just started is ejected for being slow.
	// Sequence: it announces itself and ramps up with empty caches.
	// Cause: its latency compared with that of warm peers.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const upstreams = Array.from({length: 6}, (_, index): detection.Upstream => ({
		id: String(index),
		state: 'serving',
		...((index === 0) && {rampStartedAt: subject.getNow()}),
	}));
	subject.send({kind: 'upstreams-changed', upstreams});
	t.deepEqual(getRequested(subject.run(9000, only('0', {successes: 2, bucket: 28}))), []);
	t.deepEqual(getRequested(subject.run(3000, only('0', {successes: 0, failures: 3}))), ['0', '0', '0']);
});

test('a lying health endpoint only orders what the evidence calls for', t => {
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	subject.send({kind: 'health-hint', upstream: '3', isHealthy: false});
	t.deepEqual(getRequested(subject.run(2000, () => HEALTHY)), []);
	const getReport = (upstream: string): service.Report => upstream === '1' || upstream === '3'
		? {successes: 0, failures: 3}
		: HEALTHY;
	t.deepEqual(getRequested(subject.run(500, getReport)), ['3', '1']);
});

function only(sick: string, report: service.Report): (upstream: string) => service.Report {
	return upstream => upstream === sick ? report : HEALTHY;
}

function getRequested(effects: readonly detection.Effect[]): string[] {
	return effects.filter(effect => effect.kind === 'request-ejection').map(({upstream}) => upstream);
}
