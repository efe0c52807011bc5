/**
Tests of the truth check and of the mix.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as mixes from '../../mix.ts';
import * as truths from '../../truth.ts';

const NOTHING_WRONG = {toldNotRunButRan: 0, toldRanButDidNot: 0, ranMoreThanOnce: 0};

type Case = {
	readonly told: readonly truths.Told[];
	readonly requestClass: truths.ToldRequest['requestClass'];
	readonly runs: number;
	readonly wrong: Partial<typeof NOTHING_WRONG>;
};

const CASES: readonly Case[] = [
	{
		told: ['ran'], requestClass: 'read', runs: 1, wrong: {},
	},
	{
		told: ['ran'], requestClass: 'idempotent', runs: 2, wrong: {},
	},
	{
		told: ['ran'], requestClass: 'non-idempotent', runs: 2, wrong: {ranMoreThanOnce: 1},
	},
	{
		told: ['ran'], requestClass: 'read', runs: 0, wrong: {toldRanButDidNot: 1},
	},
	{
		told: ['not-run'], requestClass: 'read', runs: 0, wrong: {},
	},
	{
		told: ['not-run'], requestClass: 'read', runs: 1, wrong: {toldNotRunButRan: 1},
	},
	{
		told: ['not-run'], requestClass: 'non-idempotent', runs: 2, wrong: {toldNotRunButRan: 1, ranMoreThanOnce: 1},
	},
	{
		told: ['unknown'], requestClass: 'non-idempotent', runs: 1, wrong: {},
	},
	{
		told: ['unknown', 'not-run'], requestClass: 'non-idempotent', runs: 1, wrong: {},
	},
	{
		told: ['not-run', 'not-run'], requestClass: 'non-idempotent', runs: 1, wrong: {toldNotRunButRan: 1},
	},
	{
		told: ['lost'], requestClass: 'non-idempotent', runs: 0, wrong: {},
	},
	{
		told: ['untold'], requestClass: 'read', runs: 1, wrong: {},
	},
];

for (const {told, requestClass, runs, wrong} of CASES) {
	test(`a ${requestClass} request told ${told.join(', ')} that ran ${runs} times: ${JSON.stringify(wrong)}`, t => {
		const truth = truths.compareRuns([{id: 'r1', requestClass, told}], new Map([['r1', runs]]), {count: 0, examples: []});
		t.like(truth, {...NOTHING_WRONG, ...wrong, isCompared: true});
		t.is(truths.isTrue(truth), Object.keys(wrong).length === 0);
		t.is(truth.examples.length, Object.keys(wrong).length);
	});
}

test('without the counts of all stand-ins nothing is said about runs', t => {
	const truth = truths.compareRuns([{id: 'r1', requestClass: 'read', told: ['ran']}], undefined, {count: 0, examples: []});
	t.like(truth, {...NOTHING_WRONG, isCompared: false});
});

test('a mix is picked by weight', t => {
	const mix = mixes.parseMix('requests: [{path: /a, weight: 9}, {path: /b, weight: 1}]').unwrap();
	const pick = mixes.createPicker(mix, utils.createRandom(1));
	const count = Array.from({length: 10_000}, () => pick().path).filter(path => path === '/b').length;
	t.true(count > 900 && count < 1100);
});

const BAD_MIXES: ReadonlyArray<{readonly text: string; readonly told: string}> = [
	{text: '', told: 'expected object'},
	{text: 'requests: []', told: 'requests'},
	{text: 'requests: [{path: a}]', told: 'requests.0.path'},
	{text: 'requests: [{class: safe}]', told: 'requests.0.class'},
	{text: 'requests: [{colour: red}]', told: 'colour'},
	{text: 'requests: [{}]\nfaults: [{atSeconds: 1, behaviours: [{kind: sleepy}]}]', told: 'faults.0.behaviours'},
	{text: 'requests: [', told: 'Flow sequence'},
];

for (const {text, told} of BAD_MIXES) {
	test(`the mix ${JSON.stringify(text)} is refused and ${told} is told`, t => {
		const failure = mixes.parseMix(text).unwrapErr();
		t.is(failure.kind, 'bad-mix');
		t.true(failure.message.includes(told), failure.message);
	});
}
