/**
Tests of which entry hosts a control host treats as absent, and for how long.
*/
import test from 'ava';
import {type EntryHostStatus, startAbsenceTracker} from '../../absences.ts';

const WINDOW_MILLISECONDS = 5000;
const SHARE = 0.1;
const RAN_BEFORE_MILLISECONDS = 60_000;
const RESTARTED_MILLISECONDS = 300;

/**
Milliseconds without a message after which a link is closed.
*/
const LINK_SILENCE_MILLISECONDS = 6500;

/**
Interval of the periodic check.
*/
const CHECK_MILLISECONDS = 250;

type Step = {
	readonly at: number;
	/**
	Milliseconds since the last message; absent: the link is closed.
	*/
	readonly silence?: number;
	readonly isReady?: boolean;
	/**
	The control host was suspended until then.
	*/
	readonly isPaused?: boolean;
	readonly action?: 'ask' | 'close' | 'close-other' | 'tell' | 'reconnect' | 'restart';
	/**
	When the last message of the host arrived; absent: the host does not count as absent.
	*/
	readonly since?: number;
};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
};

const CASES: readonly Case[] = [
	{
		name: 'no, it requests slots and is connected',
		steps: [{at: 0, silence: 0, action: 'ask'}, {at: 900, silence: 900}],
	},
	{
		name: 'yes, it requested slots and is silent for a second',
		steps: [{at: 0, silence: 0, action: 'ask'}, {at: 1100, silence: 1100, since: 0}, {at: 1200, silence: 1200, since: 0}],
	},
	{
		name: 'not within the long ping interval if it requests no slots',
		steps: [{at: 0, silence: 0}, {at: 4000, silence: 4000}, {at: 4600, silence: 4600, since: 0}],
	},
	{
		name: 'no longer when it stops',
		steps: [{at: 0, silence: 0, action: 'ask'}, {at: 2000, silence: 2000, since: 0}, {at: 2100, silence: 0, isReady: false}],
	},
	{
		name: 'no, its process ends without a preceding silence',
		steps: [{at: 0, silence: 0, action: 'ask'}, {at: 500, silence: 300, action: 'close'}, {at: 2000}],
	},
	{
		name: 'no, it opened another link before the silent one was closed',
		steps: [{at: 0, silence: 0, action: 'ask'}, {at: 900, silence: 0, action: 'close-other'}, {at: 1000, silence: 0}],
	},
	{
		name: 'yes, its silent link is closed, until the absence expires',
		steps: [{at: 0, silence: 0, action: 'ask'}, {
			at: 6500, silence: 6500, action: 'close', since: 0,
		}, {at: 30_000, since: 0}, {at: 60_100}],
	},
	{
		name: 'yes, until it is connected again and reports its usage',
		steps: [
			{at: 0, silence: 0, action: 'ask'},
			{at: 3000, silence: 3000, since: 0},
			{at: 3100, silence: 0, since: 0},
			{
				at: 3200, silence: 0, action: 'ask', since: 0,
			},
			{at: 3300, silence: 0, action: 'tell'},
			{at: 3400, silence: 0},
		],
	},
	{
		name: 'no, its messages are not read while this host is suspended',
		steps: [
			{at: 0, silence: 0, action: 'ask'},
			{at: 3000, silence: 3000, isPaused: true},
			{at: 3900, silence: 3900},
			{at: 4100, silence: 4100, since: 0},
		],
	},
	{
		name: 'yes, it opens its link again after a network partition',
		steps: [
			{at: 0, silence: 0, action: 'ask'},
			{
				at: 6500, silence: 6500, action: 'close', since: 0,
			},
			{
				at: 8000, silence: 0, action: 'reconnect', since: 0,
			},
		],
	},
	{
		name: 'no longer when its process restarts',
		steps: [
			{at: 0, silence: 0, action: 'ask'},
			{
				at: 6500, silence: 6500, action: 'close', since: 0,
			},
			{at: 8000, silence: 0, action: 'restart'},
			{at: 8100, silence: 0},
		],
	},
	{
		name: 'yes, for a window after it is connected again without a report',
		steps: [
			{at: 0, silence: 0, action: 'ask'},
			{at: 3000, silence: 3000, since: 0},
			{at: 3100, silence: 0, since: 0},
			{at: 8000, silence: 0, since: 0},
			{at: 8200, silence: 0},
		],
	},
];

for (const {name, steps} of CASES) {
	test(`whether an entry host counts as absent: ${name}`, t => {
		// Guards against control hosts that admit the share of an entry host that also admits it itself, and against shares that no dispatcher admits for long.
		let time = 0;
		let hosts: readonly EntryHostStatus[] = [];
		let runCheck = () => undefined as void;
		const repeat = (_milliseconds: number, run: () => void) => {
			runCheck = run;
			return () => undefined;
		};

		const absences = startAbsenceTracker({now: () => time, repeat}, {
			listHosts: () => hosts, getHostShare: () => SHARE, windowMilliseconds: WINDOW_MILLISECONDS,
		});
		for (const {
			at, silence, isReady = true, action, since, isPaused = false,
		} of steps) {
			const lastCheck = isPaused ? time : at - CHECK_MILLISECONDS;
			while (time < lastCheck) {
				time += CHECK_MILLISECONDS;
				runCheck();
			}

			time = at;
			const host: EntryHostStatus = {id: 'entry', isReady, silenceMilliseconds: silence ?? 0};
			hosts = silence === undefined || action === 'close' ? [] : [host];
			const actions = {
				ask: absences.recordSlotRequest.bind(undefined, host.id),
				close: absences.recordLinkClosed.bind(undefined, host),
				'close-other': absences.recordLinkClosed.bind(undefined, {...host, silenceMilliseconds: LINK_SILENCE_MILLISECONDS}),
				tell: absences.endAbsence.bind(undefined, host.id),
				reconnect: absences.recordHello.bind(undefined, host.id, at + RAN_BEFORE_MILLISECONDS),
				restart: absences.recordHello.bind(undefined, host.id, RESTARTED_MILLISECONDS),
			};
			if (action !== undefined) {
				actions[action]();
			}

			t.deepEqual(absences.list(), since === undefined ? [] : [{since, share: SHARE}], `at ${at}`);
			t.is(absences.findAbsentSince('entry'), since, `at ${at}`);
		}
	});
}

test('hosts whose last messages arrived at about the same time are grouped, as of the start of the slice', t => {
	let time = 0;
	let silences: readonly number[] = [0, 0, 0];
	const absences = startAbsenceTracker({now: () => time, repeat: () => () => undefined}, {
		listHosts: () => silences.map((silence, index): EntryHostStatus => ({id: `entry-${index}`, isReady: true, silenceMilliseconds: silence})),
		getHostShare: () => SHARE,
		windowMilliseconds: WINDOW_MILLISECONDS,
	});
	while (time < 2000) {
		time += CHECK_MILLISECONDS;
		absences.list();
	}

	for (let host = 0; host < silences.length; host++) {
		absences.recordSlotRequest(`entry-${host}`);
	}

	time = 2100;
	silences = [2090, 1900, 1200];
	t.deepEqual(absences.list(), [{since: 0, share: 2 * SHARE}, {since: 750, share: SHARE}]);
});
