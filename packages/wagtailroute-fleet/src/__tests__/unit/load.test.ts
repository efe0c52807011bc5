/**
Tests of the measurement of load.
*/
import test from 'ava';
import {LOAD_INTERVAL_MILLISECONDS} from '../../constants.ts';
import {startLoadMeter} from '../../load.ts';
import {createFakeContext} from './fixture.ts';

const CASES = [
	{
		name: 'an idle host', busy: 0, bytes: 0, load: 0,
	},
	{
		name: 'a host whose event loop is busy for half of the time', busy: LOAD_INTERVAL_MILLISECONDS / 2, bytes: 10, load: 0.5,
	},
	{
		name: 'a host whose link is full while its event loop is idle', busy: 10, bytes: 1000, load: 4,
	},
	{
		name: 'a host whose link and event loop are equally used', busy: LOAD_INTERVAL_MILLISECONDS / 10, bytes: 100, load: 0.4,
	},
];

for (const {name, busy, bytes, load} of CASES) {
	test(`the load of ${name} is ${load}`, async t => {
		const context = createFakeContext();
		const total = {busy: 0, bytes: 0};
		let measured = 0;
		const meter = startLoadMeter(context, {
			getBusyMilliseconds: () => total.busy,
			getBytes: () => total.bytes,
			linkBytesPerSecond: 1000,
			onMeasured() {
				measured++;
			},
		});
		total.busy += busy;
		total.bytes += bytes;
		await context.pass(LOAD_INTERVAL_MILLISECONDS);
		t.is(measured, 1);
		t.is(meter.getLoad(), load);
	});
}
