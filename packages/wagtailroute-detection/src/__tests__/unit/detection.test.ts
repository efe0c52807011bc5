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
	{name: 'one fails', getReport: reportSick('0', {successes: 0, failures: 3}), ejected: ['0']},
	{name: 'one fails for a third', getReport: reportSick('0', {successes: 2, failures: 1}), ejected: ['0']},
	{name: 'one is four times as slow', getReport: reportSick('0', {successes: 2, bucket: 28}), ejected: ['0']},
	{name: 'one is 40% slower', getReport: reportSick('0', {successes: 2, bucket: 22}), ejected: []},
	{name: 'one sheds', getReport: reportSick('0', {successes: 1, sheds: 9}), ejected: []},
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
			t.deepEqual([...new Set(listRequestedEjections(effects))], ejected);
		});
	}
}

test('upstreams that are all equally bad are never ejected, whatever the rate', t => {
	// Guards against the ejection of one upstream after the other when a common dependency fails: all upstreams fail at the same
	// rate, one by chance more often for a while, and the limit doesn't follow the peers.
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
		t.deepEqual(listRequestedEjections(effects), []);
	}), {seed, numRuns: 25});
});

test('a host steers away from an upstream that it alone cannot reach, and from no other', t => {
	// Guards against a host that keeps sending requests over a broken path: after a one-way partition, only host 0 can't reach
	// upstream 0, which is healthy.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const effects = subject.run(3000, (upstream, host) =>
		upstream === '0' && host === 0 ? {successes: 0, failures: 3, kind: 'connect'} : HEALTHY);
	const steered = effects.filter(({kind}) => kind === 'steer-away');
	t.like(steered[0], {upstream: '0', cause: 'path'});
	t.true(steered.every(effect => effect.kind === 'steer-away' && effect.upstream === '0'));
});

test('a host that reaches no upstream reports its own network and requests no ejection', t => {
	// Guards against a host that sends its whole load to the few upstreams that it still reaches: host 0 loses its connections to
	// all upstreams at once through a fault of its own network.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const effects = subject.run(3000, (_upstream, host) => host === 0 ? {successes: 0, failures: 3} : HEALTHY);
	t.is(effects.filter(({kind}) => kind === 'report-self').length, 1);
	t.deepEqual(listRequestedEjections(effects), []);
});

test('after a refused ejection the host steers away, and requests the ejection again', t => {
	// Guards against a sick upstream that keeps its work because the floor is reached or the grantor is unreachable: the floor has
	// priority over the ejection, so the host may only prefer other upstreams.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const sick = reportSick('0', {successes: 0, failures: 3});
	t.deepEqual(listRequestedEjections(subject.run(500, sick)), ['0']);
	const refused = subject.send({kind: 'refused', upstream: '0', reason: 'unreachable'});
	t.like(refused, [{kind: 'steer-away', upstream: '0', cause: 'refused'}]);
	t.deepEqual(listRequestedEjections(subject.run(1500, sick)), []);
	t.deepEqual(listRequestedEjections(subject.run(1500, sick)), ['0']);
});

test('the time before the trial of an ejected upstream doubles, and a successful trial ends the ejection', t => {
	// Guards against a flapping upstream that repeatedly gets its full traffic: it is ejected, re-admitted after a successful
	// trial, and fails again, and the time before the trial doesn't grow.
	const subject = service.createService();
	const ejectionTimes = [1, 2, 3].map(() => {
		subject.run(5000, () => HEALTHY);
		subject.run(1000, reportSick('0', {successes: 0, failures: 3}));
		subject.send({kind: 'ejected', upstream: '0'});
		const ejectedAt = subject.getNow();
		let ejectionTime = 0;
		while (ejectionTime === 0) {
			const effects = subject.run(100, reportSick('0', {successes: 0}));
			ejectionTime = effects.some(({kind}) => kind === 'start-trial') ? subject.getNow() - ejectedAt : 0;
		}

		const effects = subject.run(2000, () => HEALTHY);
		t.true(effects.some(({kind}) => kind === 'request-readmission'));
		subject.send({kind: 'readmitted', upstream: '0'});
		t.is(subject.getPhase('0'), 'serving');
		return ejectionTime;
	});
	t.true(ejectionTimes[1]! > ejectionTimes[0]! * 1.6 && ejectionTimes[2]! > ejectionTimes[1]! * 1.6, ejectionTimes.join(', '));
});

