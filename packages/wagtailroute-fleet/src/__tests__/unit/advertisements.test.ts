/**
Tests of the advertisements that an entry host keeps and reports to dispatchers.
*/
import test from 'ava';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {createHeldSlots} from '../../held-slots.ts';
import {type Closure, createAdvertisements} from '../../advertisements.ts';
import * as fixture from './fixture.ts';

const SERVICE = 'archive';
const HOST = 'front';
const ADVERTISED_AT = 1000;

const RATE_LIMIT: core.Advertisement = {kind: 'rate-limit', ratePerSecond: 2};
const BACKOFF: core.Advertisement = {kind: 'backoff', milliseconds: 3000};
const SHORT_BACKOFF: core.Advertisement = {kind: 'backoff', milliseconds: 100};
const DRAINING: core.Advertisement = {kind: 'draining'};

const createLimitUpdate = (ageMilliseconds: number): dispatch.UpstreamUpdate => ({
	kind: 'rate-limit', upstream: 'u', ratePerSecond: 2, ageMilliseconds, granted: 0,
});
const createBackoffUpdate = (remainingMilliseconds: number): dispatch.UpstreamUpdate => ({
	kind: 'backoff', upstream: 'u', host: HOST, remainingMilliseconds,
});

type Case = {
	readonly name: string;
	readonly advertised: readonly core.Advertisement[];
	readonly passed: number;
	/**
	When the request was sent whose answer may lift a rate limit.
	*/
	readonly sentAt?: number;
	readonly listed: readonly dispatch.UpstreamUpdate[];
	readonly closure?: Closure;
};

const CASES: readonly Case[] = [
	{
		name: 'a rate limit is listed with its age', advertised: [RATE_LIMIT], passed: 200, listed: [createLimitUpdate(200)],
	},
	{
		name: 'a rate limit is lifted by an answer to a request that was sent after it', advertised: [RATE_LIMIT], passed: 200, sentAt: ADVERTISED_AT + 1, listed: [],
	},
	{
		name: 'a rate limit is not lifted by an answer to a request that was sent before it',
		advertised: [RATE_LIMIT],
		passed: 200,
		sentAt: ADVERTISED_AT - 1,
		listed: [createLimitUpdate(200)],
	},
	{
		name: 'a rate limit expires when no answer advertises it', advertised: [RATE_LIMIT], passed: 10_001, listed: [],
	},
	{
		name: 'a backoff is listed with the time that remains', advertised: [BACKOFF], passed: 1000, listed: [createBackoffUpdate(2000)], closure: 'backoff',
	},
	{
		name: 'a shorter backoff does not replace a longer one', advertised: [BACKOFF, SHORT_BACKOFF], passed: 1000, listed: [createBackoffUpdate(2000)], closure: 'backoff',
	},
	{
		name: 'a backoff is not lifted by an answer', advertised: [BACKOFF], passed: 1000, sentAt: ADVERTISED_AT + 1, listed: [createBackoffUpdate(2000)], closure: 'backoff',
	},
	{
		name: 'a backoff ends', advertised: [BACKOFF], passed: 3000, listed: [],
	},
	{
		name: 'an upstream that drains stays closed', advertised: [DRAINING], passed: 600_000, sentAt: ADVERTISED_AT + 1, listed: [{kind: 'draining', upstream: 'u'}], closure: 'draining',
	},
	{
		name: 'everything is listed together',
		advertised: [RATE_LIMIT, BACKOFF, DRAINING],
		passed: 0,
		listed: [createLimitUpdate(0), createBackoffUpdate(3000), {kind: 'draining', upstream: 'u'}],
		closure: 'draining',
	},
];

for (const {name, advertised, passed, sentAt, listed, closure} of CASES) {
	test(name, t => {
		let now = ADVERTISED_AT;
		const advertisements = createAdvertisements(HOST, () => now);
		for (const advertisement of advertised) {
			advertisements.record(SERVICE, 'u', advertisement);
		}

		if (sentAt !== undefined) {
			advertisements.liftRateLimit(SERVICE, 'u', sentAt);
		}

		now += passed;
		t.deepEqual(advertisements.list(SERVICE), listed);
		t.deepEqual(advertisements.list('media'), []);
		t.is(advertisements.findClosure('u'), closure);
		t.is(advertisements.findClosure('v'), undefined);
	});
}

test('a dispatcher that a host starts to use receives what answers advertised', t => {
	// Guards against a new dispatcher that grants slots at upstreams that advertised a backoff or a rate limit before.
	const advertisements = createAdvertisements(HOST, () => ADVERTISED_AT);
	advertisements.record(SERVICE, 'u', RATE_LIMIT);
	advertisements.record(SERVICE, 'u', BACKOFF);
	const link = fixture.createFakeLink(() => undefined);
	const heldSlots = createHeldSlots(() => ADVERTISED_AT, {advertisements, recentUsage: {collectUnreported: () => undefined}, countEntryHosts: () => 3});
	heldSlots.reportTo({service: SERVICE}, {host: {id: 'c', address: {ip: '10.0.0.2', port: 1}}, link});
	t.deepEqual(link.notified, [['dispatch.hold', {service: SERVICE, places: [], updates: [createLimitUpdate(0), createBackoffUpdate(3000)]}]]);
});
