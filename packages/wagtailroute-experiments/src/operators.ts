/**
An operator's requests to the admin port, as an experiment sends them.
*/
import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as undici from 'undici';

/**
What an operator is told of a change.
*/
export type ChangeResult = {
	readonly status: number;
	readonly revision: number;
	readonly outcome: string;
};

/**
An entry as text for the admin port.
*/
export type EntryDocument = {readonly name: string} & Readonly<Record<string, unknown>>;

const REQUEST_MILLISECONDS = 15_000;

/**
Sends one change.

@param expected The revision it is made from, 0 to create.
*/
export async function sendChange(
	admin: core.Address,
	token: string,
	change: {readonly entry: EntryDocument; readonly expected: number; readonly changeId?: string},
): Promise<ChangeResult> {
	const answer = await undici.request(`http://${core.formatAddress(admin)}/catalogue/${change.entry.name}`, {
		method: 'PUT',
		headers: {
			authorization: `Bearer ${token}`,
			'content-type': 'application/json',
			'change-id': change.changeId ?? crypto.randomUUID(),
			...change.expected === 0 ? {'if-none-match': '*'} : {'if-match': `"${change.expected}"`},
		},
		body: JSON.stringify(change.entry),
		signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
	});
	const body = await answer.body.json() as {revision?: number};
	return {
		status: answer.statusCode,
		revision: body.revision ?? 0,
		outcome: String(answer.headers['wagtailroute-outcome']),
	};
}

/**
Reads one path of the admin port.
*/
export async function ask(admin: core.Address, token: string, path: string): Promise<{status: number; body: unknown}> {
	const answer = await undici.request(`http://${core.formatAddress(admin)}${path}`, {
		headers: {authorization: `Bearer ${token}`},
		signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
	});
	return {status: answer.statusCode, body: await answer.body.json()};
}

/**
Returns the revision in force on a host, or nothing when it does not answer.
*/
export async function getRevision(admin: core.Address): Promise<number | undefined> {
	try {
		const answer = await undici.request(`http://${core.formatAddress(admin)}/healthz`, {signal: AbortSignal.timeout(2000)});
		return (await answer.body.json() as {revision: number}).revision;
	} catch {
		return undefined;
	}
}

/**
Waits until all the hosts have a revision in force and returns the milliseconds that took, or nothing when the time is over.
*/
export async function waitForRevision(
	admins: readonly core.Address[],
	revision: number,
	timeoutMilliseconds: number,
): Promise<number | undefined> {
	const startedAt = performance.now();
	let lacking = admins;
	while (performance.now() - startedAt < timeoutMilliseconds) {
		// eslint-disable-next-line no-await-in-loop -- Polls until all have it.
		const revisions = await Promise.all(lacking.map(async admin => getRevision(admin)));
		lacking = lacking.filter((_, index) => (revisions[index] ?? 0) < revision);
		if (lacking.length === 0) {
			return performance.now() - startedAt;
		}

		// eslint-disable-next-line no-await-in-loop -- See above.
		await timers.setTimeout(5);
	}

	return undefined;
}
