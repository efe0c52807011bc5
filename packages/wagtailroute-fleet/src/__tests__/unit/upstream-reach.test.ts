/**
Tests of how an entry host finds out that it reaches no upstream, and that it reaches them again.
*/
import * as stream from 'node:stream';
import test from 'ava';
import type * as instances from 'wagtailroute-instances';
import type * as proxy from 'wagtailroute-proxy';
import * as telemetry from 'wagtailroute-telemetry';
import {createUpstreamReach, type UpstreamReach} from '../../upstream-reach.ts';
import {createFakeContext, type FakeContext} from './fixture.ts';

const CHECK_MILLISECONDS = 100;

type FakeResult = proxy.ProbeResult | 'throws';

type Reach = UpstreamReach & {
	readonly context: FakeContext;
	/**
	Results of health checks by upstream.
	*/
	readonly results: Map<string, FakeResult>;
	readonly probed: string[];
	readonly changes: boolean[];
	/**
	Returns the lines of the log.
	*/
	readonly readLog: () => ReadonlyArray<Readonly<Record<string, unknown>>>;
};

function createReach(upstreams: readonly string[]): Reach {
	const context = createFakeContext();
	const results = new Map<string, FakeResult>(upstreams.map(upstream => [upstream, 'answered']));
	const probed: string[] = [];
	const changes: boolean[] = [];
	const output = new stream.PassThrough({encoding: 'utf8'});
	const logs = telemetry.createLogs({
		output, level: 'warn', now: context.now, fields: {},
	});
	const reach = createUpstreamReach({...context, logs}, {
		listInstances: () => upstreams.map((upstream, index): instances.Instance => ({
			upstream, service: 's', address: {ip: '10.0.0.1', port: index}, failureDomain: 'a', slots: 1, sequence: 1, state: 'serving', heardAt: 0, warmAt: 0,
		})),
		async probe({upstream}) {
			probed.push(upstream);
			await new Promise<void>(resolve => {
				context.schedule(CHECK_MILLISECONDS, resolve);
			});
			const result = results.get(upstream)!;
			if (result === 'throws') {
				throw new Error('a check that throws');
			}

			return result;
		},
		onChanged(isIsolated) {
			changes.push(isIsolated);
		},
	});
	return {
		...reach,
		context,
		results,
		probed,
		changes,
		readLog: () => String(output.read() ?? '').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Readonly<Record<string, unknown>>),
	};
}

function setAll({results}: Reach, result: FakeResult): void {
	for (const upstream of results.keys()) {
		results.set(upstream, result);
	}
}

async function confirm({confirm: confirmReach, context}: Reach, upstream = 'a'): Promise<boolean> {
	const [isReached] = await Promise.all([confirmReach(upstream), context.pass(CHECK_MILLISECONDS * 2)]);
	return isReached;
}

const UPSTREAMS = ['a', 'b', 'c', 'd', 'e', 'f'];

type Case = {
	readonly name: string;
	readonly upstreams?: readonly string[];
	readonly all: proxy.ProbeResult;
	/**
	Upstreams that answer all the same.
	*/
	readonly answering?: readonly string[];
	/**
	A request is answered during the checks.
	*/
	readonly isAnswered?: boolean;
	readonly isReached: boolean;
};

const CASES: readonly Case[] = [
	{name: 'whose checks are answered', all: 'answered', isReached: true},
	{name: 'whose checks stay silent', all: 'silent', isReached: false},
	{name: 'whose checks are refused', all: 'gone', isReached: false},
	{name: 'whose connections are closed', all: 'closed', isReached: false},
	{
		name: 'at which only the upstream that failed would answer', all: 'silent', answering: ['a'], isReached: false,
	},
	{
		name: 'at which every other upstream answers', all: 'silent', answering: ['b', 'd', 'f'], isReached: true,
	},
	{
		name: 'whose checks stay silent while a request is answered', all: 'silent', isAnswered: true, isReached: true,
	},
	{
		name: 'whose checks are refused while a request is answered on an open connection', all: 'gone', isAnswered: true, isReached: false,
	},
	{
		name: 'that knows only one other upstream', upstreams: ['a', 'b'], all: 'silent', isReached: true,
	},
];

