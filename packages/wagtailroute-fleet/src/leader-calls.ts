/**
Brings commands and reads to the leader of the group, from any control host.

A command that may have been taken is sent again: putting the same generation or retiring the same upstream twice changes
nothing. What comes of it is told as done only once it is committed.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import type * as generations from 'wagtailroute-generations';
import type * as link from 'wagtailroute-link';
import * as results from 'ts-results-es';
import {LEADER_CALL_RETRY_DELAY_MILLISECONDS, LEADER_CALL_TIMEOUT_MILLISECONDS, MAX_LEADER_CALL_ATTEMPTS} from './constants.ts';
import type {ControlGroup} from './group.ts';
import {METHODS, type ProposalAnswer, type ReadAnswer} from './messages.ts';

/**
Why a command or read did not come to an end. A command may have been taken all the same.
*/
export type LeaderFailure = core.Failure<'no-leader'>;

/**
What the calls need.
*/
export type LeaderCallOptions = {
	readonly hostId: core.HostId;
	readonly group: ControlGroup;
	readonly findLink: (host: core.HostId) => link.Link | undefined;
};

/**
Brings a command to the leader. Resolves with the version in force once the command is committed.
*/
export async function proposeToLeader(
	calls: LeaderCallOptions,
	command: generations.GenerationCommand,
): Promise<results.Result<number, LeaderFailure>> {
	return callWithRetries(calls, async leader => {
		const answer = leader === calls.hostId
			? await withTimeout(calls.group.propose(command))
			: await callLeader<ProposalAnswer>(calls, leader, {method: METHODS.propose, parameters: {command}});
		return answer?.kind === 'applied' ? answer.version : undefined;
	});
}

/**
Reads the newest generation's document; null before the first.
*/
export async function readFromLeader(calls: LeaderCallOptions): Promise<results.Result<string | null, LeaderFailure>> {
	return callWithRetries(calls, async leader => {
		const answer = leader === calls.hostId
			? await withTimeout(calls.group.read())
			: await callLeader<ReadAnswer>(calls, leader, {method: METHODS.readGeneration, parameters: {}});
		return answer?.kind === 'read' ? answer.document : undefined;
	});
}

async function callWithRetries<Value>(
	{group}: LeaderCallOptions,
	attempt: (leader: core.HostId) => Promise<Value | undefined>,
): Promise<results.Result<Value, LeaderFailure>> {
	for (let count = 0; count < MAX_LEADER_CALL_ATTEMPTS; count++) {
		const leader = group.getLeader();
		// eslint-disable-next-line no-await-in-loop -- One try after the other.
		const value = leader === null ? undefined : await attempt(leader);
		if (value !== undefined) {
			return results.Ok(value);
		}

		// eslint-disable-next-line no-await-in-loop -- An election takes its time.
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
