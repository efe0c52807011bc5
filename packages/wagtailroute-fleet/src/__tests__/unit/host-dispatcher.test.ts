/**
Tests of what the dispatcher of a host sends to other hosts, and of what it logs.
*/
import * as stream from 'node:stream';
import test from 'ava';
import type * as core from 'wagtailroute-core';
import * as telemetry from 'wagtailroute-telemetry';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import {type Belief, METHODS, type ServiceUpdates} from '../../messages.ts';
import * as fixture from './fixture.ts';

type Sent = {readonly host: core.HostId; readonly method: string; readonly parameters: unknown};

const UPSTREAMS = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];
const HOSTS = Array.from({length: 40}, (_, index) => `front-${index}`);

/**
Resets of one upstream in a row that suspend it.
*/
const RESETS = 12;

function setUp({slots = 50, isOrderedByCost = false} = {}) {
	const lines: string[] = [];
	const output = new stream.Writable({
		write(chunk, _encoding, done) {
			lines.push(String(chunk));
			done();
		},
	});
	const base = fixture.createFakeContext();
	const context = {
		...base, logs: telemetry.createLogs({
			output, level: 'info', now: base.now, fields: {},
		}),
	};
	const sent: Sent[] = [];
	const dispatcher = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		overloadControl: {isOn: () => isOrderedByCost},
		settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0},
		listCandidates: () => UPSTREAMS.map((upstream, index) => ({
			upstream,
			address: {ip: '10.0.0.1', port: 80 + index},
			failureDomain: 'x',
			slots,
			isDraining: false,
			isSilent: false,
			warmAt: 0,
		})),
		listStandbys: () => ['front-1'],
		notify(host, method, parameters) {
			sent.push({host, method, parameters});
		},
		notifyControlHosts: () => undefined,
	});
	let count = 0;
	/**
	Requests a slot from each host; requests at the failing upstreams are reset.
	*/
	const requestSlots = (failing: ReadonlySet<string>) => {
		for (const host of HOSTS) {
			count++;
			const id = `${host}:${count}`;
			const answer = dispatcher.requestSlot({
				...fixture.SLOT_REQUEST_DRAFT, id, host, failureDomain: 'x',
			});
			if (answer.kind === 'grant') {
				dispatcher.end({id, ending: failing.has(answer.upstream) ? 'reset' : 'success', milliseconds: 20});
			}
		}
	};

	const listSent = (method: string) => sent.filter(message => message.method === method);
	return {
		context, dispatcher, requestSlots, listSent, lines,
	};
}

/**
Guards against one message for each host and suspension: with hundreds of hosts and a third of the upstreams failing now and then, dispatchers and
entry hosts spent most of their processor time on such messages, though only standbys need a suspension at once.
*/
test('requesting hosts receive suspensions in batches, standbys at once', async t => {
	const {context, dispatcher, requestSlots, listSent} = setUp();
	for (let round = 0; round < RESETS; round++) {
		requestSlots(new Set(['u1', 'u2']));
	}

	const suspended = dispatcher.listUpstreamReports('archive').filter(({isSuspended}) => isSuspended).map(({upstream}) => upstream);
	t.deepEqual(suspended, ['u1', 'u2']);
	t.true(listSent(METHODS.believe).length >= suspended.length);
	t.true(listSent(METHODS.believe).every(({host}) => host === 'front-1'));
	t.deepEqual(listSent(METHODS.beliefNews), []);
	await context.pass(1000);
	const notifications = listSent(METHODS.beliefNews);
	t.is(notifications.length, HOSTS.length - 1);
	t.false(notifications.some(({host}) => host === 'front-1'));
	t.deepEqual((notifications[0]!.parameters as Belief[]).map(({upstream}) => upstream).toSorted(), suspended);
});

test('a host that applies the received beliefs has the same doubts about the upstreams', async t => {
	const {context, requestSlots, listSent} = setUp();
	for (let round = 0; round < RESETS; round++) {
		requestSlots(new Set(['u1']));
	}

	await context.pass(1000);
	const other = setUp();
	other.dispatcher.applyBeliefs(listSent(METHODS.beliefNews)[0]!.parameters as Belief[]);
	t.deepEqual(other.dispatcher.listUpstreamReports('archive').filter(({isSuspended}) => isSuspended).map(({upstream}) => upstream), ['u1']);
});

test('other dispatchers receive a rate limit when it is new, changed and lifted, and the grants while it is shared', async t => {
	const {context, dispatcher, listSent} = setUp();
	const requestSlot = async (id: string) => {
		await context.pass(1000);
		const answer = dispatcher.requestSlot({
			...fixture.SLOT_REQUEST_DRAFT, id, host: 'front-1', failureDomain: 'x', excluded: UPSTREAMS.slice(1),
		});
		t.is(answer.kind, 'grant');
	};

	const end = async (id: string) => {
		await context.pass(10);
		dispatcher.end({id, ending: 'success', milliseconds: 10});
		await context.pass(200);
	};

	const getLast = () => listSent(METHODS.updates).map(({host, parameters}) => ({host, ...parameters as ServiceUpdates})).at(-1);
	await requestSlot('front-1:1');
	dispatcher.recordAdvertisements('front-1:1', [{kind: 'rate-limit', ratePerSecond: 2}]);
	await end('front-1:1');
	t.like(getLast(), {host: 'front-1', service: 'archive', updates: [{upstream: 'u1', ratePerSecond: 2, granted: 0}]});
	await requestSlot('front-1:2');
	dispatcher.recordAdvertisements('front-1:2', [{kind: 'rate-limit', ratePerSecond: 3}]);
	await end('front-1:2');
	t.like(getLast(), {updates: [{upstream: 'u1', ratePerSecond: 3, granted: 1}]});
	await requestSlot('front-1:3');
	await end('front-1:3');
	t.like(getLast(), {updates: [{upstream: 'u1', ratePerSecond: null}]});
	t.is(dispatcher.listUpstreamReports('archive')[0]?.rateLimit, undefined);
});

test('a displaced request is logged with its priority and expected wait, and counted', async t => {
	// Guards against refusals of which an operator can't tell whether the queue, the priority or one organisation was the cause.
	const {dispatcher, context, lines} = setUp({slots: 1, isOrderedByCost: true});
	const requestSlots = (priority: number, count: number) => Array.from({length: count}, (_, index) => dispatcher.requestSlot({
		...fixture.SLOT_REQUEST_DRAFT, id: `front-1:${priority}${index}`, host: 'front-1', failureDomain: 'x', organisation: 'parish', priority,
	}));
	requestSlots(2, 8);
	await context.pass(10);
	requestSlots(0, 50);
	await context.pass(10);
	const displaced = lines.filter(line => line.includes('A slot request was refused.') && line.includes('"isDisplaced":true'));
	t.true(displaced.length > 0);
	t.regex(displaced[0]!, /"priority":2/v);
	t.regex(displaced[0]!, /"organisation":"parish"/v);
	t.regex(displaced[0]!, /"expectedWaitMilliseconds":\d+/v);
	t.regex(await context.metrics.getText(), /displacements_total\{service="archive"\} [1-9]/v);
});