for (const {name, upstreams = UPSTREAMS, all, answering = [], isAnswered = false, isReached} of CASES) {
	test(`a host ${name} ${isReached ? 'reaches upstreams' : 'is isolated'}`, async t => {
		// Guards against upstreams that are suspended for the whole fleet because one host has lost its paths, and against hosts that give up theirs for one bad upstream.
		const reach = createReach(upstreams);
		setAll(reach, all);
		for (const upstream of answering) {
			reach.results.set(upstream, 'answered');
		}

		reach.context.schedule(CHECK_MILLISECONDS / 2, () => {
			if (isAnswered) {
				reach.recordAnswer('f');
			}
		});
		t.is(await confirm(reach), isReached);
		t.is(reach.isIsolated(), !isReached);
		t.deepEqual(reach.changes, isReached ? [] : [true]);
	});
}

for (const {name, answering} of [
	{name: 'when its upstreams answer again', answering: UPSTREAMS},
	{name: 'when a new upstream answers though the others have ended', answering: ['f']},
]) {
	test(`a host that is isolated uses its paths again ${name}`, async t => {
		const reach = createReach(UPSTREAMS);
		for (const upstream of ['a', 'b', 'c', 'd']) {
			reach.recordAnswer(upstream);
		}

		await reach.context.pass(1);
		setAll(reach, 'silent');
		await confirm(reach);
		await reach.context.pass(3000);
		t.true(reach.isIsolated());
		for (const upstream of answering) {
			reach.results.set(upstream, 'answered');
		}

		await reach.context.pass(1000);
		t.false(reach.isIsolated());
		t.deepEqual(reach.changes, [true, false]);
	});
}

for (const {name, all, isIsolated} of [
	{name: 'uses its paths again when a request is answered although checks stay silent', all: 'silent', isIsolated: false},
	{name: 'stays isolated when a request is answered on an open connection and checks are refused', all: 'gone', isIsolated: true},
] as const) {
	test(`a host that is isolated ${name}`, async t => {
		// Guards against a host that refuses what others forward and withholds its reports for seconds although upstreams answer it, because they are too busy for health checks.
		const reach = createReach(UPSTREAMS);
		setAll(reach, all);
		await confirm(reach);
		t.true(reach.isIsolated());
		await reach.context.pass(1000 + (CHECK_MILLISECONDS / 2));
		for (const _ of UPSTREAMS) {
			reach.recordAnswer('f');
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			await reach.context.pass(CHECK_MILLISECONDS);
		}

		t.is(reach.isIsolated(), isIsolated);
	});
}

test('the log names the checks that made a host isolated and those that ended it', async t => {
	// Guards against an isolation whose cause can't be told: paths that are lost, upstreams that have ended, or checks that are too slow.
	const reach = createReach(['a', 'b', 'c']);
	reach.recordAnswer('b');
	await reach.context.pass(1200);
	setAll(reach, 'silent');
	reach.results.set('c', 'gone');
	await confirm(reach);
	setAll(reach, 'answered');
	await reach.context.pass(1000);
	const [isolated, reached] = reach.readLog();
	t.deepEqual(isolated!.checks, [{upstream: 'b', result: 'silent'}, {upstream: 'c', result: 'gone'}]);
	t.is(isolated!.answeredMillisecondsAgo, 1200 + (CHECK_MILLISECONDS * 2));
	t.true((reached!.checks as ReadonlyArray<{readonly result: string}>).some(({result}) => result === 'answered'));
});

