/**
Tests of how an entry host divides the time that it has to stop.
*/
import test from 'ava';
import {divideStopTime} from '../../stop-times.ts';

const CASES = [
	{
		name: 'a short one', milliseconds: 2000, accepting: 960, draining: 840,
	},
	{
		name: 'the usual one', milliseconds: 6000, accepting: 2880, draining: 2520,
	},
	{
		name: 'a long one', milliseconds: 10_000, accepting: 4800, draining: 4600,
	},
];

for (const {name, milliseconds, accepting, draining} of CASES) {
	test(`of the time to stop, ${name} leaves ${draining} ms for what is under way`, t => {
		// Guards against hosts that give requests up while they have a third of their time left.
		const {acceptingMilliseconds, drainingMilliseconds} = divideStopTime(milliseconds);
		t.deepEqual([acceptingMilliseconds, drainingMilliseconds], [accepting, draining]);
		t.true(acceptingMilliseconds + drainingMilliseconds >= milliseconds * 5 / 6, 'given up in the last sixth only');
	});
}
