/**
Sends commands from any host to the leader of a replicated group.

A failed call leaves one of two cases: a command that was surely not taken is sent again or reported as not run; one that
may have been taken is reported as unknown. Commands carry their own identity (Change-Id, attempt), so that sending one
again never runs it twice.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as peer from 'wagtailroute-peer';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {CONTROL_RETRY_DELAY_MILLISECONDS} from './constants.ts';
import {findPeerAddress, getOtherMembers, type HostContext} from './context.ts';

/**
Names of the replicated groups.
*/
export type GroupName = 'catalogue' | 'records';

/**
Why a command has no result. `isPossiblyTaken`: the command may still take effect.
*/
export type ProposalFailure = core.Failure<'no-quorum' | 'no-control-host'> & {
	readonly isPossiblyTaken: boolean;
};

/**
Answer of a control host to a command.
*/
export type ProposalAnswer =
	| {readonly kind: 'applied'; readonly value: unknown}
	| {readonly kind: 'not-leader'; readonly leader?: core.HostId}
	| {readonly kind: 'failed'; readonly isPossiblyTaken: boolean};

/**
Proposes a command and returns its result, trying control hosts until the timeout.

@param isRepeatable The command carries its own identity, so it may be sent again even if it may have been taken.
*/
export async function proposeCommand(
	context: HostContext,
	group: GroupName,
	command: unknown,
	options: {readonly timeoutMilliseconds: number; readonly isRepeatable: boolean},
): Promise<results.Result<unknown, ProposalFailure>> {
	const deadlineAt = context.now() + options.timeoutMilliseconds;
	let isPossiblyTaken = false;
	let leaderHint: core.HostId | undefined;
	while (context.now() < deadlineAt) {
		const address = chooseControlHost(context, leaderHint);
		leaderHint = undefined;
		if (address !== undefined) {
			// eslint-disable-next-line no-await-in-loop -- Control hosts are tried one after the other.
			const answer = await callControlHost(context, address, {group, command, milliseconds: deadlineAt - context.now()});
			if (answer.kind === 'applied') {
				return results.Ok(answer.value);
			}

			leaderHint = answer.kind === 'not-leader' ? answer.leader : undefined;
			isPossiblyTaken ||= answer.kind === 'failed' && answer.isPossiblyTaken;
			if (isPossiblyTaken && !options.isRepeatable) {
				break;
			}
		}

		if (leaderHint === undefined) {
			// eslint-disable-next-line no-await-in-loop -- Waits for an election.
			await timers.setTimeout(CONTROL_RETRY_DELAY_MILLISECONDS);
		}
	}

	const failure = core.createFailure('no-quorum', `The group ${group} has no reachable leader with a quorum.`);
	return results.Err({...failure, isPossiblyTaken});
}

/**
Returns the address of the control host `leaderHint` if known, otherwise of a random one.
*/
export function chooseControlHost(context: HostContext, leaderHint?: core.HostId): core.Address | undefined {
	const {settings} = context;
	const hinted = leaderHint === undefined ? undefined : findPeerAddress(context, leaderHint);
	if (hinted !== undefined) {
		return hinted;
	}

	const known = getOtherMembers(context)
		.filter(member => member.roles.includes('control'))
		.map(member => member.peerAddress);
	const candidates = [
		...known.length > 0 ? known : settings.initialControl.map(initial => initial.address),
		...settings.roles.includes('control') ? [settings.peerAddress] : [],
	];
	return candidates[utils.pickIndex(context.random, candidates.length)];
}

async function callControlHost(
	context: HostContext,
	address: core.Address,
	request: {readonly group: GroupName; readonly command: unknown; readonly milliseconds: number},
): Promise<ProposalAnswer> {
	const {group, command, milliseconds} = request;
	const answer = await context.peer.call(address, 'control.propose', {group, command}, Math.max(1, milliseconds));
	return answer.isOk()
		? answer.value as ProposalAnswer
		: {kind: 'failed', isPossiblyTaken: peer.isPossiblyDelivered(answer.error)};
}