test('a host checks the upstreams that answered last, not those that have ended', async t => {
	// Guards against a host that holds itself for isolated because most of the upstreams that it knows have crashed.
	const ended = Array.from({length: 40}, (_, index) => `ended-${index}`);
	const reach = createReach([...ended, 'a', 'b', 'c']);
	setAll(reach, 'gone');
	for (const upstream of ['a', 'b', 'c']) {
		reach.results.set(upstream, 'answered');
		reach.recordAnswer(upstream);
	}

	t.true(await confirm(reach, 'ended-0'));
	t.deepEqual(reach.probed, ['c']);
});

test('the first failure after an answer counts at once, and further ones after a check', async t => {
	// Guards against reports of a failure period that come late, since each request waits for a check.
	const reach = createReach(UPSTREAMS);
	setAll(reach, 'gone');
	reach.recordAnswer('b');
	t.true(await reach.confirm('a'));
	const second = reach.confirm('c');
	await reach.context.pass(CHECK_MILLISECONDS * 2);
	t.false(await second);
	t.true(reach.isIsolated());
});

type SilenceCase = {
	readonly name: string;
	/**
	Upstreams that requests are sent to, one each 100 ms.
	*/
	readonly sentTo: readonly string[];
	/**
	When an upstream answers a request, in milliseconds; absent: never.
	*/
	readonly answeredAt?: number;
	readonly all: proxy.ProbeResult;
	readonly isChecked: boolean;
	readonly isIsolated: boolean;
};

const SILENCE_CASES: readonly SilenceCase[] = [
	{
		name: 'no upstream answers requests or checks', sentTo: ['a', 'b', 'c'], all: 'silent', isChecked: true, isIsolated: true,
	},
	{
		name: 'requests are unanswered and checks are answered', sentTo: ['a', 'b', 'c'], all: 'answered', isChecked: true, isIsolated: false,
	},
	{
		name: 'a request is answered', sentTo: ['a', 'b', 'c'], answeredAt: 450, all: 'silent', isChecked: false, isIsolated: false,
	},
	{
		name: 'only two upstreams have requests', sentTo: ['a', 'b', 'a'], all: 'silent', isChecked: false, isIsolated: false,
	},
];

for (const {name, sentTo, answeredAt, all, isChecked, isIsolated} of SILENCE_CASES) {
	test(`a host ${isChecked ? 'checks' : 'does not check'} its paths after half a second in which ${name}`, async t => {
		// Guards against requests that are lost for the length of a deadline because connections hang and no attempt fails before it.
		const reach = createReach(UPSTREAMS);
		setAll(reach, all);
		if (answeredAt !== undefined) {
			reach.context.schedule(answeredAt, () => {
				reach.recordAnswer('d');
			});
		}

		for (const upstream of sentTo) {
			reach.recordSent(upstream);
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			await reach.context.pass(100);
		}

		await reach.context.pass(200 + (CHECK_MILLISECONDS * 2));
		t.is(reach.probed.length > 0, isChecked);
		t.is(reach.isIsolated(), isIsolated);
	});
}

test('failures in quick succession share one check', async t => {
	const reach = createReach(UPSTREAMS);
	const confirmed = ['a', 'b', 'c'].map(async upstream => reach.confirm(upstream));
	await reach.context.pass(CHECK_MILLISECONDS);
	t.deepEqual(await Promise.all(confirmed), [true, true, true]);
	t.true(await reach.confirm('d'));
	t.is(reach.probed.length, 1);
});

// Guards against an upstream that can't be checked: the error ended the process, or left a check that never finished.
test('a check of one upstream that throws ends neither the process nor the check of the others', async t => {
	const reach = createReach(UPSTREAMS);
	setAll(reach, 'throws');
	reach.results.set('f', 'answered');
	t.true(await confirm(reach));
	await reach.context.pass(5000);
	setAll(reach, 'throws');
	for (const upstream of UPSTREAMS) {
		reach.recordSent(upstream);
	}

	await reach.context.pass(5000);
	t.true(reach.isIsolated(), 'without an answer the host counts as isolated');
	setAll(reach, 'answered');
	await reach.context.pass(5000);
	t.false(reach.isIsolated(), 'further checks are made');
});
