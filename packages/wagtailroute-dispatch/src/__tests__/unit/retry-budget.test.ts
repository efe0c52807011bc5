/**
Tests of the retry budget: what a bucket is filled with, and that all dispatchers together stay within the budget over histories of restarts, replacements and divisions.
*/
import test from 'ava';
import * as fc from 'fast-check';
import type * as dispatch from '../../index.ts';
import {createCandidate, createDispatcher, createSlotRequest} from './fixture.ts';
import {
	BUDGET,
	createFirstUseSteps,
	createSteps,
	createTestDispatcher,
	getHistoryExcess,
	NO_STEP,
	play,
	PRESENT,
	repeat,
	type Step,
	useSlot,
	type Version,
} from './retry-budget-histories.ts';

/**
Sends requests, and returns how many resends are granted right after them.
*/
const countGranted = (dispatcher: dispatch.Dispatcher, requests: number, now: number) => {
	for (let request = 0; request < requests; request++) {
		useSlot(dispatcher, createSlotRequest(`r${now}-${request}`), now);
	}

	return Array.from({length: 100}, (_, index) => useSlot(dispatcher, createSlotRequest(`s${now}-${index}`, {isResend: true}), now)).filter(Boolean).length;
};

type BucketCase = {
	readonly name: string;
	readonly share?: number;
	readonly steps: ReadonlyArray<readonly [requests: number, now: number]>;
	/**
	Resends that are granted at each step.
	*/
	readonly granted: readonly number[];
};

const BUCKET_CASES: readonly BucketCase[] = [
	{name: 'a dispatcher that has just started grants no resends', steps: [[0, 0]], granted: [0]},
	{name: 'a resend is granted for every five requests', steps: [[15, 0]], granted: [3]},
	{name: 'no more is saved up than a part of the fixed number', steps: [[1000, 0]], granted: [12]},
	{
		name: 'a dispatcher that half of the hosts ask saves up half as much', share: 0.5, steps: [[1000, 0]], granted: [6],
	},
	{name: 'a service with few requests is granted a resend after some time', steps: [[0, 0], [0, 1000], [0, 2000], [1, 3000]], granted: [0, 0, 0, 1]},
];

for (const {name, share = 1, steps, granted} of BUCKET_CASES) {
	test(name, t => {
		const dispatcher = createTestDispatcher(() => share);
		t.deepEqual(steps.map(([requests, now]) => countGranted(dispatcher, requests, now)), granted);
	});
}

test('a dispatcher that was not asked for a while keeps one resend of what it had saved up', t => {
	// Guards against the saved resends of a dispatcher that others have replaced and that is asked again.
	const dispatcher = createTestDispatcher();
	for (let request = 0; request < 1000; request++) {
		useSlot(dispatcher, createSlotRequest(String(request)), 0);
	}

	t.is(countGranted(dispatcher, 0, 1500), 1);
});

const UNSENT = [
	{
		name: 'a resend whose slot is not used',
		run(dispatcher: dispatch.Dispatcher) {
			dispatcher.end('resend', {ending: 'unused', milliseconds: 0}, 2);
		},
		slots: 1,
	},
	{
		name: 'a resend that is cancelled in the queue',
		run(dispatcher: dispatch.Dispatcher) {
			dispatcher.cancel('resend', 2);
		},
		slots: 0,
	},
] as const;

for (const {name, run, slots} of UNSENT) {
	test(`${name} does not use the budget`, t => {
		const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {slots: 1})], {budget: {...BUDGET, ratio: 0.5, extra: 0}});
		dispatcher.requestSlot(createSlotRequest('1'), 0);
		dispatcher.requestSlot(createSlotRequest(slots === 0 ? '2' : 'queued', {excluded: slots === 0 ? [] : ['a', 'b']}), 0);
		dispatcher.requestSlot(createSlotRequest('resend', {isResend: true}), 1);
		run(dispatcher);
		dispatcher.end('1', {ending: 'success', milliseconds: 1}, 3);
		t.truthy(dispatcher.requestSlot(createSlotRequest('again', {isResend: true}), 4).find(({kind}) => kind === 'grant'));
	});
}

const HISTORIES: ReadonlyArray<{readonly name: string; readonly changes: ReadonlyArray<Step['change']>}> = [
	{name: 'restarts', changes: ['none', 'restart', 'restart']},
	{name: 'replacements and freezes', changes: ['none', 'replace', 'freeze']},
	{name: 'several dispatchers at once', changes: ['none', 'divide', 'replace']},
	{name: 'all of these', changes: ['none', 'restart', 'replace', 'divide', 'freeze']},
];

