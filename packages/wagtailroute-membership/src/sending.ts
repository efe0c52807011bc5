/**
Sending of messages, and the choice of their receivers.
*/
import * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {selectUpdates} from './dissemination.ts';
import type {Member} from './members.ts';
import type {
	MessageBody,
	Effect,
	Message,
	Update,
} from './messages.ts';
import type {MembershipState} from './state.ts';
import {listPresentIds} from './table.ts';
import {encodeSender, encodeUpdate} from './wire.ts';

/**
Sends a message with the news that fit.
*/
export function sendWithQueuedUpdates(state: MembershipState, to: core.Address, body: MessageBody): Effect {
	return sendMessage(state, to, body, selectUpdates(state.updateQueue, state.table.members.size));
}

/**
Sends a message with the given updates, none for a message that has no room for any.
*/
export function sendMessage(
	state: MembershipState,
	to: core.Address,
	body: MessageBody,
	updates: readonly Update[] = [],
): Effect {
	const message: Message = {...body, from: encodeSender(state.self), ...(updates.length > 0) && {updates}};
	return {kind: 'send', to, message};
}

/**
Picks up to `count` different hosts taken for running, other than this one and those excluded.
*/
export function pickMembers(
	state: MembershipState,
	count: number,
	random: utils.Random,
	isExcluded: (member: Member) => boolean = () => false,
): readonly Member[] {
	const ids = listPresentIds(state.table);
	// A host that leaves is no longer listed: alone, it finds nobody to tell.
	if (ids.length === 0) {
		return [];
	}

	const picked = new Set<Member>();
	// A bounded number of draws: in a large fleet it costs no search, in a small one it finds nearly all.
	for (let draws = count * 8; draws > 0 && picked.size < count; draws--) {
		const member = state.table.members.get(ids[utils.pickIndex(random, ids.length)]!)!;
		if (member.id !== state.self.id && !isExcluded(member)) {
			picked.add(member);
		}
	}

	return [...picked];
}

/**
The peer addresses of the seeds that are neither this host nor a host known to run.
*/
export function getUnknownSeeds(state: MembershipState): readonly core.Address[] {
	const present = listPresentIds(state.table).map(id => state.table.members.get(id)!);
	const addresses = new Set(present.map(member => core.formatAddress(member.peerAddress)));
	return state.config.seeds.filter(seed => !addresses.has(core.formatAddress(seed)));
}

/**
Writes what this host knows of another. A suspicion is passed on under the name of a host whose own probe failed: one
that only heard of it is no further witness.
*/
export function createMemberUpdate(state: MembershipState, member: Member): Update {
	const [witness] = state.suspicions.get(member.id)?.suspectedBy ?? [];
	return encodeUpdate(member, witness ?? state.self.id);
}
