/**
Tests of the small helpers.
*/
import test from 'ava';
import * as utils from '../../index.ts';

test('a broken invariant throws its own error', t => {
	t.throws(() => {
		utils.invariant(false, 'it holds');
	}, {instanceOf: utils.BrokenInvariant, message: 'it holds'});
});

test('merged teardowns run once, last registered first', t => {
	const calls: string[] = [];
	const teardown = utils.mergeTeardowns(
		() => {
			calls.push('first');
		},
		() => {
			calls.push('second');
		},
	);
	teardown();
	teardown();
	t.deepEqual(calls, ['second', 'first']);
});

test('the same seed gives the same numbers, all in [0, 1)', t => {
	const left = utils.createRandom(7);
	const right = utils.createRandom(7);
	for (let round = 0; round < 1000; round++) {
		const value = left();
		t.is(value, right());
		t.true(value >= 0 && value < 1);
	}
});

test('a shuffle keeps every item', t => {
	const items = [1, 2, 3, 4, 5, 6];
	t.deepEqual(utils.shuffle(utils.createRandom(1), items).toSorted((left, right) => left - right), items);
});

test('what is asked for several times runs once, and again when it is asked for again', t => {
	const due: Array<() => void> = [];
	let runs = 0;
	const request = utils.coalesce((_milliseconds, run) => {
		due.push(run);
		return () => undefined;
	}, 10, () => {
		runs++;
	});
	request();
	request();
	t.is(due.length, 1);
	due[0]!();
	request();
	due[1]!();
	t.is(runs, 2);
});
