/**
Sends commands and reads from any control host to the leader of the control group.

A command is sent again even if an earlier attempt may have reached the leader: commands are idempotent, putting the same generation or retiring the
same upstream twice changes nothing. A command succeeds only once it is committed.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as generations from 'wagtailroute-generations';
import type * as link from 'wagtailroute-link';
import * as results from 'ts-results-es';
import {LEADER_CALL_RETRY_DELAY_MILLISECONDS, LEADER_CALL_TIMEOUT_MILLISECONDS, MAX_LEADER_CALL_ATTEMPTS} from './constants.ts';
import type {ControlGroup} from './group.ts';
import {METHODS, type ProposalAnswer, type ReadAnswer} from './messages.ts';

/**
The failure of a command or read that no leader answered. A command may have been committed nevertheless.
*/
export type LeaderFailure = core.Failure<'no-leader'>;

/**
The calling host, its control group, and its links to the other control hosts.
*/
export type LeaderCallOptions = {
	readonly hostId: core.HostId;
	readonly group: ControlGroup;
	readonly findLink: (host: core.HostId) => link.Link | undefined;
};

/**
Sends a command to the leader. Resolves with the catalogue version in force once the command is committed.
*/
export async function proposeToLeader(
	options: LeaderCallOptions,
	command: generations.GenerationCommand,
): Promise<results.Result<number, LeaderFailure>> {
	return callWithRetries(options, async leader => {
		const answer = leader === options.hostId
			? await withTimeout(options.group.propose(command))
			: await callLeader<ProposalAnswer>(options, leader, {method: METHODS.propose, parameters: {command}});
		return answer?.kind === 'applied' ? answer.version : undefined;
	});
}

/**
Reads the document of the newest generation from the leader; undefined before the first generation.
*/
export async function readFromLeader(options: LeaderCallOptions): Promise<results.Result<string | undefined, LeaderFailure>> {
	const read = await callWithRetries(options, async leader => {
		const answer = leader === options.hostId
			? await withTimeout(options.group.read())
			: await callLeader<ReadAnswer>(options, leader, {method: METHODS.readGeneration, parameters: {}});
		return answer?.kind === 'read' ? answer : undefined;
	});
	return read.map(({encodedDocument}) => encodedDocument === null ? undefined : generations.decodeDocument(encodedDocument));
}

async function callWithRetries<Value>(
	{group}: LeaderCallOptions,
	attempt: (leader: core.HostId) => Promise<Value | undefined>,
): Promise<results.Result<Value, LeaderFailure>> {
	for (let count = 0; count < MAX_LEADER_CALL_ATTEMPTS; count++) {
		const leader = group.getLeader();
		// eslint-disable-next-line no-await-in-loop -- One attempt after the other.
		const value = leader === null ? undefined : await attempt(leader);
		if (value !== undefined) {
			return results.Ok(value);
		}

		// eslint-disable-next-line no-await-in-loop -- Gives an election time to finish.
		await timers.setTimeout(LEADER_CALL_RETRY_DELAY_MILLISECONDS);
	}

	return results.Err(core.createFailure('no-leader', 'The control group has no leader with a quorum that can be reached.'));
}

async function callLeader<Answer>(
	{findLink}: LeaderCallOptions,
	leader: core.HostId,
	{method, parameters}: {readonly method: string; readonly parameters: unknown},
): Promise<Answer | undefined> {
	const answer = await findLink(leader)?.call(method, parameters, LEADER_CALL_TIMEOUT_MILLISECONDS);
	return answer?.isOk() === true ? answer.value as Answer : undefined;
}

async function withTimeout<Value>(pending: Promise<Value>): Promise<Value | undefined> {
	return Promise.race([pending, timers.setTimeout(LEADER_CALL_TIMEOUT_MILLISECONDS, undefined, {ref: false})]);
}
