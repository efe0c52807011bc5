/**
Tests of the recent usage that an entry host reports, and of the number of entry hosts.
*/
import test from 'ava';
import {createEntryHostCount} from '../../host-count.ts';
import {createRecentUsage} from '../../recent-usage.ts';

const WINDOW_MILLISECONDS = 5000;
const FIRST = {};
const SECOND = {};

function setUp() {
	let time = 0;
	const recentUsage = createRecentUsage(() => time, WINDOW_MILLISECONDS);
	return {
		recentUsage,
		admit(at: number, organisation: string, by: object) {
			time = at;
			recentUsage.record({service: 'archive', organisation, admittedBy: by});
		},
		collectUnreported(at: number, dispatcher: object) {
			time = at;
			return recentUsage.collectUnreported(dispatcher);
		},
	};
}

test('the report contains what other dispatchers admitted in the last window', t => {
	// Guards against a dispatcher that takes over and admits the burst that its predecessor has already admitted.
	const {admit, collectUnreported} = setUp();
	admit(1000, 'parish', FIRST);
	admit(6000, 'parish', FIRST);
	admit(6010, 'parish', FIRST);
	admit(6020, 'museum', FIRST);
	admit(6500, 'parish', SECOND);
	t.deepEqual(collectUnreported(7000, SECOND), [['archive', 'parish', 2, 990], ['archive', 'museum', 1, 980]]);
	t.deepEqual(collectUnreported(7000, FIRST), [['archive', 'parish', 1, 500]]);
});

const REPORT_CASES = [
	{
		name: 'one that was reported to a window ago', earlier: 6000, at: 11_100, isReported: true,
	},
	{
		name: 'one that was reported to within the window', earlier: 6000, at: 10_000, isReported: false,
	},
	{
		name: 'one that a host turns to in its first window', earlier: 1000, at: 4000, isReported: false,
	},
] as const;

for (const {name, earlier, at, isReported} of REPORT_CASES) {
	test(`a dispatcher gets ${isReported ? 'a report' : 'no report'}: ${name}`, t => {
		const {admit, collectUnreported} = setUp();
		collectUnreported(earlier, SECOND);
		admit(at - 100, 'parish', FIRST);
		t.is(collectUnreported(at, SECOND) !== undefined, isReported);
	});
}

const BURST_CASES = [
	{
		name: 'the dispatcher that the host turned to last, once', turns: [{at: 6000, to: SECOND}], answers: [SECOND], lent: [true, false],
	},
	{
		name: 'no dispatcher that has not answered', turns: [{at: 6000, to: SECOND}], answers: [], lent: [false, false],
	},
	{
		name: 'no dispatcher that the host has left', turns: [{at: 6000, to: SECOND}, {at: 6100, to: FIRST}], answers: [SECOND], lent: [false, false],
	},
] as const;

for (const {name, turns, answers, lent} of BURST_CASES) {
	test(`the bursts are lent to ${name}`, t => {
		// Guards against a burst that several dispatchers admit for one host, and against one that is left with a dispatcher that has failed.
		const {recentUsage, collectUnreported} = setUp();
		for (const {at, to} of turns) {
			collectUnreported(at, to);
		}

		for (const dispatcher of answers) {
			recentUsage.recordAnswer(dispatcher);
		}

		t.deepEqual([recentUsage.lendBurst(SECOND), recentUsage.lendBurst(SECOND)], lent);
	});
}

test('the bursts are lent again after a window', t => {
	const {recentUsage, collectUnreported} = setUp();
	const lendBurst = (at: number, dispatcher: object) => {
		collectUnreported(at, dispatcher);
		recentUsage.recordAnswer(dispatcher);
		return recentUsage.lendBurst(dispatcher);
	};

	t.deepEqual([lendBurst(6000, FIRST), lendBurst(10_900, SECOND), lendBurst(11_100, {})], [true, false, true]);
});

test('the largest number of entry hosts that was reported recently is used', t => {
	// Guards against a control host that has just started, knows three of a hundred entry hosts, and admits a third for each.
	let time = 0;
	let known = 3;
	const count = createEntryHostCount(() => time, () => known);
	t.is(count.get(), 3);
	count.record(116);
	t.is(count.get(), 116);
	time = 6001;
	t.is(count.get(), 3);
	known = 20;
	t.is(count.get(), 20);
});
