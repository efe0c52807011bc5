/**
Tests of the dispatch client: which dispatcher gets a slot request, and what happens when it does not answer.
*/
import test from 'ava';
import * as results from 'ts-results-es';
import type * as dispatch from 'wagtailroute-dispatch';
import {createDispatchClient, type DispatchClientOptions} from '../../dispatch-client.ts';
import type {EncodedAnswer, EncodedSlotRequest} from '../../slot-request-encoding.ts';
import type {LinkedHost} from '../../control-links.ts';
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
	readonly client: ReturnType<typeof createDispatchClient>;
	readonly link: fixture.FakeLink;
	readonly control: LinkedHost;
	readonly retired: Set<string>;
	/**
	How long messages wait behind large bodies on the host's own link.
	*/
	readonly delay: {milliseconds: number};
};

function setUp(
	answer: (method: string, parameters: never) => unknown,
	others: readonly LinkedHost[] = [],
	standbys: readonly LinkedHost[] = [],
	more: Partial<Pick<DispatchClientOptions, 'overloadControl'>> = {},
): Setup {
	const context = fixture.createFakeContext();
	const link = fixture.createFakeLink(answer);
	const control: LinkedHost = {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link};
	const retired = new Set<string>();
	const delay = {milliseconds: 0};
	const controls = [control, ...others];
	const ownDispatcher = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0.7},
		listCandidates: () => [CANDIDATE],
		listStandbys: () => [],
		notify(_host, _method, parameters) {
			client.handleAnswer(...parameters as [number, EncodedAnswer]);
		},
		notifyControlHosts: () => undefined,
	});
	const client = createDispatchClient(context, {
		settings: {hostId: 'front', failureDomain: 'x', allotments: fixture.ALLOTMENTS},
		countEntryHosts: () => 3,
		getControlHosts: () => controls.filter(({link: of}) => of.isOpen()),
		standbys: {
			getOpen: () => standbys,
			open: () => undefined,
			waitForOne: async () => undefined,
			isOwnHostStandby: () => false,
		},
		ownDispatcher,
		isRetired: upstream => retired.has(upstream),
		getLinkDelay: () => delay.milliseconds,
		...more,
	});
	return {
		context, client, link, control, retired, delay,
	};
}

test('the dispatcher receives the route once, a slot request for each attempt, and each end', async t => {
	const {client, link} = setUp(() => GRANT);
	const first = await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	t.like(first, {kind: 'grant', upstream: 'u', id: 'front:1'});
	client.reportEnd('front:1', 'success', 120);
	t.deepEqual(link.called.map(([, parameters]) => parameters), [[1, 0, 2000], [2, 0, 2000]]);
	t.deepEqual(link.notified.map(([method]) => method), ['dispatch.hold', 'dispatch.route', 'dispatch.end']);
	t.deepEqual(link.notified.at(-1)?.[1], [1, 'success', 120]);
});

test('a slot request for an organisation lends the time since the previous one to the dispatcher that gets it', async t => {
	// Guards against two dispatchers that both admit the part of an allotment that belongs to one host.
	const draft = {...fixture.SLOT_REQUEST_DRAFT, organisation: 'parish'};
	const second = fixture.createFakeLink(() => ['grant', 'v', '10.0.0.3:80', 0]);
	const {client, link, context} = setUp(() => GRANT, [{host: {id: 'd', address: {ip: '10.0.0.3', port: 1}}, link: second}]);
	const lent: unknown[] = [];
	for (const [service, milliseconds] of [['archive', 40], ['media', 30], ['archive', 20], ['media', 10]] as const) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await context.pass(milliseconds);
		// eslint-disable-next-line no-await-in-loop -- See above.
		await client.requestSlot({...draft, service}).answer;
		const references = [link, second].flatMap(({called}) => called).filter(([method]) => method === 'dispatch.ask').map(([, ask]) => (ask as EncodedSlotRequest)[1]);
		lent.push(references.reduce<number>((sum, reference) => sum + (typeof reference === 'number' ? 0 : reference[2] ?? 0), 0));
	}

	t.deepEqual(lent, [40, 70, 90, 100]);
});

test('the dispatcher that granted a slot receives at once the rate limit that the answer advertises', async t => {
	const {client, link} = setUp(() => GRANT);
	await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	client.recordAdvertisements('front:1', [{kind: 'rate-limit', ratePerSecond: 2.6}]);
	t.deepEqual(link.notified.at(-1), ['dispatch.advertised', [1, [{kind: 'rate-limit', ratePerSecond: 2.6}]]]);
	client.reportEnd('front:1', 'success', 120);
	client.recordAdvertisements('front:1', [{kind: 'rate-limit', ratePerSecond: 1}]);
	t.is(link.notified.at(-1)?.[0], 'dispatch.end', 'an attempt that has ended reports nothing');
});

