/**
Tests of how many entry hosts the directory names.
*/
import test from 'ava';
import {
	MIN_DIRECTORY_ADDRESSES,
	MAX_DIRECTORY_ADDRESSES,
	DIRECTORY_HALF_LIFE_MILLISECONDS,
	TARGET_LOAD,
} from '../../constants.ts';
import {adaptDirectorySize} from '../../directory-size.ts';

const TWENTY = 20;
const idle = (hosts: number) => Array.from({length: hosts}, () => 0);

const CASES = [
	{
		name: 'all hosts when nothing is known yet', previous: undefined, loads: idle(TWENTY), now: 0, hosts: TWENTY,
	},
	{
		name: 'half of them after a while without load', previous: {hosts: TWENTY, at: 0}, loads: idle(TWENTY), now: DIRECTORY_HALF_LIFE_MILLISECONDS, hosts: 10,
	},
	{
		name: 'the least in the end', previous: {hosts: TWENTY, at: 0}, loads: idle(TWENTY), now: DIRECTORY_HALF_LIFE_MILLISECONDS * 10, hosts: MIN_DIRECTORY_ADDRESSES,
	},
	{
		// Symptom: on small hosts every answer takes more than a second, two thirds of the requests miss their deadline.
		// Sequence: traffic starts; three hosts a failure domain carry all of it, the other seventeen idle.
		// Cause: the directory named a fixed number of hosts whatever their load.
		name: 'more at once when the few are loaded', previous: {hosts: 3, at: 0}, loads: [1, 1, 1, 1, ...idle(16)], now: 100, hosts: 4 / TARGET_LOAD,
	},
	{
		// Symptom: in the first seconds after a restart of everything, three hosts a failure domain carry all callers.
		// Sequence: a caller looks up before any entry host has joined; the others join within half a second.
		// Cause: no loads at all were taken for no load.
		name: 'all that may join while none has', previous: undefined, loads: [], now: 0, hosts: MAX_DIRECTORY_ADDRESSES,
	},
	{
		name: 'as many as before when all have left', previous: {hosts: 7, at: 5}, loads: [], now: 5, hosts: 7,
	},
	{
		name: 'no more than callers take', previous: {hosts: 3, at: 0}, loads: Array.from({length: 300}, () => 1), now: 100, hosts: MAX_DIRECTORY_ADDRESSES,
	},
];

for (const {name, previous, loads, now, hosts} of CASES) {
	test(`the directory names ${name}`, t => {
		t.deepEqual(adaptDirectorySize(previous, loads, now), {hosts, at: now});
	});
}
