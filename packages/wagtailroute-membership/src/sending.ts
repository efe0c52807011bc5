/**
Creation of messages, and the choice of their receivers.
*/
import * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {selectUpdates} from './dissemination.ts';
import type {Member} from './members.ts';
import type {
	Effect,
	Message,
	MessageBody,
	Update,
} from './messages.ts';
import type {MembershipState} from './state.ts';
import {listPresentIds} from './table.ts';
import {encodeSender, encodeUpdate} from './wire.ts';

/**
Sends a message with as many queued updates as fit.
*/
export function sendWithQueuedUpdates(state: MembershipState, to: core.Address, body: MessageBody): Effect {
	return sendMessage(state, to, body, selectUpdates(state.updateQueue, state.table.members.size));
}

/**
Sends a message with the given updates. A message whose body needs the space carries none.
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
Picks up to `count` different present hosts at random, without this host and the excluded ones.
*/
export function pickMembers(
	state: MembershipState,
	count: number,
	random: utils.Random,
	isExcluded: (member: Member) => boolean = () => false,
): readonly Member[] {
	const ids = listPresentIds(state.table);
	// The list is empty when this host has left and knows no other present host.
	if (ids.length === 0) {
		return [];
	}

	const picked = new Set<Member>();
	// The number of draws is bounded: a large fleet needs no scan, and in a small one nearly all hosts are found.
	for (let draws = count * 8; draws > 0 && picked.size < count; draws--) {
		const member = state.table.members.get(ids[utils.pickIndex(random, ids.length)]!)!;
		if (member.id !== state.self.id && !isExcluded(member)) {
			picked.add(member);
		}
	}

	return [...picked];
}

/**
Returns the peer addresses of the seeds that are neither this host nor another present host.
*/
export function getUnknownSeeds(state: MembershipState): readonly core.Address[] {
	const present = listPresentIds(state.table).map(id => state.table.members.get(id)!);
	const addresses = new Set(present.map(member => core.formatAddress(member.peerAddress)));
	return state.config.seeds.filter(seed => !addresses.has(core.formatAddress(seed)));
}

/**
Creates an update from a known record. A suspicion names a host whose own probe failed: a host that only received the
suspicion doesn't count as a confirmation.
*/
export function createMemberUpdate(state: MembershipState, member: Member): Update {
	const [witness] = state.suspicions.get(member.id)?.suspectedBy ?? [];
	return encodeUpdate(member, witness ?? state.self.id);
}
