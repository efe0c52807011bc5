/**
Tests of asking: who is asked, and what happens when a dispatcher doesn't answer.
*/
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import {createAsking} from '../../asking.ts';
import type {EncodedAnswer, EncodedSlotRequest} from '../../slot-request-encoding.ts';
import type {OpenControl} from '../../control-links.ts';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import {orderDispatchers} from '../../dispatch-order.ts';
import * as fixture from './fixture.ts';

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
	readonly asking: ReturnType<typeof createAsking>;
	readonly link: fixture.FakeLink;
	readonly control: OpenControl;
	readonly retired: Set<string>;
	/**
	How long large bodies hold the host's own link.
	*/
	readonly delay: {milliseconds: number};
};

function setUp(
	answer: (method: string, parameters: never) => unknown,
	others: readonly OpenControl[] = [],
	standbys: readonly OpenControl[] = [],
): Setup {
	const context = fixture.createFakeContext();
	const link = fixture.createFakeLink(answer);
	const control: OpenControl = {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link};
	const retired = new Set<string>();
	const delay = {milliseconds: 0};
	const controls = [control, ...others];
	const own = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0.7},
		listCandidates: () => [CANDIDATE],
		listStandbys: () => [],
		notify(_host, _method, parameters) {
			asking.hearAnswer(...parameters as [number, EncodedAnswer]);
		},
		notifyControlHosts: () => undefined,
	});
	const asking = createAsking(context, {
		settings: {hostId: 'front', failureDomain: 'x', allotments: fixture.ALLOTMENTS},
		countEntryHosts: () => 3,
		getControls: () => controls.filter(({link: of}) => of.isOpen()),
		standbys: {
			getOpen: () => standbys,
			open: () => undefined,
			waitForOne: async () => undefined,
			isSelfNamed: () => false,
		},
		own,
		isRetired: upstream => retired.has(upstream),
		getLinkDelay: () => delay.milliseconds,
	});
	return {
		context, asking, link, control, retired, delay,
	};
}

test('the dispatcher is told the route once, asked for each request and told each end', async t => {
	const {asking, link} = setUp(() => GRANT);
	const first = await asking.ask(fixture.ASK_DRAFT).answer;
	await asking.ask(fixture.ASK_DRAFT).answer;
	t.like(first, {kind: 'grant', upstream: 'u', id: 'front:1'});
	asking.end('front:1', 'success', 120);
	t.deepEqual(link.called.map(([, parameters]) => parameters), [[1, 0, 2000], [2, 0, 2000]]);
	t.deepEqual(link.notified.map(([method]) => method), ['dispatch.hold', 'dispatch.route', 'dispatch.end']);
	t.deepEqual(link.notified.at(-1)?.[1], [1, 'success', 120]);
});

test('the dispatcher that granted a place receives the rate limit that its answer advertises at once', async t => {
	const {asking, link} = setUp(() => GRANT);
	await asking.ask(fixture.ASK_DRAFT).answer;
	asking.recordAdvertisements('front:1', [{kind: 'rate-limit', ratePerSecond: 2.6}]);
	t.deepEqual(link.notified.at(-1), ['dispatch.advertised', [1, [{kind: 'rate-limit', ratePerSecond: 2.6}]]]);
	asking.end('front:1', 'success', 120);
	asking.recordAdvertisements('front:1', [{kind: 'rate-limit', ratePerSecond: 1}]);
	t.is(link.notified.at(-1)?.[0], 'dispatch.end', 'an attempt that has ended reports nothing');
});

test('a host that dispatches alone keeps to the rate limits that answers advertised', async t => {
	// Guards against an upstream in need that every host fills as soon as no dispatcher answers.
	const {asking} = setUp(() => undefined);
	const draft = {...fixture.ASK_DRAFT, remainingMilliseconds: 200, objectiveMilliseconds: 100};
	const first = await asking.ask(draft).answer;
	t.is(first.kind, 'grant');
	asking.recordAdvertisements(first.kind === 'grant' ? first.id : '', [{kind: 'rate-limit', ratePerSecond: 0.2}]);
	const second = await asking.ask(draft).answer;
	t.like(second, {kind: 'refuse', reason: 'no-slot-in-time'});
});

