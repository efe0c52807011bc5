/**
Tests of upstreams that ask an entry host to back off, or that are draining: which requests are granted or queued, and what other dispatchers receive.
*/
import test from 'ava';
import * as fc from 'fast-check';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {
	createSlotRequest,
	createCandidate,
	createDispatcher,
	SERVICE,
} from './fixture.ts';

const BACKOFF: core.Advertisement = {kind: 'backoff', milliseconds: 2000};
const DRAINING: core.Advertisement = {kind: 'draining'};

const listGranted = (effects: readonly dispatch.Effect[]) => effects.filter(effect => effect.kind === 'grant').map(({upstream}) => upstream);
const listRefused = (effects: readonly dispatch.Effect[]) => effects.filter(effect => effect.kind === 'refuse').map(({request, reason}) => [request.id, reason]);

/**
Grants a request of an entry host that the upstream sheds with an answer that advertises something.
*/
function advertise(dispatcher: dispatch.Dispatcher, host: core.HostId, advertisement: core.Advertisement, now: number): readonly dispatch.Effect[] {
	const id = `${host}-told`;
	const granted = dispatcher.requestSlot(createSlotRequest(id, {host}), now);
	const recorded = dispatcher.recordAdvertisements(id, [advertisement], now);
	return [...granted, ...recorded, ...dispatcher.end(id, {ending: 'shed', milliseconds: 1}, now)];
}

type Case = {
	readonly name: string;
	readonly advertisement: core.Advertisement;
	readonly host: core.HostId;
	readonly now: number;
	readonly isGranted: boolean;
};

const CASES: readonly Case[] = [
	{
		name: 'a backoff closes the upstream to its entry host', advertisement: BACKOFF, host: 'a', now: 1500, isGranted: false,
	},
	{
		name: 'a backoff ends', advertisement: BACKOFF, host: 'a', now: 2000, isGranted: true,
	},
	{
		name: 'a backoff leaves the upstream open to other entry hosts', advertisement: BACKOFF, host: 'b', now: 1000, isGranted: true,
	},
	{
		name: 'a draining upstream is closed to the entry host that received the answer', advertisement: DRAINING, host: 'a', now: 60_000, isGranted: false,
	},
	{
		name: 'a draining upstream is closed to other entry hosts', advertisement: DRAINING, host: 'b', now: 1000, isGranted: false,
	},
];

for (const {name, advertisement, host, now, isGranted} of CASES) {
	for (const isReported of [false, true]) {
		test(`${name}${isReported ? ', reported to another dispatcher' : ''}`, t => {
			const first = createDispatcher([createCandidate('u')]);
			advertise(first, 'a', advertisement, 0);
			const second = createDispatcher([createCandidate('u')]);
			second.applyUpdates(SERVICE, first.listUpdates(0).get(SERVICE) ?? [], 0);
			const receiver = isReported ? second : first;
			const effects = receiver.requestSlot(createSlotRequest('next', {host, remainingMilliseconds: 1000, objectiveMilliseconds: 100}), now);
			t.deepEqual(listGranted(effects), isGranted ? ['u'] : []);
			t.is(listRefused(effects).length, isGranted ? 0 : 1, 'a request that is not granted is refused at once');
		});
	}
}

test('a draining upstream stays closed when its heartbeats continue', t => {
	const dispatcher = createDispatcher([createCandidate('u')]);
	advertise(dispatcher, 'a', DRAINING, 0);
	dispatcher.setCandidates(SERVICE, [createCandidate('u', {slots: 4})], 1000);
	t.deepEqual(listGranted(dispatcher.requestSlot(createSlotRequest('next'), 1000)), []);
	t.true(dispatcher.report(SERVICE, 1000)[0]?.isDraining);
});

test('a success of a request that was sent earlier does not end a backoff', t => {
	const dispatcher = createDispatcher([createCandidate('u')]);
	dispatcher.requestSlot(createSlotRequest('early', {host: 'a'}), 0);
	advertise(dispatcher, 'a', BACKOFF, 10);
	dispatcher.end('early', {ending: 'success', milliseconds: 100}, 110);
	t.deepEqual(listGranted(dispatcher.requestSlot(createSlotRequest('next', {host: 'a'}), 1000)), []);
});

test('a second answer never shortens a backoff', t => {
	const dispatcher = createDispatcher([createCandidate('u')]);
	dispatcher.requestSlot(createSlotRequest('other', {host: 'a'}), 0);
	advertise(dispatcher, 'a', BACKOFF, 0);
	dispatcher.recordAdvertisements('other', [{kind: 'backoff', milliseconds: 500}], 100);
	t.deepEqual(listGranted(dispatcher.requestSlot(createSlotRequest('next', {host: 'a'}), 1900)), []);
});

test('peers receive once that an upstream is draining, and receive no backoffs', t => {
	const dispatcher = createDispatcher([createCandidate('u'), createCandidate('v')]);
	advertise(dispatcher, 'a', BACKOFF, 0);
	advertise(dispatcher, 'b', DRAINING, 0);
	const [draining, ...others] = dispatcher.flushUpdates(0).get(SERVICE) ?? [];
	t.is(draining?.kind, 'draining');
	t.deepEqual(others, []);
	t.is(dispatcher.flushUpdates(0).size, 0);
});

