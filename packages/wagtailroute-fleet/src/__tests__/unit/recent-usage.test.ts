/**
Tests of what an entry host tells of its callers' recent use, and of how many entry hosts count.
*/
import test from 'ava';
import {createHostCount} from '../../host-count.ts';
import {createRecentUsage} from '../../recent-usage.ts';

const WINDOW_MILLISECONDS = 5000;
const FIRST = {};
const SECOND = {};

function setUp() {
	let time = 0;
	const uses = createRecentUsage(() => time, WINDOW_MILLISECONDS);
	return {
		uses,
		admit(at: number, organisation: string, by: object) {
			time = at;
			uses.record({service: 'archive', organisation, admittedBy: by});
		},
		tell(at: number, dispatcher: object) {
			time = at;
			return uses.collectUnreported(dispatcher);
		},
	};
}

test('a dispatcher is told what others admitted in the last window', t => {
	// Guards against a dispatcher that takes over and admits a burst that its predecessor has admitted before.
	const {admit, tell} = setUp();
	admit(1000, 'parish', FIRST);
	admit(6000, 'parish', FIRST);
	admit(6010, 'parish', FIRST);
	admit(6020, 'museum', FIRST);
	admit(6500, 'parish', SECOND);
	t.deepEqual(tell(7000, SECOND), [['archive', 'parish', 2, 990], ['archive', 'museum', 1, 980]]);
	t.deepEqual(tell(7000, FIRST), [['archive', 'parish', 1, 500]]);
});

const TOLD_BEFORE = [
	{
		name: 'one that was told a window ago', earlier: 6000, at: 11_100, isTold: true,
	},
	{
		name: 'one that was told within the window', earlier: 6000, at: 10_000, isTold: false,
	},
	{
		name: 'one that a host turns to in its first window', earlier: 1000, at: 4000, isTold: false,
	},
] as const;

for (const {name, earlier, at, isTold} of TOLD_BEFORE) {
	test(`a dispatcher is told ${isTold ? 'all' : 'nothing'}: ${name}`, t => {
		const {admit, tell} = setUp();
		tell(earlier, SECOND);
		admit(at - 100, 'parish', FIRST);
		t.is(tell(at, SECOND) !== undefined, isTold);
	});
}

test('the largest number of entry hosts that was told lately counts', t => {
	// Guards against a control host that has just started, knows three of a hundred entry hosts, and gives out a third for each.
	let time = 0;
	let known = 3;
	const count = createHostCount(() => time, () => known);
	t.is(count.get(), 3);
	count.record(116);
	t.is(count.get(), 116);
	time = 6001;
	t.is(count.get(), 3);
	known = 20;
	t.is(count.get(), 20);
});
