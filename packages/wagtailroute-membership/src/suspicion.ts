/**
Suspicions that run out.

A suspected host has some seconds to object. The more hosts suspect it on their own, the shorter: a host that nobody can
reach is dead soon, while a single host with a bad connection convinces nobody for long.

Only hosts whose own probe failed declare another dead, and they ask a third one first. The others wait for that word:
one in a thousand hosts misses an objection under loss, and if each of these declared the host dead, every suspicion in a
large fleet would end in a false death. Only when no word comes for long, because the hosts that suspected it are gone
as well, do the others declare it.
*/
import type * as core from 'wagtailroute-core';
import {
	SUSPICION_CONFIRMATIONS,
	SUSPICION_CHECK_INTERVAL_MILLISECONDS,
	RECEIVED_SUSPICION_TIMEOUT_MILLISECONDS,
	MAX_SUSPICION_MILLISECONDS,
	MIN_SUSPICION_MILLISECONDS,
} from './constants.ts';
import type {Effect} from './messages.ts';
import {updateMember} from './updates.ts';
import {pickMembers, sendMessage} from './sending.ts';
import type {MembershipState, Suspicion} from './state.ts';

/**
Declares dead the hosts that didn't object in time.
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
