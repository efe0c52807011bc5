/**
Tests of when a host that has just started serves requests.
*/
import test from 'ava';
import {createStartupGate} from '../../startup-gate.ts';
import {MAX_CONTROL_LINKS_WAIT_MILLISECONDS, MAX_FIRST_GENERATION_WAIT_MILLISECONDS} from '../../constants.ts';
import * as fixture from './fixture.ts';

const CASES = [
	{
		name: 'not without a generation', hasGeneration: false, areControlLinksOpen: true, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS, isOpen: false,
	},
	{
		name: 'at once when all links are open', hasGeneration: true, areControlLinksOpen: true, after: 0, isOpen: true,
	},
	{
		// Guards against upstreams that get several times their slots after a restart of the whole fleet, so that requests queue there for a second: hosts
		// open their links one after the other, and with a part of them use different dispatchers.
		name: 'not while links are missing', hasGeneration: true, areControlLinksOpen: false, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS - 1, isOpen: false,
	},
	{
		name: 'without a control host that is down for longer', hasGeneration: true, areControlLinksOpen: false, after: MAX_CONTROL_LINKS_WAIT_MILLISECONDS, isOpen: true,
	},
];

for (const {name, hasGeneration, areControlLinksOpen, after, isOpen} of CASES) {
	test(`the gate opens ${name}`, async t => {
		const context = fixture.createFakeContext();
		const gate = createStartupGate(context, {hasGeneration: () => hasGeneration, areControlLinksOpen: () => areControlLinksOpen});
		gate.check();
		await context.pass(after);
		t.is(gate.areKnown(), isOpen);
	});
}

test('a waiting request proceeds when the gate opens, or after a bounded time', async t => {
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
