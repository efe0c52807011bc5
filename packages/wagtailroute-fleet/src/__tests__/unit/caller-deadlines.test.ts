/**
Tests of the estimate how long a caller has waited before.
*/
import test from 'ava';
import type * as generations from 'wagtailroute-generations';
import {createCallerDeadlines} from '../../caller-deadlines.ts';

const ROUTE: generations.GenerationRoute = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	class: 'read',
	timeoutMilliseconds: 2000,
	objectiveMilliseconds: 800,
	priority: 0,
	attempts: 2,
	shares: [],
};

const CASES = [
	{name: 'a caller without a deadline', given: [4000, undefined], waited: 0},
	{name: 'the first caller', given: [4000], waited: 0},
	{name: 'a caller with the same deadline as others', given: [4000, 4000], waited: 0},
	{name: 'a caller with a shorter deadline', given: [4000, 1500], waited: 2500},
	{name: 'a caller with a longer deadline', given: [1500, 4000], waited: 0},
];

for (const {name, given, waited} of CASES) {
	test(`the estimated waiting time of ${name} is ${waited} ms`, t => {
		const times = createCallerDeadlines();
		t.is(given.map(milliseconds => times.estimateWaited(ROUTE, milliseconds)).at(-1), waited);
	});
}

test('deadlines are kept by route', t => {
	const times = createCallerDeadlines();
	times.estimateWaited(ROUTE, 4000);
	t.is(times.estimateWaited({...ROUTE, name: 'other'}, 1000), 0);
});
