/**
Operators' changes, from any host to the leader of the catalogue and back.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as results from 'ts-results-es';
import {CALL_TIMEOUT_MILLISECONDS, CHANGE_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';
import {type ProposalFailure, proposeCommand} from './proposals.ts';

/**
A change as an operator asks for it.
*/
export type ChangeRequest = {
	readonly name: core.ServiceName;
	/**
	Absent to remove the entry.
	*/
	readonly entry: catalogue.Entry | undefined;
	/**
	The revision it was made from, 0 when the entry must not exist.
	*/
	readonly expected: catalogue.Revision;
	readonly changeId: string;
};

/**
Brings a change to the catalogue. The Change-Id makes it safe to propose it again while its answer is lost.
*/
export async function changeCatalogue(
	context: HostContext,
	request: ChangeRequest,
): Promise<results.Result<catalogue.ChangeAnswer, ProposalFailure>> {
	const change: catalogue.Change = {
		...request,
		operator: context.settings.hostId,
		takenAt: Date.now(),
	};
	const proposed = await proposeCommand(context, 'catalogue', change, {
		timeoutMilliseconds: CHANGE_TIMEOUT_MILLISECONDS,
		isRepeatable: true,
	});
	return proposed.map(value => value as catalogue.ChangeAnswer);
}

/**
Returns the changes of an entry as a control host knows them, or none when no control host can be reached.
*/
export async function fetchHistory(
	context: HostContext,
	name: core.ServiceName,
): Promise<readonly catalogue.HistoryItem[]> {
	const controls = context.store.read(state => state.members.values()
		.filter(member => member.roles.includes('control'))
		.toArray());
	for (const control of controls) {
		// eslint-disable-next-line no-await-in-loop -- One control host's answer is enough.
		const answer = await context.peer.call(control.peerAddress, 'catalogue.history', {name}, CALL_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			return answer.value as readonly catalogue.HistoryItem[];
		}
	}

	return [];
}
