/**
Tests of the encoded form of generations.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as generations from '../../index.ts';

const createGeneration = (routes: number, version = 1): generations.Generation => ({
	version,
	routes: Array.from({length: routes}, (_, index) => ({
		name: `r-${index}`,
		host: 'a.example',
		pathPrefix: `/path${index.toString(36)}/`,
		class: 'non-idempotent',
		timeoutMilliseconds: 1500,
		objectiveMilliseconds: 1200,
		priority: 1,
		attempts: 2,
		shares: [{service: 'archive', weight: 1}],
	})),
	services: [{name: 'archive', healthPath: '/health', connectionsPerUpstream: 100}],
	limits: {
		headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
});

test('a generation and its document come back as they were', t => {
	fc.assert(fc.property(fc.string({unit: 'grapheme'}), fc.nat({max: 30}), (document, routes) => {
		const generation = createGeneration(routes, routes);
		const encoded = structuredClone(generations.encodeGeneration({generation, document}));
		t.is(encoded.version, routes);
		t.deepEqual(generations.decodeGeneration(encoded.generation), generation);
		t.is(generations.decodeDocument(encoded.document), document);
	}));
});

test('the command of a large generation is a quarter of its document at most', t => {
	// Guards against control hosts that are busy with one change: its command held the generation as well as the document, and every host that passed it on
	// wrote, deflated and parsed both.
	const generation = createGeneration(2800);
	const document = JSON.stringify(generation);
	const command: generations.GenerationCommand = {name: 'put', stored: generations.encodeGeneration({generation, document})};
	t.true(JSON.stringify(command).length < document.length / 4);
});

test('a generation that an older build stored in plain form is kept', t => {
	const submitted = {generation: createGeneration(3, 7), document: 'document 7'};
	const fromLog = generations.createReplicatedGenerations();
	fromLog.apply({name: 'put', stored: submitted}, 1);
	const fromSnapshot = generations.createReplicatedGenerations();
	fromSnapshot.restoreSnapshot({stored: submitted, retirements: []});
	for (const replicated of [fromLog, fromSnapshot]) {
		t.deepEqual(replicated.getStored()!.generation, submitted.generation);
		t.is(generations.decodeDocument(replicated.getStored()!.encoded.document), 'document 7');
		t.is(replicated.apply({name: 'put', stored: submitted}, 2).version, 7);
	}
});
