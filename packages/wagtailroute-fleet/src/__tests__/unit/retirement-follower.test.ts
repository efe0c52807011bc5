/**
Tests that a host learns of all retirements that any of its control hosts knows.
*/
import test from 'ava';
import type * as generations from 'wagtailroute-generations';
import type {RetirementChanges, RetirementFetch} from '../../messages.ts';
import {createRetirementFollower} from '../../retirement-follower.ts';
import * as fixture from './fixture.ts';

/**
Retirements of upstreams `u1`, `u2` and so on, by log index.
*/
const LOG: ReadonlyMap<number, generations.Retirement> = new Map([3, 4, 8, 9].map((index, at) => [index, {upstream: `u${at + 1}`, state: 'draining'}]));

function list(after: number, until: number): RetirementChanges {
	const known = LOG.entries().filter(([index]) => index > after && index <= until).toArray();
	return {retirements: known.map(([, retirement]) => retirement), after, index: LOG.keys().filter(index => index <= until).toArray().at(-1) ?? 0};
}

/**
Creates a link to a control host that knows the log up to an index; undefined does not answer.
*/
function createControl(until: number | undefined): fixture.FakeLink {
	return fixture.createFakeLink((_method, {after}: RetirementFetch) => until === undefined ? undefined : list(after, until));
}

type Step =
	| {readonly kind: 'told'; readonly control: number; readonly index: number}
	| {readonly kind: 'announced'; readonly control: number; readonly changes: RetirementChanges};

type FollowerCase = {
	readonly name: string;
	readonly controls: ReadonlyArray<number | undefined>;
	readonly steps: readonly Step[];
	readonly expected: readonly string[];
	/**
	Fetches from each control host.
	*/
	readonly fetches: readonly number[];
};

// Guards against requests to upstreams that were confirmed as leaving, by a host that was told so by nobody: the control host that it follows is behind.
const CASES: readonly FollowerCase[] = [
	{
		name: 'a host that has started fetches from the control host that knows more',
		controls: [0, 9],
		steps: [{kind: 'told', control: 0, index: 0}, {kind: 'told', control: 1, index: 9}],
		expected: ['u1', 'u2', 'u3', 'u4'],
		fetches: [0, 1],
	},
	{
		name: 'control hosts that know the same are asked once',
		controls: [9, 9],
		steps: [{kind: 'told', control: 0, index: 9}, {kind: 'told', control: 1, index: 9}],
		expected: ['u1', 'u2', 'u3', 'u4'],
		fetches: [1, 0],
	},
	{
		name: 'an announcement that continues what is known is enough',
		controls: [9],
		steps: [{kind: 'announced', control: 0, changes: list(0, 4)}, {kind: 'announced', control: 0, changes: list(4, 9)}],
		expected: ['u1', 'u2', 'u3', 'u4'],
		fetches: [0],
	},
	{
		name: 'what was missed before an announcement is fetched',
		controls: [9],
		steps: [{kind: 'announced', control: 0, changes: list(8, 9)}],
		expected: ['u4', 'u1', 'u2', 'u3'],
		fetches: [1],
	},
	{
		name: 'another control host is asked when one does not answer',
		controls: [undefined, 8],
		steps: [{kind: 'told', control: 0, index: 8}, {kind: 'told', control: 1, index: 8}],
		expected: ['u1', 'u2', 'u3'],
		fetches: [1, 1],
	},
	{
		name: 'a control host whose replica was opened anew, and knows less, is asked once',
		controls: [3],
		steps: [{kind: 'told', control: 0, index: 9}],
		expected: ['u1'],
		fetches: [1],
	},
];

for (const {name, controls, steps, expected, fetches} of CASES) {
	test(name, async t => {
		const context = fixture.createFakeContext();
		const links = controls.map(until => createControl(until));
		const applied = new Set<string>();
		const follower = createRetirementFollower(context, retirements => {
			for (const {upstream} of retirements) {
				applied.add(upstream);
			}
		});
		const handlers: {readonly [Kind in Step['kind']]: (step: Extract<Step, {kind: Kind}>) => void} = {
			told({control, index}) {
				follower.recordIndex(links[control]!, index);
			},
			announced({control, changes}) {
				follower.applyChanges(links[control]!, changes);
			},
		};
		for (const step of steps) {
			handlers[step.kind](step as never);
		}

		await context.pass(5000);
		t.deepEqual([...applied], expected);
		t.deepEqual(links.map(({called}) => called.length), fetches);
	});
}
