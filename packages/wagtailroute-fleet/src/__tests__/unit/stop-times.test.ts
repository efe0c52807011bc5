/**
Tests of how an entry host divides the time that it has for stopping.
*/
import test from 'ava';
import {divideStopTime} from '../../stop-times.ts';

const CASES = [
	{
		name: '2 s', milliseconds: 2000, accepting: 960, draining: 840, flushing: 100,
	},
	{
		name: 'the usual 6 s', milliseconds: 6000, accepting: 2880, draining: 2520, flushing: 300,
	},
	{
		name: '10 s', milliseconds: 10_000, accepting: 4800, draining: 4600, flushing: 300,
	},
];

for (const {
	name, milliseconds, accepting, draining, flushing,
} of CASES) {
	test(`a stop time of ${name} leaves ${draining} ms for requests in flight`, t => {
		// Guards against hosts that abort requests while a third of the stop time is left.
		const {acceptingMilliseconds, drainingMilliseconds, flushingMilliseconds} = divideStopTime(milliseconds);
		t.deepEqual([acceptingMilliseconds, drainingMilliseconds, flushingMilliseconds], [accepting, draining, flushing]);
		t.true(acceptingMilliseconds + drainingMilliseconds >= milliseconds * 5 / 6, 'aborted in the last sixth only');
	});
}
