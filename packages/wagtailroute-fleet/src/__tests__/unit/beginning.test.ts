/**
Tests of when a host that has just started begins to serve.
*/
import test from 'ava';
import {createBeginning} from '../../beginning.ts';
import {FIRST_GENERATION_MILLISECONDS, LINKING_MILLISECONDS} from '../../constants.ts';
import * as fixture from './fixture.ts';

const CASES = [
	{
		name: 'not without a generation', hasGeneration: false, isLinked: true, after: LINKING_MILLISECONDS, hasBegun: false,
	},
	{
		name: 'at once when all links are there', hasGeneration: true, isLinked: true, after: 0, hasBegun: true,
	},
	{
		// Symptom: after a restart of everything, each upstream gets several times its slots, and all who come back wait there for a second.
		// Sequence: hosts are linked to the control hosts one after the other, and ask whichever they have.
		// Cause: the first link was enough.
		name: 'not while links are missing', hasGeneration: true, isLinked: false, after: LINKING_MILLISECONDS - 1, hasBegun: false,
	},
	{
		name: 'without a control host that is away for longer', hasGeneration: true, isLinked: false, after: LINKING_MILLISECONDS, hasBegun: true,
	},
];

for (const {name, hasGeneration, isLinked, after, hasBegun} of CASES) {
	test(`a host begins ${name}`, async t => {
		const context = fixture.createFakeContext();
		const beginning = createBeginning(context, {hasGeneration: () => hasGeneration, isLinked: () => isLinked});
		beginning.look();
		await context.pass(after);
		t.is(beginning.areKnown(), hasBegun);
	});
}

test('what waits goes on when the host begins, and after a while in any case', async t => {
	const context = fixture.createFakeContext();
	let hasGeneration = false;
	const beginning = createBeginning(context, {hasGeneration: () => hasGeneration, isLinked: () => true});
	const ended: string[] = [];
	void (async () => {
		await beginning.wait();
		ended.push('first');
	})();

	await context.pass(FIRST_GENERATION_MILLISECONDS - 1);
	t.deepEqual(ended, []);
	await context.pass(1);
	t.deepEqual(ended, ['first']);
	void (async () => {
		await beginning.wait();
		ended.push('second');
	})();

	hasGeneration = true;
	beginning.look();
	await context.pass(0);
	t.deepEqual(ended, ['first', 'second']);
});
