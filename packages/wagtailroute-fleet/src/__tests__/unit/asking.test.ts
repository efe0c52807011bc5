/**
Tests of asking: who is asked, and what happens when a dispatcher doesn't answer.
*/
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import {type AskDraft, startAsking} from '../../asking.ts';
import type {OpenControl} from '../../control-links.ts';
import * as fixture from './fixture.ts';

const DRAFT: AskDraft = {
	service: 'archive',
	route: 'r',
	requestClass: 'non-idempotent',
	priority: 1,
	remainingMilliseconds: 2000,
	objectiveMilliseconds: 1000,
	excluded: [],
	isResend: false,
};

const CANDIDATE: dispatch.Candidate = {
	upstream: 'own',
	address: {ip: '10.0.0.9', port: 80},
	failureDomain: 'x',
	slots: 4,
	isDraining: false,
	isSilent: false,
	warmAt: 0,
};

const GRANT = ['grant', 'u', '10.0.0.1:80', 0];

type Setup = {
	readonly context: fixture.FakeContext;
	readonly asking: ReturnType<typeof startAsking>;
	readonly link: fixture.FakeLink;
	readonly control: OpenControl;
	readonly retired: Set<string>;
};

function setUp(answer: (method: string, parameters: never) => unknown): Setup {
	const context = fixture.createFakeContext();
	const link = fixture.createFakeLink(answer);
	const control: OpenControl = {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link};
	const retired = new Set<string>();
	const asking = startAsking(context, {
		settings: {
			hostId: 'front',
			failureDomain: 'x',
			seeds: [],
			budget: {ratio: 0.2, extra: 10, windowMilliseconds: 10_000},
			floor: 0.7,
			trafficAddress: {ip: '10.0.0.3', port: 1},
			linkBytesPerSecond: 1_000_000,
			stopMilliseconds: 6000,
		},
		getOpen: () => [control],
		listCandidates: () => [CANDIDATE],
		isRetired: upstream => retired.has(upstream),
	});
	return {
		context, asking, link, control, retired,
	};
}

test('the dispatcher is told the route once, asked for each request and told each end', async t => {
	const {asking, link} = setUp(() => GRANT);
	const first = await asking.ask(DRAFT).answer;
	await asking.ask(DRAFT).answer;
	t.like(first, {kind: 'grant', upstream: 'u', id: 'front:1'});
	asking.end('front:1', 'success', 120);
	t.deepEqual(link.called.map(([, parameters]) => parameters), [[1, 0, 2000], [2, 0, 2000]]);
	t.deepEqual(link.notified.map(([method]) => method), ['dispatch.hold', 'dispatch.route', 'dispatch.end']);
	t.deepEqual(link.notified.at(-1)?.[1], [1, 'success', 120]);
});

test('an ask that waits is answered later', async t => {
	const {asking} = setUp(() => ['wait']);
	const asked = asking.ask(DRAFT);
	asking.hearAnswer(1, ['refuse', 'no-slot-in-time', 300]);
	t.deepEqual(await asked.answer, {kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 300});
});

test('without an answer in time the host dispatches alone, gives the late place back, and passes the dispatcher over for a while', async t => {
	// Symptom: requests wait until their deadline although upstreams are free.
	// Sequence: the control host that dispatches the service is stopped with its connections open.
	// Cause: an ask had no time limit of its own.
	const {asking, link, context} = setUp(() => undefined);
	t.like(await asking.ask(DRAFT).answer, {kind: 'grant', upstream: 'own'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'cancelled', 0]]]);
	const calls = link.called.length;
	await asking.ask(DRAFT).answer;
	t.is(link.called.length, calls);
	asking.end('front:1', 'success', 100);
	asking.end('front:2', 'success', 100);
	await context.pass(1500);
	await asking.ask(DRAFT).answer;
	t.is(link.called.length, calls + 1);
});

test('what waits at a dispatcher whose link is lost is dispatched alone', async t => {
	const {asking, control, context} = setUp(() => ['wait']);
	const asked = asking.ask(DRAFT);
	await context.pass(1);
	asking.loseControl(control);
	t.like(await asked.answer, {kind: 'grant', upstream: 'own'});
});

test('a place at an upstream that was retired here is given back and another one asked for', async t => {
	// Symptom: a request reaches an upstream after its draining was acknowledged.
	// Sequence: the dispatcher is cut off from the other control hosts and does not hear of the retirement; this host does.
	// Cause: the host trusted the dispatcher alone.
	let asks = 0;
	const {asking, link, retired} = setUp(() => {
		asks++;
		return asks === 1 ? GRANT : ['grant', 'v', '10.0.0.5:80', 0];
	});
	retired.add('u');
	t.like(await asking.ask(DRAFT).answer, {kind: 'grant', upstream: 'v', id: 'front:2'});
	t.deepEqual(link.called.at(-1)?.[1], [2, 0, 2000, ['u'], false]);
	t.true(link.notified.some(([method, parameters]) => method === 'dispatch.end' && JSON.stringify(parameters) === '[1,"cancelled",0]'));
});

test('a request that is given up gives its place back, whenever it comes', async t => {
	const {asking, link} = setUp(() => ['wait']);
	const asked = asking.ask(DRAFT);
	asked.cancel();
	t.like(await asked.answer, {kind: 'refuse'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'cancelled', 0]]]);
});
