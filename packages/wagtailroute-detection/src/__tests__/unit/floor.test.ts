/**
Tests of the floor.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as detection from '../../index.ts';

const CASES: ReadonlyArray<{readonly population: detection.Population; readonly allowance: number}> = [
	{population: createPopulation('count', 3, [6, 0, 0]), allowance: 3},
	{population: createPopulation('count', 3, [3, 3, 0]), allowance: 0},
	{population: createPopulation('count', 3, [2, 0, 0]), allowance: 0},
	// 70% of 6 is 4.2: five are kept.
	{population: createPopulation('percent', 70, [6, 0, 0]), allowance: 1},
	{population: createPopulation('percent', 70, [5, 1, 0]), allowance: 0},
	// 80% of 8 is 6.4: seven are kept.
	{population: createPopulation('percent', 80, [8, 0, 0]), allowance: 1},
	// Draining capacity counts in the total, so that it doesn't lower the floor.
	{population: createPopulation('percent', 50, [4, 0, 4]), allowance: 0},
	{population: createPopulation('percent', 100, [30, 0, 0]), allowance: 0},
	// The last upstream stays, even with no floor at all.
	{population: createPopulation('percent', 0, [1, 0, 0]), allowance: 0},
	{population: createPopulation('count', 0, [2, 0, 0]), allowance: 1},
];

for (const {population, allowance} of CASES) {
	test(`${JSON.stringify(population)} allows ${allowance} ejections`, t => {
		t.is(detection.getEjectionAllowance(population), allowance);
		t.is(detection.isGrantAllowed(population), allowance > 0);
	});
}

test('no order of grants, re-admissions, departures and arrivals lets a grant break the floor', t => {
	// Symptom: with several upstreams sick at once, fewer than the floor are left.
	// Sequence: grants are asked for while upstreams drain and leave.
	// Cause: an allowance computed from upstreams that no longer take work, or rounded down.
	const seed = 5;
	t.log(`seed ${seed}`);
	const orders = fc.array(fc.constantFrom('grant', 'readmit', 'drain', 'arrive'), {maxLength: 60});
	fc.assert(fc.property(fc.integer({min: 0, max: 100}), fc.integer({min: 1, max: 30}), orders, (value, first, order) => {
		let serving = first;
		let ejected = 0;
		let draining = 0;
		const afterGrants: boolean[] = [];
		const moves: Readonly<Record<string, () => void>> = {
			grant() {
				if (!detection.isGrantAllowed(createPopulation('percent', value, [serving, ejected, draining]))) {
					return;
				}

				serving--;
				ejected++;
				afterGrants.push(serving >= 1 && serving * 100 >= value * (serving + ejected + draining));
			},
			readmit() {
				const readmitted = Math.min(1, ejected);
				ejected -= readmitted;
				serving += readmitted;
			},
			drain() {
				const drained = Math.min(1, serving);
				serving -= drained;
				draining += drained;
			},
			arrive() {
				serving++;
			},
		};
		for (const move of order) {
			moves[move]!();
		}

		t.true(afterGrants.every(Boolean));
	}), {seed, numRuns: 200});
});

function createPopulation(
	kind: detection.HealthyFloor['kind'],
	value: number,
	[serving, ejected, draining]: readonly [number, number, number],
): detection.Population {
	return {
		healthyFloor: {kind, value},
		serving,
		ejected,
		draining,
	};
}
