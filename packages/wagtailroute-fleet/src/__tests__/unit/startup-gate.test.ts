/**
Tests of when a host that has just started begins to serve.
*/
import test from 'ava';
import {createStartupGate} from '../../startup-gate.ts';
import {MAX_FIRST_GENERATION_WAIT_MILLISECONDS, MAX_CONTROL_LINKS_WAIT_MILLISECONDS} from '../../constants.ts';
import * as fixture from './fixture.ts';

const CASES = [
	{
		name: 'not without a generation', hasGeneration: false, areControlLinksOpen: true, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS, isOpen: false,
	},
	{
		name: 'at once when all links are there', hasGeneration: true, areControlLinksOpen: true, after: 0, isOpen: true,
	},
	{
		// Symptom: after a restart of everything, each upstream gets several times its slots, and all who come back wait there for a second.
		// Sequence: hosts are linked to the control hosts one after the other, and ask whichever they have.
		// Cause: the first link was enough.
		name: 'not while links are missing', hasGeneration: true, areControlLinksOpen: false, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS - 1, isOpen: false,
	},
	{
		name: 'without a control host that is away for longer', hasGeneration: true, areControlLinksOpen: false, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS, isOpen: true,
	},
];

for (const {name, hasGeneration, areControlLinksOpen, after, isOpen} of CASES) {
	test(`a host begins ${name}`, async t => {
		const context = fixture.createFakeContext();
		const gate = createStartupGate(context, {hasGeneration: () => hasGeneration, areControlLinksOpen: () => areControlLinksOpen});
		gate.check();
		await context.pass(after);
		t.is(gate.areKnown(), isOpen);
	});
}

test('what waits goes on when the host begins, and after a while in any case', async t => {
	const context = fixture.createFakeContext();
	let hasGeneration = false;
	const gate = createStartupGate(context, {hasGeneration: () => hasGeneration, areControlLinksOpen: () => true});
	const ended: string[] = [];
	void (async () => {
		await gate.wait();
		ended.push('first');
	})();

	await context.pass(MAX_FIRST_GENERATION_WAIT_MILLISECONDS - 1);
	t.deepEqual(ended, []);
	await context.pass(1);
	t.deepEqual(ended, ['first']);
	void (async () => {
		await gate.wait();
		ended.push('second');
	})();

	hasGeneration = true;
	gate.check();
	await context.pass(0);
	t.deepEqual(ended, ['first', 'second']);
});
