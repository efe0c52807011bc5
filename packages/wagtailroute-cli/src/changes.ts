/**
Changes to the catalogue: compare-and-set under one Change-Id, sent again after a lost answer, then watched until in force.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import * as admin from './admin-client.ts';
import * as constants from './constants.ts';
import type * as failures from './failures.ts';

/**
A change of one entry. `revision` is the one it replaces; without it, the present one is read first.
*/
export type Change = {
	readonly name: string;
	readonly changeId: string;
	/**
	The entry as JSON; undefined removes it.
	*/
	readonly body: string | undefined;
	readonly revision: number | undefined;
};

/**
Which hosts have a revision and which lack it, by host id.
*/
export type InForce = {
	readonly have: readonly string[];
	readonly lack: readonly string[];
};

const IN_FORCE = zod.object({have: zod.array(zod.string()), lack: zod.array(zod.string())});

/**
Sends a change and returns the new revision.

The answer may be lost after the change was taken. The resend carries the same Change-Id and the same precondition, so the
fleet gives the first answer again and the change is made once. Without it the resend would meet its own change and report
a lost race that never was.
*/
export async function applyChange(
	client: admin.AdminClient,
	change: Change,
): Promise<results.Result<number | undefined, failures.CommandFailure>> {
	const precondition = await getPrecondition(client, change);
	if (precondition.isErr()) {
		return precondition;
	}

	const question: admin.AdminQuestion = {
		method: change.body === undefined ? 'DELETE' : 'PUT',
		path: `/catalogue/${encodeURIComponent(change.name)}`,
		headers: {
			...precondition.value,
			'change-id': change.changeId,
			...change.body !== undefined && {'content-type': 'application/json'},
		},
		...change.body !== undefined && {body: change.body},
	};
	const answer = await askAgain(client, question);
	return answer.map(({revision}) => revision);
}

/**
Asks until no host lacks the entry's present revision, or until the time is over.
*/
export async function waitUntilInForce(
	client: admin.AdminClient,
	name: string,
): Promise<results.Result<InForce, failures.CommandFailure>> {
	const end = performance.now() + constants.IN_FORCE_MILLISECONDS;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await client.ask({method: 'GET', path: `/catalogue/${encodeURIComponent(name)}/in-force`});
		const inForce = answer.andThen(value => admin.parseAnswer(value, IN_FORCE));
		const isDone = inForce.isOk() && inForce.value.lack.length === 0;
		if (isDone || performance.now() >= end) {
			return inForce;
		}

		// eslint-disable-next-line no-await-in-loop
		await timers.setTimeout(constants.IN_FORCE_POLL_MILLISECONDS);
	}
}

async function getPrecondition(
	client: admin.AdminClient,
	change: Change,
): Promise<results.Result<Record<string, string>, admin.AdminFailure>> {
	if (change.revision !== undefined) {
		return results.Ok({'if-match': `"${change.revision}"`});
	}

	const present = await client.ask({method: 'GET', path: `/catalogue/${encodeURIComponent(change.name)}`});
	if (present.isErr()) {
		const isNew = present.error.status === 404 && change.body !== undefined;
		return isNew ? results.Ok({'if-none-match': '*'}) : present;
	}

	return present.value.revision === undefined
		? results.Err(core.createFailure('bad-answer', `The host gave no revision for ${change.name}`))
		: results.Ok({'if-match': `"${present.value.revision}"`});
}

async function askAgain(
	client: admin.AdminClient,
	question: admin.AdminQuestion,
): Promise<results.Result<admin.AdminAnswer, admin.AdminFailure>> {
	let wait = constants.CHANGE_WAIT_MILLISECONDS;
	let isPossiblyTaken = false;
	for (let attempt = 1; ; attempt++) {
		// eslint-disable-next-line no-await-in-loop
		const answer = await client.ask(question);
		if (answer.isOk() || !isResent(answer.error)) {
			return answer;
		}

		isPossiblyTaken ||= answer.error.outcome !== 'not-run';
		if (attempt >= constants.CHANGE_ATTEMPTS) {
			return isPossiblyTaken ? results.Err(describePossiblyTaken(answer.error)) : answer;
		}

		// eslint-disable-next-line no-await-in-loop
		await timers.setTimeout(wait);
		wait *= 2;
	}
}

/**
A last answer of `not-run` speaks of the last sending only: an earlier one, whose answer was lost, may have been taken.
*/
function describePossiblyTaken(failure: admin.AdminFailure): admin.AdminFailure {
	return {
		...failure,
		outcome: 'unknown',
		message: `The change may have been taken, its outcome is unknown; the last attempt failed: ${failure.message}`,
	};
}

/**
Says whether the change may have been taken, or may be taken next time: no answer, or an error of the fleet's own.
*/
function isResent(failure: admin.AdminFailure): boolean {
	return failure.kind === 'unreachable' || (failure.status ?? 0) >= 500;
}
