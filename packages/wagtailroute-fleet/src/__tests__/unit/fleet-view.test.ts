/**
Tests of an entry host's view of the fleet: versions of generations never decrease, instances and retirements are followed.
*/
import test from 'ava';
import * as results from 'ts-results-es';
import type * as generations from 'wagtailroute-generations';
import type {LinkedHost} from '../../control-links.ts';
import {createFleetView, type FleetView} from '../../fleet-view.ts';
import type {RelayedHeartbeat} from '../../messages.ts';
import * as fixture from './fixture.ts';

const createGeneration = (version: number): generations.Generation => ({
	version,
	routes: [],
	services: [{name: 'archive', healthPath: '/', connectionsPerUpstream: 10}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
});

const HEARTBEAT: RelayedHeartbeat = {
	upstream: 'u', service: 'archive', address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: 4, warmupMilliseconds: 0, sequence: 1, ageMilliseconds: 0,
};

type Setup = {
	readonly context: fixture.FakeContext;
	readonly fleetView: FleetView;
	readonly controls: LinkedHost[];
	readonly links: readonly fixture.FakeLink[];
};

/**
Creates the view of a host with links to some control hosts.

@param versions The version that each control host answers with; undefined does not answer.
*/
function setUp(versions: ReadonlyArray<number | undefined>): Setup {
	const context = fixture.createFakeContext();
	const links = versions.map(version => fixture.createFakeLink(method => {
		const generation = version === undefined ? undefined : {generation: createGeneration(version)};
		return method === 'generation.fetch' ? generation : {heard: [HEARTBEAT], forgotten: [], retirements: []};
	}));
	const controls = links.map((link, index): LinkedHost => ({
		host: {id: `c${index}`, address: {ip: '10.0.0.2', port: 1}, failureDomain: index === 0 ? 'far' : 'near'}, link,
	}));
	const fleetView = createFleetView(context, {
		failureDomain: 'near',
		getControlHosts: () => controls,
		onGeneration: () => undefined,
		onInstancesChanged: () => undefined,
	});
	return {
		context, fleetView, controls, links,
	};
}

/**
Creates a link whose peer receives calls and does not answer.
*/
function createFrozenLink(context: fixture.FakeContext): fixture.FakeLink {
	return {
		...fixture.createFakeLink(() => undefined),
		call: async (_method, _parameters, limit) => new Promise(resolve => {
			context.schedule(limit, () => {
				resolve(results.Err({kind: 'call-timeout', message: 'late'} as const));
			});
		}),
	};
}

test('a generation is fetched from the own failure domain if possible', async t => {
	const {context, fleetView, controls, links} = setUp([3, 3]);
	fleetView.recordVersion(controls[0]!, 3);
	fleetView.recordVersion(controls[1]!, 3);
	await context.pass(100);
	t.is(fleetView.getGeneration()?.version, 3);
	t.deepEqual(links.map(link => link.called.length), [0, 1]);
});

test('a control host that lags behind does not replace a newer generation', async t => {
	// Guards against a host that answers that a known route does not exist: it has fetched version 5, and a control host that was partitioned reports and
	// serves version 4.
	const {context, fleetView, controls} = setUp([4, 5]);
	fleetView.recordVersion(controls[1]!, 5);
	await context.pass(100);
	fleetView.recordVersion(controls[0]!, 4);
	await context.pass(100);
	t.is(fleetView.getGeneration()?.version, 5);
});

test('when a control host does not answer, the generation comes from another', async t => {
	const {context, fleetView, controls} = setUp([7, undefined]);
	fleetView.recordVersion(controls[1]!, 7);
	fleetView.recordVersion(controls[0]!, 7);
	await context.pass(1000);
	t.is(fleetView.getGeneration()?.version, 7);
});

test('a generation comes from another control host soon when one does not answer', async t => {
	// Guards against a host that serves by an older generation seconds after a newer one was confirmed: the control host of its failure domain is frozen after it has
	// reported the newer one, and the call takes its whole timeout.
	const {context, fleetView, controls} = setUp([7, 7]);
	const frozen = {...controls[1]!, link: createFrozenLink(context)};
	controls[1] = frozen;
	fleetView.recordVersion(frozen, 7);
	fleetView.recordVersion(controls[0]!, 7);
	await context.pass(500);
	t.is(fleetView.getGeneration()?.version, 7);
});

test('a generation is fetched although each control host failed to send it once', async t => {
	// Guards against a host that never learns of a generation: all control hosts were too busy to answer in time, and each was asked only once.
	const {context, fleetView, controls, links} = setUp([undefined, undefined]);
	fleetView.recordVersion(controls[0]!, 7);
	fleetView.recordVersion(controls[1]!, 7);
	await context.pass(1000);
	t.true(links.every(link => link.called.length > 1));
});

test('a control host that lags behind is not asked again and again without a pause', async t => {
	// Guards against fetches that keep a control host busy while it catches up: it has reported a version, and its replica was opened anew with an older one.
	const {context, fleetView, controls, links} = setUp([7, 4]);
	fleetView.recordVersion(controls[1]!, 7);
	await context.pass(1000);
	t.is(fleetView.getGeneration()?.version, 4);
	t.true(links[1]!.called.length <= 11, `${links[1]!.called.length} fetches`);
});

test('no more than three control hosts are asked for a generation at once', async t => {
	// Guards against slow control hosts that get slower: each host that waits for one of them asks all the others as well.
	const {context, fleetView, controls} = setUp([7, 7, 7, 7, 7, 7]);
	let asked = 0;
	const frozen = controls.map(control => ({
		...control, link: {
			...createFrozenLink(context),
			async call(...parameters: Parameters<fixture.FakeLink['call']>) {
				asked++;
				return createFrozenLink(context).call(...parameters);
			},
		},
	}));
	controls.splice(0, controls.length, ...frozen);
	for (const control of frozen) {
		fleetView.recordVersion(control, 7);
	}

	await context.pass(1900);
	t.is(asked, 3);
});

test('a retired instance gets no more requests, and no heartbeat makes it serve again', async t => {
	const {context, fleetView} = setUp([1, 1]);
	fleetView.followInstances();
	await context.pass(10);
	t.false(fleetView.listCandidates('archive')[0]?.isDraining);
	fleetView.applyRetirements([{upstream: 'u', state: 'draining'}]);
	fleetView.applyInstances({heard: [{...HEARTBEAT, sequence: 2}], forgotten: [], retirements: []});
	t.true(fleetView.listCandidates('archive')[0]?.isDraining);
	t.true(fleetView.isRetired('u'));
});

test('an address is listed for as long as an instance has it', async t => {
	// Guards against memory that grows for as long as an entry host runs: upstreams are replaced all day, each at a new address, and the connection pools of
	// addresses without an instance are kept.
	const {context, fleetView} = setUp([1, 1]);
	fleetView.followInstances();
	await context.pass(10);
	t.deepEqual([...fleetView.listAddresses()], ['10.0.0.1:80']);
	fleetView.applyRetirements([{upstream: 'u', state: 'draining'}]);
	t.is(fleetView.listAddresses().size, 1);
	fleetView.applyRetirements([{upstream: 'u', state: 'gone'}]);
	t.is(fleetView.listAddresses().size, 0);
});

const FOLLOWING: ReadonlyArray<{readonly name: string; readonly linked: readonly number[]; readonly expected: readonly number[]}> = [
	{name: 'one of the own failure domain, at once', linked: [0, 1], expected: [0, 1]},
	{name: 'one of another failure domain, after a delay', linked: [0], expected: [1, 0]},
];

for (const {name, linked, expected} of FOLLOWING) {
	test(`of the control hosts that are linked, instances are followed at ${name}`, async t => {
		// Guards against bytes between failure domains: the first link that opens is mostly one to another failure domain, and each change then crosses.
		const {context, fleetView, links, controls} = setUp([1, 1]);
		controls.splice(0, 2, ...linked.map(index => controls[index]!));
		fleetView.followInstances();
		await context.pass(10);
		t.is(links[0]!.called.length, 0);
		await context.pass(1000);
		t.deepEqual(links.map(link => link.called.length), expected);
	});
}

test('a host that follows the instances of another failure domain changes to its own', async t => {
	const {context, fleetView, links, controls} = setUp([1, 1]);
	const near = controls.pop()!;
	fleetView.followInstances();
	await context.pass(1010);
	controls.push(near);
	fleetView.followInstances();
	await context.pass(10);
	t.deepEqual(links.map(link => link.called.map(([method]) => method)), [['instances.follow'], ['instances.follow']]);
	t.deepEqual(links.map(link => link.notified.map(([method]) => method)), [['instances.unfollow'], []]);
	t.is(fleetView.listCandidates('archive').length, 1);
});

test('a host whose own control host does not answer goes on following the other failure domain', async t => {
	const {context, fleetView, links, controls} = setUp([1, 1]);
	const near = controls.pop()!;
	fleetView.followInstances();
	await context.pass(1010);
	controls.push({...near, link: fixture.createFakeLink(() => undefined)});
	fleetView.followInstances();
	await context.pass(10);
	t.deepEqual(links[0]!.notified, []);
});
