/**
Changes to the catalogue: sends a compare-and-set with a Change-Id, retries it after a lost answer, and polls until it is in force.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import * as adminClient from './admin-client.ts';
import * as constants from './constants.ts';
import type * as failures from './failures.ts';

/**
A change of one entry. `revision` is the revision that the change replaces; if it is undefined, the current one is read first.
*/
export type EntryChange = {
	readonly name: string;
	readonly changeId: string;
	/**
	The entry as JSON; undefined removes it.
	*/
	readonly body: string | undefined;
	readonly revision: number | undefined;
};

/**
The ids of the hosts on which a revision is in force, and of those on which it is not.
*/
export type InForceHosts = {
	readonly have: readonly string[];
	readonly lack: readonly string[];
};

const IN_FORCE_SCHEMA = zod.object({have: zod.array(zod.string()), lack: zod.array(zod.string())});

/**
Sends a change and returns the new revision.

The answer may be lost after the fleet has committed the change. A retry carries the same Change-Id and the same precondition, so
the fleet repeats its first answer and makes the change once. With another Change-Id, the retry would fail its precondition
because of the first attempt, and report a conflict although nobody else changed the entry.
*/
export async function applyChange(
	client: adminClient.AdminClient,
	change: EntryChange,
): Promise<results.Result<number | undefined, failures.CommandFailure>> {
	const precondition = await getPrecondition(client, change);
	if (precondition.isErr()) {
		return precondition;
	}

	const request: adminClient.AdminRequest = {
		method: change.body === undefined ? 'DELETE' : 'PUT',
		path: `/catalogue/${encodeURIComponent(change.name)}`,
		headers: {
			...precondition.value,
			'change-id': change.changeId,
			...change.body !== undefined && {'content-type': 'application/json'},
		},
		...change.body !== undefined && {body: change.body},
	};
	const answer = await sendWithRetries(client, request);
	return answer.map(({revision}) => revision);
}

/**
Polls until the current revision of the entry is in force on every host or the timeout has passed. Returns the last result.
*/
export async function waitUntilInForce(
	client: adminClient.AdminClient,
	name: string,
): Promise<results.Result<InForceHosts, failures.CommandFailure>> {
	const deadline = performance.now() + constants.IN_FORCE_TIMEOUT_MILLISECONDS;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await client.sendRequest({method: 'GET', path: `/catalogue/${encodeURIComponent(name)}/in-force`});
		const inForce = answer.andThen(value => adminClient.parseJsonAnswer(value, IN_FORCE_SCHEMA));
		const isDone = inForce.isOk() && inForce.value.lack.length === 0;
		if (isDone || performance.now() >= deadline) {
			return inForce;
		}

		// eslint-disable-next-line no-await-in-loop
		await timers.setTimeout(constants.IN_FORCE_POLL_INTERVAL_MILLISECONDS);
	}
}

async function getPrecondition(
	client: adminClient.AdminClient,
	change: EntryChange,
): Promise<results.Result<Record<string, string>, adminClient.AdminFailure>> {
	if (change.revision !== undefined) {
		return results.Ok({'if-match': `"${change.revision}"`});
	}

	const current = await client.sendRequest({method: 'GET', path: `/catalogue/${encodeURIComponent(change.name)}`});
	if (current.isErr()) {
		const isNew = current.error.status === 404 && change.body !== undefined;
		return isNew ? results.Ok({'if-none-match': '*'}) : current;
	}

	return current.value.revision === undefined
		? results.Err(core.createFailure('bad-answer', `The host gave no revision for ${change.name}`))
		: results.Ok({'if-match': `"${current.value.revision}"`});
}

async function sendWithRetries(
	client: adminClient.AdminClient,
	request: adminClient.AdminRequest,
): Promise<results.Result<adminClient.AdminAnswer, adminClient.AdminFailure>> {
	let delayMilliseconds = constants.CHANGE_RETRY_DELAY_MILLISECONDS;
	let isPossiblyApplied = false;
	for (let attempt = 1; ; attempt++) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await client.sendRequest(request);
		if (answer.isOk() || !isRetriable(answer.error)) {
			return answer;
		}

		isPossiblyApplied ||= answer.error.outcome !== 'not-run';
		if (attempt >= constants.MAX_CHANGE_ATTEMPTS) {
			return isPossiblyApplied ? results.Err(createUnknownOutcomeFailure(answer.error)) : answer;
		}

		// eslint-disable-next-line no-await-in-loop
		await timers.setTimeout(delayMilliseconds);
		delayMilliseconds *= 2;
	}
}

/**
Creates the failure of a change that an earlier attempt may have made. An outcome `not-run` covers the last attempt only.
*/
function createUnknownOutcomeFailure(failure: adminClient.AdminFailure): adminClient.AdminFailure {
	return {
		...failure,
		outcome: 'unknown',
		message: `The change may have been taken, its outcome is unknown; the last attempt failed: ${failure.message}`,
	};
}

/**
Returns whether the change is sent again: the host gave no answer or a 5xx status, so the change may have been committed or may
succeed on a retry.
*/
function isRetriable(failure: adminClient.AdminFailure): boolean {
	return failure.kind === 'unreachable' || (failure.status ?? 0) >= 500;
}