const WAITS = [
	{name: 'is refused once all upstreams are draining', advertisement: DRAINING, isRefused: true},
	{name: 'is refused once its entry host backs off from all upstreams', advertisement: BACKOFF, isRefused: true},
	{name: 'waits for a backoff that ends within its objective', advertisement: {kind: 'backoff', milliseconds: 300}, isRefused: false},
] as const;

for (const {name, advertisement, isRefused} of WAITS) {
	test(`a queued request ${name}`, t => {
		// Guards against callers that wait until their deadline for upstreams that accept no more requests.
		const dispatcher = createDispatcher([createCandidate('u', {slots: 1})]);
		dispatcher.requestSlot(createSlotRequest('held', {host: 'a'}), 0);
		t.deepEqual(dispatcher.requestSlot(createSlotRequest('waiting', {host: 'a'}), 1), []);
		const effects = dispatcher.recordAdvertisements('held', [advertisement], 2);
		t.deepEqual(listRefused(effects), isRefused ? [['waiting', 'no-upstream']] : []);
		dispatcher.end('held', {ending: 'shed', milliseconds: 1}, 2);
		t.deepEqual(listGranted(dispatcher.tick(310)), isRefused ? [] : ['u']);
	});
}

const STEP_MILLISECONDS = 20;
const STEPS = 400;
const HOSTS = ['a', 'b', 'c'];
const UPSTREAMS = ['u', 'v', 'w'];

const history = fc.record({
	/**
	Fraction of the answers that advertise something, and the fraction of these that announce draining.
	*/
	part: fc.double({min: 0.05, max: 1, noNaN: true}),
	drainingPart: fc.double({min: 0, max: 0.2, noNaN: true}),
	backoffMilliseconds: fc.integer({min: 50, max: 3000}),
	requests: fc.integer({min: 1, max: 4}),
	seed: fc.integer({min: 1, max: 1_000_000}),
});

type History = typeof history extends fc.Arbitrary<infer Value> ? Value : never;

/**
Simulates requests of all kinds from several entry hosts. Returns the grants at upstreams that had told the entry host to send nothing.
*/
function simulateHistory({
	part, drainingPart, backoffMilliseconds, requests, seed,
}: History): readonly string[] {
	const random = utils.createRandom(seed);
	const dispatcher = createDispatcher(UPSTREAMS.map(upstream => createCandidate(upstream, {slots: 3})), {random});
	const closedUntil = new Map<string, number>();
	const ends: Array<{readonly at: number; readonly id: string; readonly host: string; readonly upstream: string}> = [];
	const violations: string[] = [];

	const grant = (effects: readonly dispatch.Effect[], now: number) => {
		for (const effect of effects) {
			if (effect.kind !== 'grant') {
				continue;
			}

			const {request: {id, host}, upstream} = effect;
			violations.push(...(closedUntil.get(`${host} ${upstream}`) ?? 0) > now ? [`${id} at ${upstream}`] : []);
			ends.push({
				at: now + 10 + (random() * 200), id, host, upstream,
			});
		}
	};

	const answer = ({id, host, upstream}: (typeof ends)[number], now: number) => {
		const isAdvertising = random() < part;
		const isDraining = isAdvertising && random() < drainingPart;
		if (isDraining) {
			closedUntil.set(`${host} ${upstream}`, Infinity);
			grant(dispatcher.recordAdvertisements(id, [DRAINING], now), now);
		} else if (isAdvertising) {
			const until = Math.max(closedUntil.get(`${host} ${upstream}`) ?? 0, now + backoffMilliseconds);
			closedUntil.set(`${host} ${upstream}`, until);
			grant(dispatcher.recordAdvertisements(id, [{kind: 'backoff', milliseconds: backoffMilliseconds}], now), now);
		}

		grant(dispatcher.end(id, {ending: isAdvertising && !isDraining ? 'shed' : 'success', milliseconds: 50}, now), now);
	};

	for (let step = 0; step < STEPS; step++) {
		const now = step * STEP_MILLISECONDS;
		const due = ends.filter(({at}) => at <= now);
		ends.splice(0, ends.length, ...ends.filter(({at}) => at > now));
		for (const ended of due) {
			answer(ended, now);
		}

		for (let request = 0; request < requests; request++) {
			const requestClass = random() < 0.5 ? 'read' : 'non-idempotent';
			const isMove = requestClass === 'read' && random() < 0.1;
			const host = HOSTS[utils.pickIndex(random, HOSTS.length)]!;
			const slotRequest = createSlotRequest(`${step}-${request}`, {
				host, requestClass, isResend: isMove || random() < 0.2, isMove,
			});
			grant(dispatcher.requestSlot(slotRequest, now), now);
		}

		grant(dispatcher.tick(now), now);
	}

	return violations;
}

test('over any history no entry host is granted a slot of an upstream that told it to send nothing', t => {
	// Guards against resends, moves, trials, fallbacks and queued requests that bypass what an upstream advertised.
	t.notThrows(() => {
		fc.assert(fc.property(history, generated => simulateHistory(generated).length === 0), {numRuns: 200});
	});
});