test('the own dispatcher of a host applies the rate limits that answers advertised', async t => {
	// Guards against every host exceeding the advertised limit of an overloaded upstream as soon as no other dispatcher answers.
	const {client} = setUp(() => undefined);
	const draft = {...fixture.SLOT_REQUEST_DRAFT, remainingMilliseconds: 200, objectiveMilliseconds: 100};
	const first = await client.requestSlot(draft).answer;
	t.is(first.kind, 'grant');
	client.recordAdvertisements(first.kind === 'grant' ? first.id : '', [{kind: 'rate-limit', ratePerSecond: 0.2}]);
	const second = await client.requestSlot(draft).answer;
	t.like(second, {kind: 'refuse', reason: 'no-slot-in-time'});
});

test('the timeout of a slot request includes the time that large bodies take on the link of the host', async t => {
	// Guards against hosts that use their own dispatcher although all control hosts are healthy, 185 times in half a minute over the fleet: slot requests and probes
	// wait behind an upload of 360 KB on the host's own link, and reach a timeout that does not allow for it.
	const {client, link, delay} = setUp(() => GRANT);
	await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	delay.milliseconds = 400;
	await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	t.deepEqual(link.limits, [250, 650]);
});

test('a slot request that was answered with wait gets its final answer later', async t => {
	const {client} = setUp(() => ['wait']);
	const handle = client.requestSlot(fixture.SLOT_REQUEST_DRAFT);
	client.handleAnswer(1, ['refuse', 'no-slot-in-time', 300]);
	t.deepEqual(await handle.answer, {kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 300});
});

test('without an answer in time the host uses its own dispatcher, gives a late slot back, and skips the dispatcher for a while', async t => {
	// Guards against requests that wait until their deadline although upstreams are free: the control host that dispatches the service is stopped
	// with its connections open, and slot requests have no timeout.
	const {client, link, context} = setUp(() => undefined);
	const first = await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	t.like(first, {kind: 'grant', upstream: 'own'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'unused', 0]]]);
	const countSlotRequests = () => link.called.filter(([method]) => method === 'dispatch.ask').length;
	const calls = countSlotRequests();
	const second = await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	t.is(countSlotRequests(), calls);
	for (const answer of [first, second]) {
		client.reportEnd(answer.kind === 'grant' ? answer.id : '', 'success', 100);
	}

	await context.pass(1500);
	await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
	t.is(countSlotRequests(), calls + 1);
});

test('requests queued at a dispatcher whose link is lost go to the own dispatcher when there is no other', async t => {
	const {client, control, context, link} = setUp(() => ['wait']);
	const handle = client.requestSlot(fixture.SLOT_REQUEST_DRAFT);
	await context.pass(1);
	link.close();
	client.handleDispatcherLost(control);
	t.like(await handle.answer, {kind: 'grant', upstream: 'own'});
});

test('requests queued at a dispatcher whose link is lost go to the next one', async t => {
	// Guards against requests that are shed and lost right after one control host is killed: if only slot requests that time out go to the next dispatcher,
	// each host dispatches those that were queued at the lost one by itself.
	const {client, control, context, link} = setUp(() => ['wait'], [createOther('d')]);
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd'], id => id)[0] === 'c')!;
	const handle = client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, service});
	await context.pass(1);
	link.close();
	client.handleDispatcherLost(control);
	t.like(await handle.answer, {kind: 'grant', upstream: 'd'});
});

test('while no control host answers, a standby dispatches for all hosts', async t => {
	// Guards against a third of the requests being shed, hanging or being refused while all control hosts have lost power, although all upstreams and entry
	// hosts are healthy: without standbys, each entry host chooses upstreams by its own requests alone.
	const standby = createOther('standby');
	const {client, link} = setUp(() => undefined, ['d', 'e'].map(id => createSilent(id)), [standby]);
	const answers = [await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer, await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer];
	t.deepEqual(answers.map(answer => answer.kind === 'grant' && answer.upstream), ['standby', 'standby']);
	// The first slot request finds one dispatcher unresponsive; the probe finds the others.
	t.true(link.called.filter(([method]) => method === 'dispatch.ask').length <= 1);
});

test('a slot request goes to another dispatcher when the first one knows no upstream', async t => {
	// Guards against requests that are refused for a second after a control host has started: its links open before it knows the upstreams of the
	// services that it dispatches.
	const {client} = setUp(() => ['elsewhere'], [], [createOther('standby')]);
	t.like(await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer, {kind: 'grant', upstream: 'standby'});
});

const CLOSURES = [
	{name: 'advertised a backoff to this host', advertisement: {kind: 'backoff', milliseconds: 3000}, endsAfter: 3000},
	{name: 'advertised to this host that it drains', advertisement: {kind: 'draining'}, endsAfter: undefined},
] as const;

