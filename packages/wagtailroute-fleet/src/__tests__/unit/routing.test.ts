/**
Tests of the port through which an entry host sends requests to upstreams, and forwards them while it reaches none.
*/
import * as timers from 'node:timers/promises';
import test from 'ava';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import type * as proxy from 'wagtailroute-proxy';
import type {DispatchClient, SlotRequestDraft} from '../../dispatch-client.ts';
import {createForwardingTargets} from '../../forwarding.ts';
import {createRouter} from '../../routing.ts';
import {createFakeContext} from './fixture.ts';

const ROUTE: generations.GenerationRoute = {
	name: 'r', host: 'shop.example', pathPrefix: '/', class: 'read', timeoutMilliseconds: 2000, objectiveMilliseconds: 1000, priority: 1, attempts: 2, shares: [{service: 'shop', weight: 1}],
};
const SERVICE: generations.GenerationService = {name: 'shop', healthPath: '/health', connectionsPerUpstream: 10};
const REQUEST: proxy.CallerRequest = {
	method: 'GET', requestTarget: '/x', path: '/x', host: 'shop.example', organisation: '', hasBody: false, isForwarded: false, timeoutMilliseconds: 2000,
};
const CHOICE: proxy.ChoiceRequest = {
	excluded: new Set(), requestClass: 'read', remainingMilliseconds: 1000, waitedMilliseconds: 0, isResend: false, isMove: false,
};
const OTHER_HOSTS = [1, 2].map(number => ({ip: `10.0.0.${number}`, port: 7662}));

type Fixture = {
	readonly route: (request?: Partial<proxy.CallerRequest>) => proxy.RoutedRequest | proxy.RequestFailure;
	readonly drafts: SlotRequestDraft[];
	readonly ends: dispatch.Ending[];
	readonly state: {isIsolated: boolean};
};

function createFixture({isIsolated = false, isReached = true} = {}): Fixture {
	const context = createFakeContext();
	const drafts: SlotRequestDraft[] = [];
	const ends: dispatch.Ending[] = [];
	const state = {isIsolated};
	const dispatchClient: Partial<DispatchClient> = {
		requestSlot(draft) {
			drafts.push(draft);
			return {
				cancel: () => undefined,
				answer: Promise.resolve({
					kind: 'grant', id: 'slot', upstream: 'u', address: {ip: '10.1.0.1', port: 80}, isTrial: false,
				}),
			};
		},
		reportEnd(_id, ending) {
			ends.push(ending);
		},
		isClosed: () => false,
	};
	const router = createRouter(context, {
		fleetView: {
			getGeneration: () => ({
				version: 1, routes: [ROUTE], services: [SERVICE], limits: {
					headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
				},
			}),
			findRoute: () => ROUTE,
			findOrganisation: () => undefined,
			findService: () => SERVICE,
			listCandidates: () => [],
		},
		dispatchClient: dispatchClient as DispatchClient,
		reach: {
			isIsolated: () => state.isIsolated, recordSent: () => undefined, recordAnswer: () => undefined, confirm: async () => isReached,
		},
		forwardingTargets: createForwardingTargets(context, () => OTHER_HOSTS),
	});
	return {
		route: request => router({...REQUEST, ...request}), drafts, ends, state,
	};
}

function getPort(fixture: Fixture, request: Partial<proxy.CallerRequest> = {}): proxy.ServicePort {
	const routed = fixture.route(request);
	if (!('service' in routed)) {
		throw new Error(routed.message);
	}

	return routed.service;
}

async function choose(port: proxy.ServicePort, choice: Partial<proxy.ChoiceRequest> = {}): Promise<proxy.Target | proxy.RequestFailure | undefined> {
	const chosen = port.choose({...CHOICE, ...choice});
	return chosen !== undefined && 'result' in chosen ? chosen.result : chosen;
}

const end = (port: proxy.ServicePort, target: proxy.Target, ending: proxy.AttemptEnding, fingerprint = 'f') => {
	port.end({
		target, ending, latencyMilliseconds: 1, fingerprint, hasCrashed: false,
	});
};

test('an isolated host forwards to other hosts, one after the other while these have not taken the request, and then tries its own paths', async t => {
	const fixture = createFixture({isIsolated: true});
	const port = getPort(fixture);
	const first = await choose(port) as proxy.Target;
	t.is(first.kind, 'host');
	end(port, first, 'shed');
	const second = await choose(port, {excluded: new Set([first.id]), isResend: true}) as proxy.Target;
	t.is(second.kind, 'host');
	t.not(second.id, first.id);
	end(port, second, 'connect-error');
	const excluded = new Set([first.id, second.id]);
	for (let attempt = 0; attempt < ROUTE.attempts; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- One attempt after the other.
		const own = await choose(port, {excluded}) as proxy.Target;
		t.is(own.kind, 'upstream');
		end(port, own, 'connect-error');
	}

	t.is(await choose(port, {excluded}), undefined, 'no more attempts than the route allows');
});

