/**
Tests of what an entry host knows: generations only move forward, instances and retirements are followed.
*/
import test from 'ava';
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
	readonly controls: readonly LinkedHost[];
	readonly links: readonly fixture.FakeLink[];
};

/**
Creates the knowledge of a host with links to some control hosts.

@param versions The version that each control host answers with; undefined answers nothing.
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

test('a generation is fetched from the own failure domain where it can be', async t => {
	const {context, fleetView, controls, links} = setUp([3, 3]);
	fleetView.recordVersion(controls[0]!, 3);
	fleetView.recordVersion(controls[1]!, 3);
	await context.pass(100);
	t.is(fleetView.getGeneration()?.version, 3);
	t.deepEqual(links.map(link => link.called.length), [0, 1]);
});

test('a control host that lags behind takes nothing back', async t => {
	// Symptom: a host that had a route answers that there is none.
	// Sequence: it fetches version 5; a control host that was cut off tells version 4 and hands it out.
	// Cause: whatever was fetched last was put in force.
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

test('a retired instance takes no more work, and comes back with no heartbeat', async t => {
	const {context, fleetView} = setUp([1]);
	fleetView.followInstances();
	await context.pass(10);
	t.false(fleetView.listCandidates('archive')[0]?.isDraining);
	fleetView.applyRetirements([{upstream: 'u', state: 'draining'}]);
	fleetView.applyInstances({heard: [{...HEARTBEAT, sequence: 2}], forgotten: [], retirements: []});
	t.true(fleetView.listCandidates('archive')[0]?.isDraining);
	t.true(fleetView.isRetired('u'));
});

test('an address is known for as long as an instance has it', async t => {
	// Symptom: the memory of an entry host grows for as long as it runs.
	// Sequence: upstreams are replaced all day, each at an address of its own.
	// Cause: the connections to addresses that were gone were kept; nobody told that they were.
	const {context, fleetView} = setUp([1]);
	fleetView.followInstances();
	await context.pass(10);
	t.deepEqual([...fleetView.listAddresses()], ['10.0.0.1:80']);
	fleetView.applyRetirements([{upstream: 'u', state: 'draining'}]);
	t.is(fleetView.listAddresses().size, 1);
	fleetView.applyRetirements([{upstream: 'u', state: 'gone'}]);
	t.is(fleetView.listAddresses().size, 0);
});
