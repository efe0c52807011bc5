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
import {PROPOSE_AGAIN_MILLISECONDS, PROPOSE_MILLISECONDS, PROPOSE_TRIES} from './constants.ts';
import type {ControlGroup} from './group.ts';
import {METHODS, type ProposalAnswer, type ReadAnswer} from './messages.ts';

/**
Why a command or read did not come to an end. A command may have been taken all the same.
*/
export type LeaderFailure = core.Failure<'no-leader'>;

/**
What the calls need.
*/
export type LeaderCalls = {
	readonly self: core.HostId;
	readonly group: ControlGroup;
	readonly findLink: (host: core.HostId) => link.Link | undefined;
};

/**
Brings a command to the leader. Resolves with the version in force once the command is committed.
*/
export async function proposeToLeader(
	calls: LeaderCalls,
	command: generations.GenerationCommand,
): Promise<results.Result<number, LeaderFailure>> {
	return tryLeader(calls, async leader => {
		const answer = leader === calls.self
			? await withLimit(calls.group.propose(command))
			: await callLeader<ProposalAnswer>(calls, leader, {method: METHODS.propose, parameters: {command}});
		return answer?.kind === 'applied' ? answer.version : undefined;
	});
}

/**
Reads the newest generation's document; null before the first.
*/
export async function readFromLeader(calls: LeaderCalls): Promise<results.Result<string | null, LeaderFailure>> {
	return tryLeader(calls, async leader => {
		const answer = leader === calls.self
			? await withLimit(calls.group.read())
			: await callLeader<ReadAnswer>(calls, leader, {method: METHODS.readGeneration, parameters: {}});
		return answer?.kind === 'read' ? answer.document : undefined;
	});
}

async function tryLeader<Value>(
	{group}: LeaderCalls,
	attempt: (leader: core.HostId) => Promise<Value | undefined>,
): Promise<results.Result<Value, LeaderFailure>> {
	for (let count = 0; count < PROPOSE_TRIES; count++) {
		const leader = group.getLeader();
		// eslint-disable-next-line no-await-in-loop -- One try after the other.
		const value = leader === null ? undefined : await attempt(leader);
		if (value !== undefined) {
			return results.Ok(value);
		}

		// eslint-disable-next-line no-await-in-loop -- An election takes its time.
		await timers.setTimeout(PROPOSE_AGAIN_MILLISECONDS);
	}

	return results.Err(core.createFailure('no-leader', 'The control group has no leader with a quorum that can be reached.'));
}

async function callLeader<Answer>(
	{findLink}: LeaderCalls,
	leader: core.HostId,
	{method, parameters}: {readonly method: string; readonly parameters: unknown},
): Promise<Answer | undefined> {
	const answer = await findLink(leader)?.call(method, parameters, PROPOSE_MILLISECONDS);
	return answer?.isOk() === true ? answer.value as Answer : undefined;
}

async function withLimit<Value>(pending: Promise<Value>): Promise<Value | undefined> {
	return Promise.race([pending, timers.setTimeout(PROPOSE_MILLISECONDS, undefined, {ref: false})]);
}
