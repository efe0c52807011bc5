/**
Tests of the rate limits that an entry host remembers and reports to dispatchers.
*/
import test from 'ava';
import {createHeldPlaces} from '../../held-places.ts';
import {createAdvertisedLimits} from '../../advertised-limits.ts';
import * as fixture from './fixture.ts';

const SERVICE = 'archive';
const ADVERTISED_AT = 1000;

const CASES = [
	{
		name: 'is listed with its age', passed: 200, listed: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 200, granted: 0,
		}],
	},
	{
		name: 'is lifted by an answer to a request that was sent after it', passed: 200, sentAt: ADVERTISED_AT + 1, listed: [],
	},
	{
		name: 'is not lifted by an answer to a request that was sent before it',
		passed: 200,
		sentAt: ADVERTISED_AT - 1,
		listed: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 200, granted: 0,
		}],
	},
	{name: 'expires when no answer advertises it', passed: 10_001, listed: []},
];

for (const {name, passed, sentAt, listed} of CASES) {
	test(`a rate limit ${name}`, t => {
		let now = ADVERTISED_AT;
		const limits = createAdvertisedLimits(() => now);
		limits.record(SERVICE, 'u', 2);
		if (sentAt !== undefined) {
			limits.lift(SERVICE, 'u', sentAt);
		}

		now += passed;
		t.deepEqual(limits.list(SERVICE), listed);
		t.deepEqual(limits.list('media'), []);
	});
}

test('a dispatcher that a host turns to receives the rate limits that answers advertised', t => {
	// Guards against a dispatcher that takes over, knows no limit, and fills the slots of an upstream in need.
	const limits = createAdvertisedLimits(() => ADVERTISED_AT);
	limits.record(SERVICE, 'u', 2);
	const link = fixture.createFakeLink(() => undefined);
	createHeldPlaces(() => ADVERTISED_AT, limits).tell(SERVICE, {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link});
	t.deepEqual(link.notified, [['dispatch.hold', {
		service: SERVICE, places: [], rateLimits: [{
			upstream: 'u', ratePerSecond: 2, ageMilliseconds: 0, granted: 0,
		}],
	}]]);
});
