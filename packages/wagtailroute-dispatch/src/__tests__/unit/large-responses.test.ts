/**
Tests of requests with large responses: they stay in the failure domain of their entry host where they can.

Guards against bytes that cross failure domains without need: 28 of 37 MB of large responses did, because the gain of a rested upstream outweighed the
cost of crossing, and no component knew how large the responses of a route are.
*/
import test from 'ava';
import * as fc from 'fast-check';
import type * as dispatch from '../../index.ts';
import {averageResponseBytes} from '../../index.ts';
import {
	createCandidate,
	createDispatcher,
	createSlotRequest,
	SERVICE,
} from './fixture.ts';

const LARGE_BYTES = 90_000;
const SMALL_BYTES = 8192;

/**
So long that a held slot is no sign of a failure within the wait for a slot.
*/
const USUAL_MILLISECONDS = 400;

/**
Time from which on the upstreams of the tests count as rested.
*/
const RESTED_AT = 5000;

type Measured = {readonly dispatcher: dispatch.Dispatcher; readonly read: (id: string, changes?: Partial<dispatch.SlotRequest>) => dispatch.SlotRequest};

/**
A dispatcher that has measured the responses of the route; its requests are reads from the failure domain `x`.
*/
function createMeasured(candidates: readonly dispatch.Candidate[], responseBytes: number): Measured {
	const dispatcher = createDispatcher(candidates);
	const read: Measured['read'] = (id, changes) => createSlotRequest(id, {requestClass: 'read', ...changes});
	for (let index = 0; index < 3; index++) {
		dispatcher.requestSlot(read(`before-${index}`), 0);
		dispatcher.end(`before-${index}`, {ending: 'success', milliseconds: USUAL_MILLISECONDS, responseBytes}, 0);
	}

	return {dispatcher, read};
}

type Grant = Extract<dispatch.Effect, {kind: 'grant'}>;

const getGrant = (effects: readonly dispatch.Effect[], id: string) => effects.find((effect): effect is Grant => effect.kind === 'grant' && effect.request.id === id);

const OWN = createCandidate('own');
const OTHER = createCandidate('other', {failureDomain: 'y'});

for (const {responseBytes, granted} of [
	{responseBytes: SMALL_BYTES, granted: 'other'},
	{responseBytes: LARGE_BYTES, granted: 'own'},
] as const) {
	test(`with responses of ${responseBytes} bytes, the rested upstream of another failure domain does${granted === 'own' ? ' not' : ''} go first`, t => {
		const {dispatcher, read} = createMeasured([OWN, OTHER], responseBytes);
		dispatcher.requestSlot(read('at-own', {excluded: ['other']}), RESTED_AT);
		const grant = getGrant(dispatcher.requestSlot(read('next'), RESTED_AT + 1), 'next');
		t.is(grant?.upstream, granted);
		t.is(grant?.isCrossing, granted === 'other');
		t.is(Math.round(grant?.expectedResponseBytes ?? 0), responseBytes);
	});
}

/**
Returns the milliseconds that a read waits for the slot of its own failure domain, which is held for long, before it crosses.
*/
function measureDomainWait(responseBytes: number, changes: Partial<dispatch.SlotRequest> = {}): number {
	const {dispatcher, read} = createMeasured([{...OWN, slots: 1}, OTHER], responseBytes);
	const startAt = 500;
	dispatcher.requestSlot(read('holds', {excluded: ['other']}), startAt);
	let effects = dispatcher.requestSlot(read('waits', changes), startAt);
	let wait = 0;
	while (getGrant(effects, 'waits') === undefined && wait < 1000) {
		wait += 5;
		effects = dispatcher.tick(startAt + wait);
	}

	return wait;
}