for (const {name, advertisement, endsAfter} of CLOSURES) {
	test(`a slot at an upstream that ${name} is given back and another one is requested`, async t => {
		// Guards against dispatchers that grant slots at an upstream because they do not know what it advertised to the host.
		const {client, link, context} = setUp((_method, ask: EncodedSlotRequest) => ask[3]?.includes('u') === true ? ['grant', 'v', '10.0.0.5:80', 0] : GRANT);
		const first = await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer;
		t.like(first, {kind: 'grant', upstream: 'u'});
		client.recordAdvertisements('front:1', [advertisement]);
		client.reportEnd('front:1', 'shed', 1);
		t.true(client.isClosed('u'));
		t.like(await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer, {kind: 'grant', upstream: 'v', id: 'front:3'});
		t.deepEqual(link.notified.at(-1), ['dispatch.end', [2, 'unused', 0]]);
		await context.pass(3000);
		t.is(client.isClosed('u'), endsAfter === undefined);
	});
}

test('a slot at an upstream that the host knows as retired is given back and another one is requested', async t => {
	// Guards against a request that reaches an upstream after its draining was acknowledged: the dispatcher is partitioned from the other control hosts and
	// does not receive the retirement, while this host does.
	let requestCount = 0;
	const {client, link, retired} = setUp(() => {
		requestCount++;
		return requestCount === 1 ? GRANT : ['grant', 'v', '10.0.0.5:80', 0];
	});
	retired.add('u');
	t.like(await client.requestSlot(fixture.SLOT_REQUEST_DRAFT).answer, {kind: 'grant', upstream: 'v', id: 'front:2'});
	t.deepEqual(link.called.at(-1)?.[1], [2, 0, 2000, ['u'], false, false, 0, true]);
	t.true(link.notified.some(([method, parameters]) => method === 'dispatch.end' && JSON.stringify(parameters) === '[1,"unused",0]'));
});

test('a cancelled slot request gives its slot back even if it is granted later', async t => {
	const {client, link} = setUp(() => ['wait']);
	const handle = client.requestSlot(fixture.SLOT_REQUEST_DRAFT);
	handle.cancel();
	t.like(await handle.answer, {kind: 'refuse'});
	t.deepEqual(link.notified.slice(-2), [['dispatch.cancel', [1]], ['dispatch.end', [1, 'unused', 0]]]);
});

const createOther = (id: string): LinkedHost => ({
	host: {id, address: {ip: '10.0.0.6', port: 1}},
	link: fixture.createFakeLink(() => ['grant', id, '10.0.0.7:80', 0]),
});

const createSilent = (id: string): LinkedHost => ({
	host: {id, address: {ip: '10.0.0.6', port: 1}},
	link: fixture.createFakeLink(() => undefined),
});

test('without an answer in time the slot request goes to the next dispatcher', async t => {
	// Guards against requests that are shed and lost while one control host is frozen and the others run: a host whose slot request is not answered
	// must not use its own dispatcher at once.
	const others = ['d', 'e'].map(id => createOther(id));
	const setup = setUp(() => undefined, others);
	const services = Array.from({length: 20}, (_, index) => `service-${index}`);
	const granted: string[] = [];
	for (const service of services) {
		// eslint-disable-next-line no-await-in-loop -- One after the other, so that each meets the state that the one before left.
		const answer = await setup.client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, service}).answer;
		granted.push(answer.kind === 'grant' ? answer.upstream : answer.reason);
	}

	t.true(setup.link.called.length > 0);
	t.deepEqual([...new Set(granted)].toSorted(), ['d', 'e']);
});

test('the time lent to a dispatcher that did not answer is taken back and lent to the next one', async t => {
	// Guards against an organisation that is refused within its allotment while hosts look for a dispatcher: the dead ones would keep the time.
	const others = ['d', 'e'].map(id => createOther(id));
	const {client, link, context} = setUp(() => undefined, others);
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd', 'e'], id => id)[0] === 'c')!;
	await context.pass(70);
	await client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, organisation: 'parish', service}).answer;
	const [first] = link.called.filter(([method]) => method === 'dispatch.ask').map(([, ask]) => (ask as EncodedSlotRequest)[1]);
	const [cancelled] = link.notified.filter(([method]) => method === 'dispatch.cancel').map(([, parameters]) => parameters);
	const [next] = others.flatMap(other => (other.link as fixture.FakeLink).called).filter(([method]) => method === 'dispatch.ask').map(([, ask]) => (ask as EncodedSlotRequest)[1]);
	t.deepEqual([first, cancelled], [[0, 0, 70], [1, 70]]);
	t.true(typeof next === 'object' && next[2]! >= 70);
});