for (const {name, changes} of HISTORIES) {
	test(`over any history of ${name} resends stay within the budget of every window`, t => {
		// Guards against a budget that dispatchers grant again after a restart, a replacement, a freeze, or while several are asked.
		let granted = 0;
		fc.assert(fc.property(createSteps(changes), steps => {
			const played = play(steps);
			granted += played.resends.length;
			return getHistoryExcess(played) <= 0;
		}), {numRuns: 300, seed: 20_261_203});
		t.true(granted > 0);
	});
}

const FIRST_USE_HISTORIES: typeof HISTORIES = [
	{name: 'dispatchers are lost', changes: ['none', 'restart', 'restart', 'replace']},
	{name: 'dispatchers stand still', changes: ['none', 'stall', 'replace', 'resume']},
	{name: 'dispatchers are cut off from each other', changes: ['none', 'divide', 'divide', 'understate', 'replace']},
	{name: 'entry hosts start again or are paused', changes: ['none', 'restart', 'restart-hosts', 'pause-hosts', 'replace']},
	{name: 'all of these happen', changes: ['none', 'restart', 'replace', 'divide', 'freeze', 'stall', 'resume', 'understate', 'restart-hosts', 'pause-hosts']},
];

for (const {name, changes} of FIRST_USE_HISTORIES) {
	test(`at the first use of a service resends stay within the budget of every window while ${name}`, t => {
		// Guards against credit that is brought twice, or by hosts for which an earlier dispatcher granted resends.
		let credited = 0;
		fc.assert(fc.property(createFirstUseSteps(changes), steps => {
			const played = play(steps);
			credited += played.credits;
			return getHistoryExcess(played) <= 0;
		}), {numRuns: 300, seed: 20_261_204});
		t.true(credited > 0);
	});
}

test('the histories show a version in which every request brings credit', t => {
	// Guards against histories in which credit is never used twice.
	const {failed} = fc.check(fc.property(createFirstUseSteps(['restart']), steps =>
		getHistoryExcess(play(steps, {...PRESENT, claims: () => true})) <= 0), {numRuns: 300, seed: 20_261_204, endOnFailure: true});
	t.true(failed);
});

/**
Versions that credit too much, and a history in which each grants more than the budget.
*/
const WRONG_VERSIONS: ReadonlyArray<{readonly name: string; readonly version: Partial<Version>; readonly steps: ReadonlyArray<Partial<Step>>}> = [
	{
		name: 'every request brings credit',
		version: {claims: () => true},
		steps: [{resends: 80}, ...repeat(16, {change: 'restart', milliseconds: 200, resends: 80})],
	},
	{
		name: 'a host brings credit to each dispatcher',
		version: {claims: entry => entry.hasRun},
		steps: [{resends: 80}, ...repeat(16, {change: 'restart', milliseconds: 200, resends: 80})],
	},
	{
		name: 'a host that has just started brings credit',
		version: {claims: entry => !entry.hasUsed},
		steps: [{resends: 80}, ...repeat(16, [{change: 'restart-hosts', milliseconds: 200}, {change: 'restart', milliseconds: 200, resends: 80}])],
	},
	{
		name: 'a request that is sent again brings credit',
		version: {isCreditedAgain: true, creditPart: 0.6},
		steps: [{change: 'stall', resends: 80, dispatcher: 0}, {resends: 80}, {change: 'resume', resends: 80, dispatcher: 0}],
	},
	{
		name: 'hosts bring credit for the whole bucket, also after they started again while a dispatcher stood still',
		version: {creditPart: 0.6},
		steps: [
			{requests: 200},
			{change: 'stall', milliseconds: 1, dispatcher: 0},
			{change: 'restart-hosts', milliseconds: 1},
			...repeat(8, {milliseconds: 3000}),
			{change: 'replace', resends: 80},
			{change: 'resume', resends: 80, dispatcher: 0},
			...repeat(9, {milliseconds: 1000, resends: 16}).map(step => ({...step, dispatcher: 0})),
		],
	},
];

for (const {name, version, steps} of WRONG_VERSIONS) {
	test(`a history shows more resends than the budget if ${name}`, t => {
		// Guards against histories that would not notice too much credit.
		const history = steps.map(step => ({...NO_STEP, ...step}));
		t.true(getHistoryExcess(play(history, {...PRESENT, ...version})) > 0);
		t.true(getHistoryExcess(play(history)) <= 0);
	});
}
