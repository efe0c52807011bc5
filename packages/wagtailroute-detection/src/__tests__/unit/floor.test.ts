/**
Tests of the floor that limits ejections.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as detection from '../../index.ts';

const CASES: ReadonlyArray<{readonly counts: detection.UpstreamCounts; readonly allowance: number}> = [
	{counts: createCounts('count', 3, [6, 0, 0]), allowance: 3},
	{counts: createCounts('count', 3, [3, 3, 0]), allowance: 0},
	{counts: createCounts('count', 3, [2, 0, 0]), allowance: 0},
	// 70% of 6 is 4.2: five are kept.
	{counts: createCounts('percent', 70, [6, 0, 0]), allowance: 1},
	{counts: createCounts('percent', 70, [5, 1, 0]), allowance: 0},
	// 80% of 8 is 6.4: seven are kept.
	{counts: createCounts('percent', 80, [8, 0, 0]), allowance: 1},
	// Draining capacity counts in the total, so that it doesn't lower the floor.
	{counts: createCounts('percent', 50, [4, 0, 4]), allowance: 0},
	{counts: createCounts('percent', 100, [30, 0, 0]), allowance: 0},
	// The last upstream stays in service, even without a floor.
	{counts: createCounts('percent', 0, [1, 0, 0]), allowance: 0},
	{counts: createCounts('count', 0, [2, 0, 0]), allowance: 1},
];

for (const {counts, allowance} of CASES) {
	test(`${JSON.stringify(counts)} allows ${allowance} ejections`, t => {
		t.is(detection.getEjectionAllowance(counts), allowance);
		t.is(detection.isEjectionAllowed(counts), allowance > 0);
	});
}

test('no order of grants, re-admissions, drains and arrivals lets a grant violate the floor', t => {
	// Guards against fewer upstreams than the floor when several are sick at once: the allowance includes upstreams that drain, or
	// is rounded the wrong way.
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
				if (!detection.isEjectionAllowed(createCounts('percent', value, [serving, ejected, draining]))) {
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

function createCounts(
	kind: detection.HealthyFloor['kind'],
	value: number,
	[serving, ejected, draining]: readonly [number, number, number],
): detection.UpstreamCounts {
	return {
		healthyFloor: {kind, value},
		serving,
		ejected,
		draining,
	};
}
