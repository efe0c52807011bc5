/**
Tests of tables that keep the newest entries.
*/
import test from 'ava';
import * as utils from '../../index.ts';

const CASES = [
	{name: 'the oldest goes', sets: ['a', 'b', 'c'], kept: ['b', 'c']},
	{name: 'an entry that is set again is the newest', sets: ['a', 'b', 'a', 'c'], kept: ['a', 'c']},
	{name: 'none goes below the number', sets: ['a', 'a', 'b'], kept: ['a', 'b']},
] as const;

for (const {name, sets, kept} of CASES) {
	test(name, t => {
		const map = new Map<string, number>();
		for (const [index, key] of sets.entries()) {
			utils.setBounded(map, key, index, 2);
		}

		t.deepEqual(map.keys().toArray(), [...kept]);
	});
}
