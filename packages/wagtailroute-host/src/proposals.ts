/**
Brings commands to the leader of a replicated group, from any host.

What can go wrong on the way decides what may be told: a command that surely was not taken is sent again or told as not
run, one that may have been taken is told as unknown. Commands carry their own identity (Change-Id, attempt), so that
sending one again never runs it twice.
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
Why a command brought no result. `isPossiblyTaken` says whether it may take effect all the same.
*/
export type ProposalFailure = core.Failure<'no-quorum' | 'no-control-host'> & {
	readonly isPossiblyTaken: boolean;
};

/**
What a control host answers to a command.
*/
export type ProposalAnswer =
	| {readonly kind: 'applied'; readonly value: unknown}
	| {readonly kind: 'not-leader'; readonly leader?: core.HostId}
	| {readonly kind: 'failed'; readonly isPossiblyTaken: boolean};

/**
Proposes a command and returns its result, trying control hosts until the time is over.

@param isRepeatable The command carries its own identity, so that it may be sent again though it may have been taken.
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
			// eslint-disable-next-line no-await-in-loop -- One control host after the other.
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
			// eslint-disable-next-line no-await-in-loop -- An election takes its time.
			await timers.setTimeout(CONTROL_RETRY_DELAY_MILLISECONDS);
		}
	}

	const failure = core.createFailure('no-quorum', `The group ${group} has no reachable leader with a quorum.`);
	return results.Err({...failure, isPossiblyTaken});
}

/**
Returns the address of a control host: the hinted one, else any.
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
