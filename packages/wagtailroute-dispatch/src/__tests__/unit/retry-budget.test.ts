/**
Tests of the retry budget: what a bucket is filled with, and that all dispatchers together stay within the budget over histories of restarts, replacements and divisions.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as dispatch from '../../index.ts';
import {createCandidate, createDispatcher, createSlotRequest} from './fixture.ts';

const BUDGET = {ratio: 0.2, extra: 20, windowMilliseconds: 10_000};
const ASKED_MILLISECONDS = 1000;

const createTestDispatcher = (getBudgetShare: (now: number) => number = () => 1, budget: dispatch.BudgetSettings = BUDGET) =>
	createDispatcher([createCandidate('a', {slots: 1e6})], {budget, getBudgetShare});

/**
Requests a slot and gives it back at once. Returns whether it was granted.
*/
const useSlot = (dispatcher: dispatch.Dispatcher, request: dispatch.SlotRequest, now: number) => {
	const isGranted = dispatcher.requestSlot(request, now).some(({kind}) => kind === 'grant');
	dispatcher.end(request.id, {ending: 'success', milliseconds: 1}, now);
	return isGranted;
};

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

const HOSTS = 8;
const DISPATCHERS = 4;

/**
Requests and resends of all hosts over some time, and what happens to dispatchers before it.
*/
type Step = {
	readonly milliseconds: number;
	readonly requests: number;
	readonly resends: number;
	readonly change: 'none' | 'restart' | 'replace' | 'divide' | 'freeze';
	readonly dispatcher: number;
};

const createSteps = (changes: ReadonlyArray<Step['change']>): fc.Arbitrary<readonly Step[]> => fc.array(fc.record({
	milliseconds: fc.constantFrom(20, 200, 700, 1100, 3000),
	requests: fc.constantFrom(0, 3, 40, 200),
	resends: fc.constantFrom(0, 5, 60, 200),
	change: fc.constantFrom(...changes),
	dispatcher: fc.nat(DISPATCHERS - 1),
}), {minLength: 4, maxLength: 16});

const HISTORIES: ReadonlyArray<{readonly name: string; readonly changes: ReadonlyArray<Step['change']>}> = [
	{name: 'restarts', changes: ['none', 'restart', 'restart']},
	{name: 'replacements and freezes', changes: ['none', 'replace', 'freeze']},
	{name: 'several dispatchers at once', changes: ['none', 'divide', 'replace']},
	{name: 'all of these', changes: ['none', 'restart', 'replace', 'divide', 'freeze']},
];

/**
A dispatcher and the hosts that asked it, by its own clock, which stands still while it is frozen.
*/
type Fleet = {
	readonly dispatcher: dispatch.Dispatcher;
	readonly askedAt: Map<number, number>;
	frozenMilliseconds: number;
};

function createFleetMember(): Fleet {
	const askedAt = new Map<number, number>();
	const getShare = (now: number) => askedAt.values().filter(at => now - at <= ASKED_MILLISECONDS).toArray().length / HOSTS;
	return {dispatcher: createTestDispatcher(getShare), askedAt, frozenMilliseconds: 0};
}

function play(steps: readonly Step[]): dispatch.AuditedTimes {
	const members = Array.from({length: DISPATCHERS}, createFleetMember);
	const asked: number[] = Array.from({length: HOSTS}, () => 0);
	const requests: number[] = [];
	const resends: number[] = [];
	let now = 0;
	let count = 0;

	const changes: Readonly<Record<Step['change'], (dispatcher: number, milliseconds: number) => void>> = {
		none: () => undefined,
		restart(dispatcher) {
			members[dispatcher] = createFleetMember();
			asked.fill(dispatcher);
		},
		replace(dispatcher) {
			asked.fill(dispatcher);
		},
		divide(dispatcher) {
			asked.fill(dispatcher, 0, HOSTS / 2);
		},
		freeze(dispatcher, milliseconds) {
			members[dispatcher]!.frozenMilliseconds += milliseconds;
			asked.fill((dispatcher + 1) % DISPATCHERS);
		},
	};

	const ask = (isResend: boolean) => {
		count++;
		const host = count % HOSTS;
		const {dispatcher, askedAt, frozenMilliseconds} = members[asked[host]!]!;
		const own = now - frozenMilliseconds;
		askedAt.set(host, own);
		const isGranted = useSlot(dispatcher, createSlotRequest(String(count), {host: String(host), isResend}), own);
		if (!isResend) {
			requests.push(now);
		} else if (isGranted) {
			resends.push(now);
		}
	};

	for (const {milliseconds, requests: requestCount, resends: resendCount, change, dispatcher} of steps) {
		changes[change](dispatcher, milliseconds);
		const total = requestCount + resendCount;
		for (let index = 0; index < total; index++) {
			now += milliseconds / total;
			ask(index * resendCount % total < resendCount);
		}

		now += total === 0 ? milliseconds : 0;
	}

	return {requests, resends};
}

for (const {name, changes} of HISTORIES) {
	test(`over any history of ${name} resends stay within the budget of every window`, t => {
		// Guards against a budget that dispatchers grant again after a restart, a replacement, a freeze, or while several are asked.
		let granted = 0;
		fc.assert(fc.property(createSteps(changes), steps => {
			const played = play(steps);
			granted += played.resends.length;
			return dispatch.getExcess(dispatch.findWorstWindow(played, BUDGET)) <= 0;
		}), {numRuns: 300, seed: 20_261_203});
		t.true(granted > 0);
	});
}