test('a failed trial ends at once, and the upstream is ejected again', t => {
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	subject.send({kind: 'ejected', upstream: '0'});
	const effects = subject.run(8000, reportSick('0', {successes: 0, failures: 1}));
	t.deepEqual(effects.map(({kind}) => kind), ['start-trial', 'end-trial']);
	t.is(subject.getPhase('0'), 'ejected');
});

test('no order of evidence, refusals and hints ejects an upstream without the grantor', t => {
	// Guards against hosts that eject upstreams on their own findings, and together more than the floor allows, while the grantor
	// is unreachable.
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
				subject.run(300, reportSick(event.upstream, {successes: 0, failures: 3}));
			} else {
				subject.send(event);
			}
		}

		const phases = ['0', '1', '2', '3', '4', '5'].map(id => subject.getPhase(id));
		t.true(phases.every(phase => phase === 'serving' || phase === 'requested'));
	}), {seed, numRuns: 30});
});

test('a summary that arrives twice counts once', t => {
	// Guards against evidence that counts several times: a summary is sent again after its acknowledgement was lost, and an
	// upstream with a few failures is ejected.
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

	t.deepEqual(listRequestedEjections(subject.run(1000, () => HEALTHY)), []);
});

test('failures withdrawn because a request caused them are no evidence', t => {
	// Guards against the ejection of healthy upstreams that a request crashed: their failures are counted first, then withdrawn by
	// the quarantine of the request.
	const subject = service.createService({hosts: 1, operatingPoint: 'careful'});
	subject.run(5000, () => HEALTHY);
	subject.run(100, reportSick('0', {successes: 0, failures: 3}));
	subject.send({kind: 'discount', upstream: '0', count: 3});
	t.deepEqual(listRequestedEjections(subject.run(100, reportSick('0', {successes: 0, failures: 2}))), []);
});

test('a cold upstream is not compared with the latency of warm ones', t => {
	// Guards against the ejection of an upstream for slowness while it ramps up with empty caches.
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	const upstreams = Array.from({length: 6}, (_, index): detection.Upstream => ({
		id: String(index),
		state: 'serving',
		...((index === 0) && {rampStartedAt: subject.getNow()}),
	}));
	subject.send({kind: 'upstreams-changed', upstreams});
	t.deepEqual(listRequestedEjections(subject.run(9000, reportSick('0', {successes: 2, bucket: 28}))), []);
	t.deepEqual(listRequestedEjections(subject.run(3000, reportSick('0', {successes: 0, failures: 3}))), ['0', '0', '0']);
});

test('a wrong health endpoint only changes the order of the requested ejections', t => {
	const subject = service.createService();
	subject.run(5000, () => HEALTHY);
	subject.send({kind: 'health-hint', upstream: '3', isHealthy: false});
	t.deepEqual(listRequestedEjections(subject.run(2000, () => HEALTHY)), []);
	const getReport = (upstream: string): service.Report => upstream === '1' || upstream === '3'
		? {successes: 0, failures: 3}
		: HEALTHY;
	t.deepEqual(listRequestedEjections(subject.run(500, getReport)), ['3', '1']);
});

function reportSick(sick: string, report: service.Report): (upstream: string) => service.Report {
	return upstream => upstream === sick ? report : HEALTHY;
}

function listRequestedEjections(effects: readonly detection.Effect[]): string[] {
	return effects.filter(effect => effect.kind === 'request-ejection').map(({upstream}) => upstream);
}
