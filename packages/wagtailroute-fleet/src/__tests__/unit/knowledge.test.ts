/**
Tests of what an entry host knows: generations only move forward, instances and retirements are followed.
*/
import test from 'ava';
import type * as generations from 'wagtailroute-generations';
import type {OpenControl} from '../../control-links.ts';
import {createKnowledge, type Knowledge} from '../../knowledge.ts';
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
	readonly knowledge: Knowledge;
	readonly controls: readonly OpenControl[];
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
	const controls = links.map((link, index): OpenControl => ({
		host: {id: `c${index}`, address: {ip: '10.0.0.2', port: 1}, failureDomain: index === 0 ? 'far' : 'near'}, link,
	}));
	const knowledge = createKnowledge(context, {
		failureDomain: 'near',
		getOpen: () => controls,
		onGeneration: () => undefined,
		onInstances: () => undefined,
	});
	return {
		context, knowledge, controls, links,
	};
}

test('a generation is fetched from the own failure domain where it can be', async t => {
	const {context, knowledge, controls, links} = setUp([3, 3]);
	knowledge.hearVersion(controls[0]!, 3);
	knowledge.hearVersion(controls[1]!, 3);
	await context.pass(100);
	t.is(knowledge.getGeneration()?.version, 3);
	t.deepEqual(links.map(link => link.called.length), [0, 1]);
});

test('a control host that lags behind takes nothing back', async t => {
	// Symptom: a host that had a route answers that there is none.
	// Sequence: it fetches version 5; a control host that was cut off tells version 4 and hands it out.
	// Cause: whatever was fetched last was put in force.
	const {context, knowledge, controls} = setUp([4, 5]);
	knowledge.hearVersion(controls[1]!, 5);
	await context.pass(100);
	knowledge.hearVersion(controls[0]!, 4);
	await context.pass(100);
	t.is(knowledge.getGeneration()?.version, 5);
});

test('when a control host does not answer, the generation comes from another', async t => {
	const {context, knowledge, controls} = setUp([7, undefined]);
	knowledge.hearVersion(controls[1]!, 7);
	knowledge.hearVersion(controls[0]!, 7);
	await context.pass(1000);
	t.is(knowledge.getGeneration()?.version, 7);
});

test('a retired instance takes no more work, and comes back with no heartbeat', async t => {
	const {context, knowledge} = setUp([1]);
	knowledge.follow();
	await context.pass(10);
	t.false(knowledge.listCandidates('archive')[0]?.isDraining);
	knowledge.hearRetirements([{upstream: 'u', state: 'draining'}]);
	knowledge.hearInstances({heard: [{...HEARTBEAT, sequence: 2}], forgotten: [], retirements: []});
	t.true(knowledge.listCandidates('archive')[0]?.isDraining);
	t.true(knowledge.isRetired('u'));
});

test('an address is known for as long as an instance has it', async t => {
	// Symptom: the memory of an entry host grows for as long as it runs.
	// Sequence: upstreams are replaced all day, each at an address of its own.
	// Cause: the connections to addresses that were gone were kept; nobody told that they were.
	const {context, knowledge} = setUp([1]);
	knowledge.follow();
	await context.pass(10);
	t.deepEqual([...knowledge.listAddresses()], ['10.0.0.1:80']);
	knowledge.hearRetirements([{upstream: 'u', state: 'draining'}]);
	t.is(knowledge.listAddresses().size, 1);
	knowledge.hearRetirements([{upstream: 'u', state: 'gone'}]);
	t.is(knowledge.listAddresses().size, 0);
});
