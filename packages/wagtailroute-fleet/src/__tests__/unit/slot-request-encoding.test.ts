/**
Tests of the encoding of slot requests and answers: decoding returns what was encoded.
*/
import test from 'ava';
import * as fc from 'fast-check';
import type * as link from 'wagtailroute-link';
import * as wire from '../../slot-request-encoding.ts';
import type {SlotAnswer} from '../../messages.ts';

const ROUTE: wire.RouteParameters = {
	service: 'archive', route: 'r', requestClass: 'read', priority: 1, objectiveMilliseconds: 1000,
};
const FROM = {host: 'front:a', failureDomain: 'x'};

/**
A move is a resend as well.
*/
const SENDS = [
	{isResend: false, isMove: false, waitedMilliseconds: 0},
	{isResend: false, isMove: false, waitedMilliseconds: 1700},
	{isResend: true, isMove: false, waitedMilliseconds: 0},
	{isResend: true, isMove: true, waitedMilliseconds: 900},
	{
		isResend: false, isMove: false, waitedMilliseconds: 0, isAgain: true,
	},
] as const;

test('a slot request is decoded as it was encoded', t => {
	fc.assert(fc.property(fc.nat(), fc.nat({max: 100_000}), fc.array(fc.string()), fc.constantFrom(...SENDS), (number, remainingMilliseconds, excluded, send) => {
		const ask = {
			...ROUTE, ...FROM, id: wire.createSlotRequestId(FROM.host, number), remainingMilliseconds, excluded, ...send,
		};
		t.deepEqual(wire.decodeSlotRequest(structuredClone(wire.encodeSlotRequest(ask, 7)), FROM, wire.getRouteParameters(ask)), ask);
	}));
});

test('the organisation of a slot request is encoded as its number', t => {
	const numbers = wire.createOrganisationNumbering();
	const [over] = [{}] as [link.Link];
	t.deepEqual(numbers.assign(over, 'parish'), {number: 0, isNew: true});
	t.deepEqual(numbers.assign(over, 'parish'), {number: 0, isNew: false});
	t.deepEqual(numbers.assign(over, 'other'), {number: 1, isNew: true});
	const ask = {
		...ROUTE, ...FROM, organisation: 'other', id: wire.createSlotRequestId(FROM.host, 5), remainingMilliseconds: 90, excluded: [], ...SENDS[0],
	};
	const short = wire.encodeSlotRequest(ask, [7, 1, 30]);
	t.deepEqual(short, [5, [7, 1, 30], 90]);
	t.deepEqual(wire.decodeSlotRequest(short, {...FROM, organisation: 'other'}, wire.getRouteParameters(ask)), ask);
});

const ANSWERS: readonly SlotAnswer[] = [
	{
		kind: 'grant', upstream: 'u', address: {ip: '10.0.0.1', port: 80}, isTrial: true,
	},
	{
		kind: 'grant', upstream: 'u', address: {ip: '10.0.0.1', port: 80}, isTrial: false,
	},
	{kind: 'refuse', reason: 'budget', retryAfterMilliseconds: 100},
	{kind: 'refuse', reason: 'allotment', retryAfterMilliseconds: 40},
	{kind: 'wait'},
	{kind: 'elsewhere', pool: 'y'},
];

for (const answer of ANSWERS) {
	test(`the answer ${JSON.stringify(answer)} is decoded as it was encoded`, t => {
		t.deepEqual(wire.decodeAnswer(structuredClone(wire.encodeAnswer(answer))), answer);
	});
}

test('a route is announced once over a link, and again when it has changed', t => {
	const numbers = wire.createRouteNumbering();
	// Only its identity counts.
	const [over, other] = [{}, {}] as [link.Link, link.Link];
	t.deepEqual(numbers.assign(over, ROUTE), {number: 0, isNew: true});
	t.deepEqual(numbers.assign(over, ROUTE), {number: 0, isNew: false});
	t.deepEqual(numbers.assign(over, {...ROUTE, objectiveMilliseconds: 500}), {number: 1, isNew: true});
	t.deepEqual(numbers.assign(other, ROUTE), {number: 0, isNew: true});
});

test('the end of a request has a fourth item where the size of the response is known, and the same first three items either way', t => {
	// A host of the version before reads the first three items only.
	const id = wire.createSlotRequestId(FROM.host, 7);
	t.deepEqual(wire.encodeEnd(id, {ending: 'success', milliseconds: 12.4}), [7, 'success', 12]);
	t.deepEqual(wire.encodeEnd(id, {ending: 'success', milliseconds: 12.4, responseBytes: 90_000.6}), [7, 'success', 12, 90_001]);
});
