/**
Timeouts of suspicions.

A suspected host has a few seconds to refute the suspicion. Each host whose own probe also fails shortens this time: a
host that nobody can reach is declared dead soon, while a suspicion by a single host with a bad connection lasts long
enough to be refuted.

Only hosts whose own probe failed declare another one dead, and they ask a third host for its record first. The other
hosts wait for that declaration: under loss, one in a thousand hosts misses a refutation, and if each of these declared
the death by itself, every suspicion in a large fleet would end in a false death. They declare it only after a much longer
timeout, when the hosts that raised the suspicion must be gone as well.
*/
import type * as core from 'wagtailroute-core';
import {
	MAX_SUSPICION_MILLISECONDS,
	MIN_SUSPICION_MILLISECONDS,
	RECEIVED_SUSPICION_TIMEOUT_MILLISECONDS,
	SUSPICION_CHECK_INTERVAL_MILLISECONDS,
	SUSPICION_CONFIRMATIONS,
} from './constants.ts';
import type {Effect} from './messages.ts';
import {updateMember} from './updates.ts';
import {pickMembers, sendMessage} from './sending.ts';
import type {MembershipState, Suspicion} from './state.ts';

/**
Declares the hosts dead that didn't refute their suspicion in time, and checks the suspicions that are due for a check.
*/
export function runSuspicions(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	const effects: Effect[] = [];
	for (const [id, suspicion] of state.suspicions) {
		if (getDeadline(suspicion) <= circumstances.now) {
			const member = state.table.members.get(id)!;
			effects.push(updateMember(state, {...member, state: 'dead'}, circumstances));
		} else if (suspicion.nextCheckAt <= circumstances.now) {
			effects.push(...checkSuspicion(state, id, suspicion, circumstances));
		}
	}

	return effects;
}

function getDeadline({startedAt, ownProbeFailedAt, suspectedBy}: Suspicion): number {
	if (ownProbeFailedAt === undefined) {
		return startedAt + RECEIVED_SUSPICION_TIMEOUT_MILLISECONDS;
	}

	const confirmations = Math.min(SUSPICION_CONFIRMATIONS, suspectedBy.size - 1);
	const fraction = Math.log(confirmations + 1) / Math.log(SUSPICION_CONFIRMATIONS + 1);
	const timeoutMilliseconds = MAX_SUSPICION_MILLISECONDS - (fraction * (MAX_SUSPICION_MILLISECONDS - MIN_SUSPICION_MILLISECONDS));
	return Math.max(startedAt + timeoutMilliseconds, ownProbeFailedAt + MIN_SUSPICION_MILLISECONDS);
}

function checkSuspicion(
	state: MembershipState,
	id: core.HostId,
	suspicion: Suspicion,
	{now, random}: core.Circumstances,
): readonly Effect[] {
	suspicion.nextCheckAt = now + SUSPICION_CHECK_INTERVAL_MILLISECONDS;
	return pickMembers(state, 1, random, member => member.id === id)
		.map(member => sendMessage(state, member.peerAddress, {kind: 'fetch', ids: [id]}));
}