for (const ending of ['reset', 'timeout', 'server-error', 'truncated'] as const) {
	test(`a forwarded request that ended with ${ending} is not forwarded again`, async t => {
		// Guards against more attempts than a route allows: the other host may have made all of them.
		const port = getPort(createFixture({isIsolated: true}));
		const first = await choose(port) as proxy.Target;
		end(port, first, ending);
		t.is(await choose(port, {excluded: new Set([first.id])}), undefined);
		t.false(port.hasOtherTarget({...CHOICE, excluded: new Set([first.id])}));
	});
}

test('a forwarded request is not moved when its answer is overdue', async t => {
	const port = getPort(createFixture({isIsolated: true}));
	t.is((await choose(port) as proxy.Target).kind, 'host');
	t.is(await choose(port, {isMove: true}), undefined);
});

test('a request that hangs on a path of the host moves to another host', async t => {
	const fixture = createFixture();
	const port = getPort(fixture);
	t.is((await choose(port) as proxy.Target).kind, 'upstream');
	fixture.state.isIsolated = true;
	t.is((await choose(port, {isMove: true}) as proxy.Target).kind, 'host');
});

test('the quarantine applies to requests that an isolated host forwards', t => {
	// Guards against a request that crashes upstreams and reaches them through a host that found no other to forward it to.
	t.true(getPort(createFixture({isIsolated: true})).isCarried);
});

test('a target that is released without an attempt does not count as one', async t => {
	const port = getPort(createFixture());
	end(port, await choose(port) as proxy.Target, 'reset');
	end(port, await choose(port) as proxy.Target, 'cancelled', '');
	t.is((await choose(port) as proxy.Target).kind, 'upstream');
	t.is(await choose(port), undefined);
});

test('an isolated host refuses requests that were forwarded to it', t => {
	const routed = createFixture({isIsolated: true}).route({isForwarded: true});
	t.is('kind' in routed && routed.kind, 'forwarding-refused');
});

for (const {name, catalogueVersion, isTaken} of [
	{name: 'an older catalogue', catalogueVersion: 2, isTaken: false},
	{name: 'the same catalogue', catalogueVersion: 1, isTaken: true},
	{name: 'a newer catalogue', catalogueVersion: 0, isTaken: true},
]) {
	test(`a host with ${name} ${isTaken ? 'takes' : 'does not take'} a forwarded request`, t => {
		// Guards against callers that meet an older catalogue at a host that has had the newer one in force.
		const routed = createFixture().route({isForwarded: true, catalogueVersion});
		t.is('service' in routed, isTaken);
	});
}

test('a request whose host becomes isolated while it waits for a slot gives the slot back and is forwarded', async t => {
	const fixture = createFixture();
	const port = getPort(fixture);
	const chosen = choose(port);
	fixture.state.isIsolated = true;
	t.is((await chosen as proxy.Target).kind, 'host');
	t.deepEqual(fixture.ends, ['unused']);
});

test('a forwarded request whose host becomes isolated is refused as not run', async t => {
	const fixture = createFixture();
	const port = getPort(fixture, {isForwarded: true});
	const chosen = choose(port);
	fixture.state.isIsolated = true;
	t.like(await chosen, {kind: 'forwarding-refused'});
});

test('a request that was sent by the host that forwarded it counts as a resend', async t => {
	const fixture = createFixture();
	await choose(getPort(fixture, {isForwarded: true, tierRetry: '1'}));
	await choose(getPort(fixture, {isForwarded: true}));
	await choose(getPort(fixture, {tierRetry: '1'}));
	t.deepEqual(fixture.drafts.map(({isResend}) => isResend), [true, false, false], 'a caller cannot spend resends by the header');
});

type Report = {
	readonly ending: proxy.AttemptEnding;
	readonly isReached: boolean;
	readonly reported: dispatch.Ending;
};

const REPORTS: readonly Report[] = [
	{ending: 'reset', isReached: true, reported: 'reset'},
	{ending: 'reset', isReached: false, reported: 'cancelled'},
	{ending: 'timeout', isReached: false, reported: 'cancelled'},
	{ending: 'overdue', isReached: false, reported: 'cancelled'},
	{ending: 'connect-error', isReached: true, reported: 'unreachable'},
	{ending: 'connect-error', isReached: false, reported: 'cancelled'},
	{ending: 'server-error', isReached: false, reported: 'error'},
	{ending: 'shed', isReached: false, reported: 'shed'},
	{ending: 'success', isReached: false, reported: 'success'},
];

for (const {ending, isReached, reported} of REPORTS) {
	test(`a host that ${isReached ? 'reaches' : 'does not reach'} other upstreams reports ${ending} as ${reported}`, async t => {
		// Guards against working upstreams that are suspended because of the paths of one host.
		const fixture = createFixture({isReached});
		const port = getPort(fixture);
		end(port, await choose(port) as proxy.Target, ending);
		await timers.setImmediate();
		t.deepEqual(fixture.ends, [reported]);
	});
}