test('a request with a large response waits longer for a slot of its own failure domain, while its objective allows', t => {
	t.is(measureDomainWait(0), 20);
	t.is(measureDomainWait(SMALL_BYTES), 20);
	t.is(measureDomainWait(LARGE_BYTES), 250);
	// A non-idempotent request never explores, so it is decided that it waits before any costs are compared.
	t.is(measureDomainWait(SMALL_BYTES, {requestClass: 'non-idempotent'}), 60);
	t.is(measureDomainWait(LARGE_BYTES, {requestClass: 'non-idempotent'}), 250);
	const between = measureDomainWait(20_000);
	t.true(between > 20 && between < 250, String(between));
	// 400 ms of work, counted 1.3 times, leave 140 ms of this objective.
	t.is(measureDomainWait(LARGE_BYTES, {objectiveMilliseconds: 660}), 140);
	t.is(measureDomainWait(LARGE_BYTES, {waitedMilliseconds: 980}), 20, 'too late already: as a small one');
});

const TRIALS = [
	{name: 'a request of that domain came', other: {failureDomain: 'y'}, isTried: false},
	{name: 'a request with a small response came', other: {route: 'small'}, isTried: false},
	{name: 'no other request came', other: undefined, isTried: true},
	{name: 'only non-idempotent ones came', other: {route: 'small', requestClass: 'non-idempotent'}, isTried: true},
] as const;

for (const {name, other, isTried} of TRIALS) {
	test(`a large response is ${isTried ? '' : 'not '}used for the trial of a suspended upstream of another failure domain when ${name}`, t => {
		const {dispatcher, read} = createMeasured([OWN, OTHER], LARGE_BYTES);
		dispatcher.setDoubt(SERVICE, 'other', 7, 0);
		if (other !== undefined) {
			dispatcher.requestSlot(read('cheap', {...other, excluded: ['other']}), RESTED_AT);
		}

		t.is(getGrant(dispatcher.requestSlot(read('large'), RESTED_AT + 1), 'large')?.upstream, isTried ? 'other' : 'own');
	});
}

test('while requests fail and no other request explores it, a rested upstream of another failure domain keeps its gain', t => {
	// Guards against healthy upstreams in failure domains without entry hosts that stay without requests while requests fail.
	const {dispatcher, read} = createMeasured([{...OWN, slots: 10}, OTHER], LARGE_BYTES);
	for (const id of ['fails-1', 'fails-2', 'fails-3']) {
		dispatcher.requestSlot(read(id, {excluded: ['other']}), RESTED_AT);
	}

	for (const id of ['fails-1', 'fails-2', 'fails-3']) {
		dispatcher.end(id, {ending: 'error', milliseconds: 10}, RESTED_AT + 1);
	}

	dispatcher.setDoubt(SERVICE, 'own', 0, RESTED_AT + 1);
	t.is(getGrant(dispatcher.requestSlot(read('next'), RESTED_AT + 2), 'next')?.upstream, 'other');
});

test('a dispatcher without measurements, or with invalid ones, decides as for small responses', t => {
	// A size comes from another host and is not trusted.
	for (const responseBytes of [undefined, NaN, Infinity, -1, null, '90000', {}]) {
		const {dispatcher, read} = createMeasured([OWN, OTHER], responseBytes as number);
		t.is(getGrant(dispatcher.requestSlot(read('next'), 1), 'next')?.expectedResponseBytes, 0);
	}
});

test('one measurement counts for a bounded number of bytes', t => {
	t.is(averageResponseBytes(undefined, 1e15), 1_000_000);
	fc.assert(fc.property(fc.double({min: 0, max: 1e6, noNaN: true}), fc.double({min: 0, noNaN: true}), (known, bytes) => {
		const average = averageResponseBytes(known, bytes);
		t.true(average >= 0 && average <= 1e6);
	}));
});

test('an upstream that claims huge responses does not make a small route count as large', t => {
	let average = averageResponseBytes(undefined, 4000);
	for (let index = 1; index <= 1000; index++) {
		average = averageResponseBytes(average, index % 20 === 0 ? 1e12 : 4000);
		t.true(average < 16_384, String(average));
	}
});

test('the average follows a route whose responses become large', t => {
	let average = averageResponseBytes(undefined, 4000);
	for (let index = 0; index < 40; index++) {
		average = averageResponseBytes(average, LARGE_BYTES);
	}

	t.true(average > 80_000, String(average));
});
