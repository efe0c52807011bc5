/**
Tests of the rate limits that an entry host remembers, and of what it tells dispatchers.
*/
import test from 'ava';
import {createHeldPlaces} from '../../held-places.ts';
import {createNamedLimits} from '../../named-limits.ts';
import * as fixture from './fixture.ts';

const SERVICE = 'archive';
const NAMED_AT = 1000;

const CASES = [
	{
		name: 'is told with its age', passed: 200, limits: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 200, granted: 0,
		}],
	},
	{
		name: 'is lifted by an answer to a request that was sent after it', passed: 200, sentAt: NAMED_AT + 1, limits: [],
	},
	{
		name: 'is not lifted by an answer to a request that was sent before it',
		passed: 200,
		sentAt: NAMED_AT - 1,
		limits: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 200, granted: 0,
		}],
	},
	{name: 'is forgotten when no answer names it for long', passed: 10_001, limits: []},
];

for (const {name, passed, sentAt, limits} of CASES) {
	test(`a rate limit ${name}`, t => {
		let now = NAMED_AT;
		const named = createNamedLimits(() => now);
		named.name(SERVICE, 'u', 2);
		if (sentAt !== undefined) {
			named.lift(SERVICE, 'u', sentAt);
		}

		now += passed;
		t.deepEqual(named.list(SERVICE), limits);
		t.deepEqual(named.list('media'), []);
	});
}

test('a dispatcher that a host turns to is told the rate limits that answers named', t => {
	// Guards against a dispatcher that takes over, knows no limit, and fills the slots of an upstream in need.
	const named = createNamedLimits(() => NAMED_AT);
	named.name(SERVICE, 'u', 2);
	const link = fixture.createFakeLink(() => undefined);
	createHeldPlaces(() => NAMED_AT, named).tell(SERVICE, {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link});
	t.deepEqual(link.notified, [['dispatch.hold', {
		service: SERVICE, places: [], limits: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 0, granted: 0,
		}],
	}]]);
});
