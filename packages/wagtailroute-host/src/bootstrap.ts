/**
Decides whether a control host with an empty disk may take its place among the first members.

What goes wrong without it: a host loses its disk and is started again with the same flags, the list of first members among
them. It would vote under an identity whose promises it has forgotten, and a change accepted by a bare quorum could be lost
with the next host. One would notice a change missing after a repair. So a host with an empty disk asks every other first
member; it takes its place only while all of them answer and none has ever taken part in an election, and otherwise joins
as a new member, who first catches up.
*/
import * as timers from 'node:timers/promises';
import type * as core from 'wagtailroute-core';
import {BOOTSTRAP_RETRY_MILLISECONDS, CALL_MILLISECONDS} from './constants.ts';
import type {HostContext} from './context.ts';

/**
What a control host tells of its group: the last term it took part in, 0 for none, null while it has not read its disk. A
host that said 0 before it knew would let a wiped neighbour take an old identity.
*/
export type GroupHistory = {
	readonly term: number | null;
};

/**
How a control host with an empty disk starts.
*/
export type Start = 'first' | 'joining';

/**
Asks the other first members until they all answer, or one of them tells that the group exists.

@param isStopped Ends the questions when the host is stopped.
*/
export async function decideStart(context: HostContext, isStopped: () => boolean): Promise<Start> {
	const {hostId, initialControl} = context.settings;
	if (initialControl.every(initial => initial.id !== hostId)) {
		return 'joining';
	}

	const others = initialControl.filter(initial => initial.id !== hostId).map(initial => initial.address);
	while (!isStopped()) {
		// eslint-disable-next-line no-await-in-loop -- One round of questions after the other.
		const histories = await Promise.all(others.map(async address => askHistory(context, address)));
		if (histories.some(history => (history?.term ?? 0) > 0)) {
			return 'joining';
		}

		if (histories.every(history => history?.term === 0)) {
			return 'first';
		}

		// eslint-disable-next-line no-await-in-loop -- The others may be starting.
		await timers.setTimeout(BOOTSTRAP_RETRY_MILLISECONDS);
	}

	return 'joining';
}

async function askHistory(context: HostContext, address: core.Address): Promise<GroupHistory | undefined> {
	const answer = await context.peer.call(address, 'control.history', {}, CALL_MILLISECONDS);
	return answer.isOk() ? answer.value as GroupHistory : undefined;
}