test('a host gives its dispatcher the time that large bodies take on its own link', async t => {
	// Symptom: a host dispatches alone although all control hosts are well, 185 times in half a minute over the fleet. Sequence: a caller uploads 360 KB to it;
	// an ask waits behind them; the host takes the dispatcher for silent, probes the others behind the same bytes, and leaves them all. Cause: the same
	// limit for an answer whatever the host's own link carries.
	const {asking, link, delay} = setUp(() => GRANT);
	await asking.ask(fixture.ASK_DRAFT).answer;
	delay.milliseconds = 400;
	await asking.ask(fixture.ASK_DRAFT).answer;
	t.deepEqual(link.limits, [250, 650]);
});

test('an ask that waits is answered later', async t => {
	const {asking} = setUp(() => ['wait']);
	const asked = asking.ask(fixture.ASK_DRAFT);
	asking.hearAnswer(1, ['refuse', 'no-slot-in-time', 300]);
	t.deepEqual(await asked.answer, {kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 300});
});

test('without an answer in time the host dispatches alone, gives the late place back, and passes the dispatcher over for a while', async t => {
	// Symptom: requests wait until their deadline although upstreams are free.
	// Sequence: the control host that dispatches the service is stopped with its connections open.
	// Cause: an ask had no time limit of its own.
	const {asking, link, context} = setUp(() => undefined);
	const first = await asking.ask(fixture.ASK_DRAFT).answer;
	t.like(first, {kind: 'grant', upstream: 'own'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'unused', 0]]]);
	const countAsks = () => link.called.filter(([method]) => method === 'dispatch.ask').length;
	const calls = countAsks();
	const second = await asking.ask(fixture.ASK_DRAFT).answer;
	t.is(countAsks(), calls);
	for (const answer of [first, second]) {
		asking.end(answer.kind === 'grant' ? answer.id : '', 'success', 100);
	}

	await context.pass(1500);
	await asking.ask(fixture.ASK_DRAFT).answer;
	t.is(countAsks(), calls + 1);
});

test('what waits at a dispatcher whose link is lost is dispatched by the host itself when there is nobody else', async t => {
	const {asking, control, context, link} = setUp(() => ['wait']);
	const asked = asking.ask(fixture.ASK_DRAFT);
	await context.pass(1);
	link.close();
	asking.loseDispatcher(control);
	t.like(await asked.answer, {kind: 'grant', upstream: 'own'});
});

test('what waits at a dispatcher whose link is lost is asked of the next one', async t => {
	// Symptom: right after one control host is killed, requests are shed and lost though the others run.
	// Sequence: requests wait there for a slot; its links are reset; each host dispatches what it had there by itself.
	// Cause: only asks that ran into their time limit were taken to the next dispatcher.
	const {asking, control, context, link} = setUp(() => ['wait'], [createOther('d')]);
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd'], id => id)[0] === 'c')!;
	const asked = asking.ask({...fixture.ASK_DRAFT, service});
	await context.pass(1);
	link.close();
	asking.loseDispatcher(control);
	t.like(await asked.answer, {kind: 'grant', upstream: 'd'});
});

test('while no control host answers, one entry host dispatches for all', async t => {
	// Symptom: for as long as all control hosts are away, a third of the requests is shed, hangs or is refused, though all upstreams and entry
	// hosts are well.
	// Sequence: the control hosts lose power; each entry host chooses upstreams by what it sees alone.
	// Cause: nobody but control hosts dispatched for others.
	const standby = createOther('standby');
	const {asking, link} = setUp(() => undefined, ['d', 'e'].map(id => createSilent(id)), [standby]);
	const answers = [await asking.ask(fixture.ASK_DRAFT).answer, await asking.ask(fixture.ASK_DRAFT).answer];
	t.deepEqual(answers.map(answer => answer.kind === 'grant' && answer.upstream), ['standby', 'standby']);
	// The first ask found one dispatcher silent; the probe found the others.
	t.true(link.called.filter(([method]) => method === 'dispatch.ask').length <= 1);
});

test('a dispatcher that knows no upstream sends the ask elsewhere', async t => {
	// Symptom: for a second after a control host has started, requests are refused since no upstream is known.
	// Sequence: its links open before it has heard of the upstreams; it comes first for a service again, and refuses at once.
	// Cause: knowing no upstream was taken for there being none.
	const {asking} = setUp(() => ['elsewhere'], [], [createOther('standby')]);
	t.like(await asking.ask(fixture.ASK_DRAFT).answer, {kind: 'grant', upstream: 'standby'});
});

