/**
Finds the hosts that have a revision of the catalogue in force. Every host is asked, because an assumption could report a
change as complete that is not.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import {CALL_TIMEOUT_MILLISECONDS, IN_FORCE_CONCURRENCY} from './constants.ts';
import {getOtherMembers, type HostContext, type Member} from './context.ts';

/**
Hosts by whether they have a revision in force; one that does not answer is listed in `lack`.
*/
export type InForceHosts = {
	readonly have: readonly core.HostId[];
	readonly lack: readonly core.HostId[];
};

/**
Asks all running hosts, a bounded number at a time. Both lists are sorted.
*/
export async function findInForce(context: HostContext, revision: catalogue.Revision): Promise<InForceHosts> {
	const others = [...getOtherMembers(context)];
	const have: core.HostId[] = [];
	const lack: core.HostId[] = [];
	const own = context.store.read(state => state.view.revision);
	(own >= revision ? have : lack).push(context.settings.hostId);

	const checkNext = async () => {
		for (let member = others.pop(); member !== undefined; member = others.pop()) {
			// eslint-disable-next-line no-await-in-loop -- Each of the concurrent runs asks one host after the other.
			(await hasRevision(context, member, revision) ? have : lack).push(member.id);
		}
	};

	await Promise.all(Array.from({length: IN_FORCE_CONCURRENCY}, checkNext));
	return {have: have.toSorted(), lack: lack.toSorted()};
}

async function hasRevision(context: HostContext, member: Member, revision: catalogue.Revision): Promise<boolean> {
	const answer = await context.peer.call(member.peerAddress, 'catalogue.in-force', {}, CALL_TIMEOUT_MILLISECONDS);
	return answer.isOk() && (answer.value as {revision: catalogue.Revision}).revision >= revision;
}
