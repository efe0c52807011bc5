/**
Well-formed requests to a target.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {
	DECOY_SERVICE,
	GOOD_MILLISECONDS,
	GOOD_SERVICE,
	TOKEN,
} from './constants.ts';

/**
A request as it is sent.
*/
export type PlainRequest = {
	readonly path: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/**
An answer; status 0 when there was none.
*/
export type PlainAnswer = {
	readonly status: number;
	readonly text: string;
};

const POLL_MILLISECONDS = 20;

/**
Sends a request and reads its whole answer.
*/
export async function request(to: core.Address, {path, method = 'GET', headers = {}, body}: PlainRequest): Promise<PlainAnswer> {
	try {
		const answer = await undici.request(`http://${core.formatAddress(to)}${path}`, {
			method, headers, body, signal: AbortSignal.timeout(GOOD_MILLISECONDS),
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	} catch (error) {
		return {status: 0, text: String(error)};
	}
}

/**
Returns a valid entry.
*/
export function getEntry(name: string): Readonly<Record<string, unknown>> {
	return {
		name,
		owner: 'fuzz',
		routes: [
			{
				pathPrefix: `/${name}/keyed`, methods: ['POST'], class: 'non-idempotent', requireIdempotencyKey: true,
			},
			{pathPrefix: `/${name}`, class: 'read'},
		],
		limits: {concurrency: 500, timeoutMilliseconds: 5000},
		healthyFloor: '70%',
		detection: 'careful',
		objective: {availability: 0.999, latencyMilliseconds: 300, windowDays: 28},
	};
}

/**
Creates the entries that good requests and inputs are about; says whether they are there.
*/
export async function createEntry(admin: core.Address): Promise<boolean> {
	const created = await Promise.all([GOOD_SERVICE, DECOY_SERVICE].map(async name => putEntry(admin, name)));
	return created.every(status => status === 201 || status === 412);
}

async function putEntry(admin: core.Address, name: string): Promise<number> {
	const {status} = await request(admin, {
		path: `/catalogue/${name}`,
		method: 'PUT',
		headers: {
			authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json', 'change-id': `create-${name}`, 'if-none-match': '*',
		},
		body: JSON.stringify(getEntry(name)),
	});
	return status;
}

/**
Asks again and again until it is so.
*/
export async function waitUntil(isSo: () => Promise<boolean>): Promise<void> {
	// eslint-disable-next-line no-await-in-loop -- Polls.
	while (!await isSo()) {
		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(POLL_MILLISECONDS);
	}
}
