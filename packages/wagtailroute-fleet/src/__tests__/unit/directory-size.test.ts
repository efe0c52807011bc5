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

const HOSTS = 20;
const createIdleLoads = (hosts: number) => Array.from({length: hosts}, () => 0);

const CASES = [
	{
		name: 'all hosts at first', previous: undefined, loads: createIdleLoads(HOSTS), now: 0, hosts: HOSTS,
	},
	{
		name: 'half of them after a while without load',
		previous: {hosts: HOSTS, at: 0, members: HOSTS},
		loads: createIdleLoads(HOSTS),
		now: DIRECTORY_HALF_LIFE_MILLISECONDS,
		hosts: 10,
	},
	{
		name: 'the smallest number in the end',
		previous: {hosts: HOSTS, at: 0, members: HOSTS},
		loads: createIdleLoads(HOSTS),
		now: DIRECTORY_HALF_LIFE_MILLISECONDS * 10,
		hosts: MIN_DIRECTORY_ADDRESSES,
	},
	{
		// Guards against a fixed number of hosts: three small hosts in a failure domain carried all traffic while seventeen idled,
		// every answer took more than a second, and two thirds of the requests missed their deadline.
		name: 'more hosts at once when the named ones are loaded', previous: {hosts: 3, at: 0, members: HOSTS}, loads: [1, 1, 1, 1, ...createIdleLoads(16)], now: 100, hosts: 4 / TARGET_LOAD,
	},
	{
		// Guards against treating an empty list of loads as no load: after a restart of the whole fleet, a look-up before any entry host
		// had joined made three hosts in a failure domain serve all callers for the first seconds.
		name: 'the largest number while no host has joined', previous: undefined, loads: [], now: 0, hosts: MAX_DIRECTORY_ADDRESSES,
	},
	{
		// Guards against a directory that names three of 61 hosts when the first requests come: only these had joined at its first computation.
		name: 'hosts that joined since, while a fleet starts', previous: {hosts: 3, at: 0, members: 3}, loads: createIdleLoads(HOSTS), now: 0, hosts: HOSTS,
	},
	{
		name: 'no host more when hosts return', previous: {hosts: 4, at: 0, members: HOSTS}, loads: createIdleLoads(HOSTS), now: 0, hosts: 4,
	},
	{
		name: 'as many hosts as before when all have left', previous: {hosts: 7, at: 5, members: HOSTS}, loads: [], now: 5, hosts: 7,
	},
	{
		name: 'no more hosts than callers read', previous: {hosts: 3, at: 0, members: 300}, loads: Array.from({length: 300}, () => 1), now: 100, hosts: MAX_DIRECTORY_ADDRESSES,
	},
];

for (const {name, previous, loads, now, hosts} of CASES) {
	test(`the directory names ${name}`, t => {
		const {members: _, ...size} = adaptDirectorySize(previous, loads, now);
		t.deepEqual(size, {hosts, at: now});
	});
}
