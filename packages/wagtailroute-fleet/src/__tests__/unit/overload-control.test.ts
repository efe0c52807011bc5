/**
Tests of when overload control is on.
*/
import test from 'ava';
import {LARGE_FLEET_ENTRY_HOSTS} from '../../constants.ts';
import {createLargeFleetCheck, createOverloadControl} from '../../overload-control.ts';

const CASES = [
	{mode: 'on', counts: [0], expected: true},
	{mode: 'off', counts: [LARGE_FLEET_ENTRY_HOSTS], expected: false},
	{mode: 'auto', counts: [0], expected: false},
	{mode: 'auto', counts: [LARGE_FLEET_ENTRY_HOSTS - 1], expected: false},
	{mode: 'auto', counts: [LARGE_FLEET_ENTRY_HOSTS], expected: true},
	{mode: 'auto', counts: [LARGE_FLEET_ENTRY_HOSTS, 3], expected: true},
] as const;

for (const {mode, counts, expected} of CASES) {
	test(`mode ${mode} after ${counts.join(', ')} entry hosts is ${expected ? 'on' : 'off'}`, t => {
		let hosts = 0;
		const control = createOverloadControl(mode, createLargeFleetCheck(() => hosts));
		const states = counts.map(count => {
			hosts = count;
			return control.isOn();
		});
		t.is(states.at(-1), expected);
	});
}