test('the time lent with a request that was answered with wait is not lent again', async t => {
	// Guards against time that two dispatchers get: the one whose link is lost has received it.
	const other = createOther('d');
	const {client, link, control, context} = setUp(method => method === 'dispatch.ask' ? ['wait'] : undefined, [other]);
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd'], id => id)[0] === 'c')!;
	await context.pass(70);
	const {answer} = client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, organisation: 'parish', service});
	await context.pass(5);
	link.close();
	client.handleDispatcherLost(control);
	await answer;
	const [next] = (other.link as fixture.FakeLink).called.filter(([method]) => method === 'dispatch.ask').map(([, ask]) => (ask as EncodedSlotRequest)[1]);
	t.true(typeof next === 'object' && next[2]! < 70);
});

test('requests queued at a dispatcher that has become silent go to the next one', async t => {
	// Guards against requests that miss their deadlines because they were queued when their dispatcher froze: a later slot request finds it
	// unresponsive, and must take the queued ones along.
	let answers = 0;
	const setup = setUp(() => {
		answers++;
		return answers === 1 ? ['wait'] : undefined;
	}, ['d', 'e'].map(id => createOther(id)));
	const service = Array.from({length: 50}, (_, index) => `service-${index}`)
		.find(name => orderDispatchers(name, ['c', 'd', 'e'], id => id)[0] === 'c')!;
	const waiting = setup.client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, service});
	await setup.context.pass(1);
	setup.link.silence = 1000;
	await setup.client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, service}).answer;
	t.like(await waiting.answer, {kind: 'grant'});
});

type SlowCase = {
	readonly name: string;
	readonly isOn: boolean;
	/**
	Milliseconds that the dispatcher takes to answer.
	*/
	readonly answerMilliseconds: number;
	/**
	Milliseconds since a message of the dispatcher arrived, as long as it has not answered.
	*/
	readonly silence: number;
	readonly remainingMilliseconds?: number;
	/**
	Milliseconds after which the request leaves the dispatcher; absent when it stays.
	*/
	readonly leftAt?: number;
	/**
	Upstream that is granted in the end, or `refuse`.
	*/
	readonly result: string;
};

const SLOW_CASES: readonly SlowCase[] = [
	{
		// Guards against a slow dispatcher that makes others slow: at full size, 61 hosts sent 1,261 slot requests to a second dispatcher within 3 s although
		// the first one was up, and it had to decide on all of them as well.
		name: 'waits for a slow dispatcher whose other messages arrive', isOn: true, answerMilliseconds: 900, silence: 100, result: 'u',
	},
	{
		name: 'leaves a dispatcher that is slower than a second', isOn: true, answerMilliseconds: 1500, silence: 100, leftAt: 1000, result: 'd',
	},
	{
		name: 'leaves a silent dispatcher as without overload control', isOn: true, answerMilliseconds: 900, silence: 3000, leftAt: 250, result: 'd',
	},
	{
		name: 'refuses a request that a slow dispatcher has left undecided until it can no longer be served',
		isOn: true,
		answerMilliseconds: 900,
		silence: 100,
		remainingMilliseconds: 800,
		leftAt: 600,
		result: 'refuse',
	},
	{
		name: 'leaves a slow dispatcher without overload control', isOn: false, answerMilliseconds: 900, silence: 100, leftAt: 250, result: 'd',
	},
];

const USUAL_MILLISECONDS = 200;

for (const {name, isOn, answerMilliseconds, silence, remainingMilliseconds = 2000, leftAt, result} of SLOW_CASES) {
	test(`a host ${name}`, async t => {
		const {client, link, context} = setUp(() => undefined, [createOther('d')], [], {overloadControl: {isOn: () => isOn}});
		link.silence = silence;
		const service = Array.from({length: 50}, (_, index) => `service-${index}`)
			.find(other => orderDispatchers(other, ['c', 'd'], id => id)[0] === 'c')!;
		const call: typeof link.call = async (_method, _parameters, limit) => new Promise(resolve => {
			context.schedule(Math.min(limit, answerMilliseconds), () => {
				resolve(limit < answerMilliseconds ? results.Err({kind: 'call-timeout', message: 'late'}) : results.Ok(GRANT));
			});
		});
		Object.assign(link, {call});
		let upstream: string | undefined;
		void (async () => {
			const answer = await client.requestSlot({...fixture.SLOT_REQUEST_DRAFT, service, remainingMilliseconds}, USUAL_MILLISECONDS).answer;
			upstream = answer.kind === 'grant' ? answer.upstream : answer.kind;
		})();

		await context.pass((leftAt ?? answerMilliseconds) - 1);
		t.is(upstream, undefined);
		await context.pass(1);
		t.is(upstream, result);
	});
}
