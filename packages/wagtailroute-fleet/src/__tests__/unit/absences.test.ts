/**
Tests of which entry hosts a control host counts as absent, and for how long.
*/
import test from 'ava';
import {type LinkedHost, startAbsenceTracker} from '../../absences.ts';

const WINDOW_MILLISECONDS = 5000;
const SHARE = 0.1;
const RAN_BEFORE_MILLISECONDS = 60_000;
const RESTARTED_MILLISECONDS = 300;

/**
Silence for which a link is closed.
*/
const LINK_SILENCE_MILLISECONDS = 6500;

/**
How often a control host looks.
*/
const LOOK_MILLISECONDS = 250;

type Step = {
	readonly at: number;
	/**
	Absent: its link is closed.
	*/
	readonly silence?: number;
	readonly isReady?: boolean;
	/**
	The control host stood still until then.
	*/
	readonly isPaused?: boolean;
	readonly does?: 'ask' | 'close' | 'close-other' | 'tell' | 'reconnect' | 'restart';
	/**
	When the host was last heard; absent: it does not count as absent.
	*/
	readonly since?: number;
};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
};

const CASES: readonly Case[] = [
	{
		name: 'one that asks and is heard',
		steps: [{at: 0, silence: 0, does: 'ask'}, {at: 900, silence: 900}],
	},
	{
		name: 'one that asked and is silent for a second',
		steps: [{at: 0, silence: 0, does: 'ask'}, {at: 1100, silence: 1100, since: 0}, {at: 1200, silence: 1200, since: 0}],
	},
	{
		name: 'one that does not ask, within its long pings',
		steps: [{at: 0, silence: 0}, {at: 4000, silence: 4000}, {at: 4600, silence: 4600, since: 0}],
	},
	{
		name: 'one that stops',
		steps: [{at: 0, silence: 0, does: 'ask'}, {at: 2000, silence: 2000, since: 0}, {at: 2100, silence: 0, isReady: false}],
	},
	{
		name: 'one whose process ends while it is heard',
		steps: [{at: 0, silence: 0, does: 'ask'}, {at: 500, silence: 300, does: 'close'}, {at: 2000}],
	},
	{
		name: 'one that has opened another link before the silent one is closed',
		steps: [{at: 0, silence: 0, does: 'ask'}, {at: 900, silence: 0, does: 'close-other'}, {at: 1000, silence: 0}],
	},
	{
		name: 'one whose link is closed for its silence, until it is forgotten',
		steps: [{at: 0, silence: 0, does: 'ask'}, {
			at: 6500, silence: 6500, does: 'close', since: 0,
		}, {at: 30_000, since: 0}, {at: 60_100}],
	},
	{
		name: 'one that is heard again, until it tells what it used',
		steps: [
			{at: 0, silence: 0, does: 'ask'},
			{at: 3000, silence: 3000, since: 0},
			{at: 3100, silence: 0, since: 0},
			{
				at: 3200, silence: 0, does: 'ask', since: 0,
			},
			{at: 3300, silence: 0, does: 'tell'},
			{at: 3400, silence: 0},
		],
	},
	{
		name: 'one that is not heard while this host stands still',
		steps: [
			{at: 0, silence: 0, does: 'ask'},
			{at: 3000, silence: 3000, isPaused: true},
			{at: 3900, silence: 3900},
			{at: 4100, silence: 4100, since: 0},
		],
	},
	{
		name: 'one that opens its link again after a cut',
		steps: [
			{at: 0, silence: 0, does: 'ask'},
			{
				at: 6500, silence: 6500, does: 'close', since: 0,
			},
			{
				at: 8000, silence: 0, does: 'reconnect', since: 0,
			},
		],
	},
	{
		name: 'one whose process has started again',
		steps: [
			{at: 0, silence: 0, does: 'ask'},
			{
				at: 6500, silence: 6500, does: 'close', since: 0,
			},
			{at: 8000, silence: 0, does: 'restart'},
			{at: 8100, silence: 0},
		],
	},
	{
		name: 'one that is heard again and tells nothing, for a window',
		steps: [
			{at: 0, silence: 0, does: 'ask'},
			{at: 3000, silence: 3000, since: 0},
			{at: 3100, silence: 0, since: 0},
			{at: 8000, silence: 0, since: 0},
			{at: 8200, silence: 0},
		],
	},
];

for (const {name, steps} of CASES) {
	test(`an entry host counts as absent: ${name}`, t => {
		// Guards against control hosts that give out the share of an entry host beside itself, and against shares that nobody gives out for long.
		let time = 0;
		let hosts: readonly LinkedHost[] = [];
		let look = () => undefined as void;
		const repeat = (_milliseconds: number, run: () => void) => {
			look = run;
			return () => undefined;
		};

		const absences = startAbsenceTracker({now: () => time, repeat}, {
			listHosts: () => hosts, getHostShare: () => SHARE, windowMilliseconds: WINDOW_MILLISECONDS,
		});
		for (const {
			at, silence, isReady = true, does, since, isPaused = false,
		} of steps) {
			const lastLook = isPaused ? time : at - LOOK_MILLISECONDS;
			while (time < lastLook) {
				time += LOOK_MILLISECONDS;
				look();
			}

			time = at;
			const host: LinkedHost = {id: 'entry', isReady, silenceMilliseconds: silence ?? 0};
			hosts = silence === undefined || does === 'close' ? [] : [host];
			const actions = {
				ask: absences.recordSlotRequest.bind(undefined, host.id),
				close: absences.recordLinkClosed.bind(undefined, host),
				'close-other': absences.recordLinkClosed.bind(undefined, {...host, silenceMilliseconds: LINK_SILENCE_MILLISECONDS}),
				tell: absences.endAbsence.bind(undefined, host.id),
				reconnect: absences.recordHello.bind(undefined, host.id, at + RAN_BEFORE_MILLISECONDS),
				restart: absences.recordHello.bind(undefined, host.id, RESTARTED_MILLISECONDS),
			};
			if (does !== undefined) {
				actions[does]();
			}

			t.deepEqual(absences.list(), since === undefined ? [] : [{since, share: SHARE}], `at ${at}`);
			t.is(absences.findAbsentSince('entry'), since, `at ${at}`);
		}
	});
}

test('hosts that were last heard at about the same time are listed together, as of the earliest', t => {
	let time = 0;
	let silences: readonly number[] = [0, 0, 0];
	const absences = startAbsenceTracker({now: () => time, repeat: () => () => undefined}, {
		listHosts: () => silences.map((silence, index): LinkedHost => ({id: `entry-${index}`, isReady: true, silenceMilliseconds: silence})),
		getHostShare: () => SHARE,
		windowMilliseconds: WINDOW_MILLISECONDS,
	});
	while (time < 2000) {
		time += LOOK_MILLISECONDS;
		absences.list();
	}

	for (let host = 0; host < silences.length; host++) {
		absences.recordSlotRequest(`entry-${host}`);
	}

	time = 2100;
	silences = [2090, 1900, 1200];
	t.deepEqual(absences.list(), [{since: 0, share: 2 * SHARE}, {since: 750, share: SHARE}]);
});
