/**
Tests of what a dispatcher tells the hosts around it.
*/
import test from 'ava';
import type * as core from 'wagtailroute-core';
import {startHostDispatcher} from '../../host-dispatcher.ts';
import {type Belief, METHODS, type ServiceUpdates} from '../../messages.ts';
import * as fixture from './fixture.ts';

type Told = {readonly host: core.HostId; readonly method: string; readonly parameters: unknown};

const UPSTREAMS = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];
const ASKERS = Array.from({length: 40}, (_, index) => `front-${index}`);

/**
Resets of one upstream in a row that suspend it.
*/
const RESETS = 12;

function setUp() {
	const context = fixture.createFakeContext();
	const told: Told[] = [];
	const dispatching = startHostDispatcher(context, {
		...fixture.ONLY_DISPATCHER,
		settings: {budget: {ratio: 0.2, extra: 2, windowMilliseconds: 10_000}, floor: 0},
		listCandidates: () => UPSTREAMS.map((upstream, index) => ({
			upstream,
			address: {ip: '10.0.0.1', port: 80 + index},
			failureDomain: 'x',
			slots: 50,
			isDraining: false,
			isSilent: false,
			warmAt: 0,
		})),
		listStandbys: () => ['front-1'],
		notify(host, method, parameters) {
			told.push({host, method, parameters});
		},
		notifyControls: () => undefined,
	});
	let count = 0;
	/**
	Each host asks; what is sent to the upstreams named is reset.
	*/
	const play = (sick: ReadonlySet<string>) => {
		for (const host of ASKERS) {
			count++;
			const id = `${host}:${count}`;
			const answer = dispatching.requestSlot({
				...fixture.ASK_DRAFT, id, host, failureDomain: 'x',
			});
			if (answer.kind === 'grant') {
				dispatching.end({id, ending: sick.has(answer.upstream) ? 'reset' : 'success', milliseconds: 20});
			}
		}
	};

	const listTold = (method: string) => told.filter(message => message.method === method);
	return {
		context, dispatching, play, listTold,
	};
}

/**
Symptom: in a fleet of hundreds of hosts, dispatchers and entry hosts spend most of their processor time on telling each other of
suspensions. Sequence: a third of the upstreams have bad spells; each suspension and readmission goes to every host that asked lately.
Cause: one message a host and change, though only standbys need a suspension at once.
*/
test('askers are told of suspensions together, standbys at once', async t => {
	const {context, dispatching, play, listTold} = setUp();
	for (let round = 0; round < RESETS; round++) {
		play(new Set(['u1', 'u2']));
	}

	const suspended = dispatching.listUpstreamReports('archive').filter(({isSuspended}) => isSuspended).map(({upstream}) => upstream);
	t.deepEqual(suspended, ['u1', 'u2']);
	t.true(listTold(METHODS.believe).length >= suspended.length);
	t.true(listTold(METHODS.believe).every(({host}) => host === 'front-1'));
	t.deepEqual(listTold(METHODS.beliefNews), []);
	await context.pass(1000);
	const news = listTold(METHODS.beliefNews);
	t.is(news.length, ASKERS.length - 1);
	t.false(news.some(({host}) => host === 'front-1'));
	t.deepEqual((news[0]!.parameters as Belief[]).map(({upstream}) => upstream).toSorted(), suspended);
});

test('a host that takes the news holds the same against the upstreams', async t => {
	const {context, play, listTold} = setUp();
	for (let round = 0; round < RESETS; round++) {
		play(new Set(['u1']));
	}

	await context.pass(1000);
	const other = setUp();
	other.dispatching.applyBeliefs(listTold(METHODS.beliefNews)[0]!.parameters as Belief[]);
	t.deepEqual(other.dispatching.listUpstreamReports('archive').filter(({isSuspended}) => isSuspended).map(({upstream}) => upstream), ['u1']);
});

test('other dispatchers receive a rate limit when it is new, changed and lifted, and the grants while it is shared', async t => {
	const {context, dispatching, listTold} = setUp();
	const ask = async (id: string) => {
		await context.pass(1000);
		const answer = dispatching.requestSlot({
			...fixture.ASK_DRAFT, id, host: 'front-1', failureDomain: 'x', excluded: UPSTREAMS.slice(1),
		});
		t.is(answer.kind, 'grant');
	};

	const end = async (id: string) => {
		await context.pass(10);
		dispatching.end({id, ending: 'success', milliseconds: 10});
		await context.pass(200);
	};

	const getLast = () => listTold(METHODS.updates).map(({host, parameters}) => ({host, ...parameters as ServiceUpdates})).at(-1);
	await ask('front-1:1');
	dispatching.recordAdvertisements('front-1:1', [{kind: 'rate-limit', ratePerSecond: 2}]);
	await end('front-1:1');
	t.like(getLast(), {host: 'front-1', service: 'archive', updates: [{upstream: 'u1', ratePerSecond: 2, granted: 0}]});
	await ask('front-1:2');
	dispatching.recordAdvertisements('front-1:2', [{kind: 'rate-limit', ratePerSecond: 3}]);
	await end('front-1:2');
	t.like(getLast(), {updates: [{upstream: 'u1', ratePerSecond: 3, granted: 1}]});
	await ask('front-1:3');
	await end('front-1:3');
	t.like(getLast(), {updates: [{upstream: 'u1', ratePerSecond: null}]});
	t.is(dispatching.listUpstreamReports('archive')[0]?.rateLimit, undefined);
});