const CLOSURES = [
	{name: 'asked this host to back off', advertisement: {kind: 'backoff', milliseconds: 3000}, endsAfter: 3000},
	{name: 'told this host that it leaves', advertisement: {kind: 'draining'}, endsAfter: undefined},
] as const;

for (const {name, advertisement, endsAfter} of CLOSURES) {
	test(`a place at an upstream that ${name} is given back and another one asked for`, async t => {
		// Guards against dispatchers that do not know what an upstream told a host, and grant it all the same.
		const {asking, link, context} = setUp((_method, ask: EncodedSlotRequest) => ask[3]?.includes('u') === true ? ['grant', 'v', '10.0.0.5:80', 0] : GRANT);
		const first = await asking.ask(fixture.ASK_DRAFT).answer;
		t.like(first, {kind: 'grant', upstream: 'u'});
		asking.recordAdvertisements('front:1', [advertisement]);
		asking.end('front:1', 'shed', 1);
		t.true(asking.isClosed('u'));
		t.like(await asking.ask(fixture.ASK_DRAFT).answer, {kind: 'grant', upstream: 'v', id: 'front:3'});
		t.deepEqual(link.notified.at(-1), ['dispatch.end', [2, 'unused', 0]]);
		await context.pass(3000);
		t.is(asking.isClosed('u'), endsAfter === undefined);
	});
}

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
	t.like(await asking.ask(fixture.ASK_DRAFT).answer, {kind: 'grant', upstream: 'v', id: 'front:2'});
	t.deepEqual(link.called.at(-1)?.[1], [2, 0, 2000, ['u'], false, false, 0, true]);
	t.true(link.notified.some(([method, parameters]) => method === 'dispatch.end' && JSON.stringify(parameters) === '[1,"unused",0]'));
});

test('a request that is given up gives its place back, whenever it comes', async t => {
	const {asking, link} = setUp(() => ['wait']);
	const asked = asking.ask(fixture.ASK_DRAFT);
	asked.cancel();
	t.like(await asked.answer, {kind: 'refuse'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'unused', 0]]]);
});

const createOther = (id: string): OpenControl => ({
	host: {id, address: {ip: '10.0.0.6', port: 1}},
	link: fixture.createFakeLink(() => ['grant', id, '10.0.0.7:80', 0]),
});

const createSilent = (id: string): OpenControl => ({
	host: {id, address: {ip: '10.0.0.6', port: 1}},
	link: fixture.createFakeLink(() => undefined),
});

test('without an answer in time the next dispatcher is asked', async t => {
	// Symptom: while one control host stands still, requests are shed and lost though the others run.
	// Sequence: an ask is not answered; its host dispatches alone, from what it knows itself.
	// Cause: nobody asked the next dispatcher for that request.
	const others = ['d', 'e'].map(id => createOther(id));
	const setup = setUp(() => undefined, others);
	const services = Array.from({length: 20}, (_, index) => `service-${index}`);
	const granted: string[] = [];
	for (const service of services) {
		// eslint-disable-next-line no-await-in-loop -- One after the other, each finds out anew.
		const answer = await setup.asking.ask({...fixture.ASK_DRAFT, service}).answer;
		granted.push(answer.kind === 'grant' ? answer.upstream : answer.reason);
	}

	t.true(setup.link.called.length > 0);
	t.deepEqual([...new Set(granted)].toSorted(), ['d', 'e']);
});

test('what waits at a dispatcher that has become silent is asked of the next one', async t => {
	// Symptom: requests that waited for a slot when their dispatcher was stopped miss their deadlines.
	// Sequence: the dispatcher says that they wait, and stands still; later asks find out.
	// Cause: only asks without any answer were taken elsewhere.
	let answers = 0;
	const setup = setUp(() => {
		answers++;
		return answers === 1 ? ['wait'] : undefined;
	}, ['d', 'e'].map(id => createOther(id)));
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd', 'e'], id => id)[0] === 'c')!;
	const waiting = setup.asking.ask({...fixture.ASK_DRAFT, service});
	await setup.context.pass(1);
	setup.link.silence = 1000;
	await setup.asking.ask({...fixture.ASK_DRAFT, service}).answer;
	t.like(await waiting.answer, {kind: 'grant'});
});
