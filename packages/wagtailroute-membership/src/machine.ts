/**
The state machine of membership: tables of handlers map events and messages to effects.
*/
import type * as core from 'wagtailroute-core';
import {
	EXPIRY_SCAN_INTERVAL_MILLISECONDS,
	GOSSIP_FANOUT,
	GOSSIP_INTERVAL_MILLISECONDS,
	MIN_PAUSE_MILLISECONDS,
} from './constants.ts';
import {
	answerDigest,
	answerFetch,
	compareVersions,
	handleSame,
	runExchange,
	runReconnect,
} from './exchange.ts';
import type {Effect, Event, Message} from './messages.ts';
import {applyUpdates, createOwnUpdate, updateOwnRecord} from './updates.ts';
import {
	answerPing,
	handleAck,
	handleRelaying,
	relayPing,
	runProbe,
} from './probing.ts';
import {handleSender} from './senders.ts';
import {pickMembers, sendMessage, sendWithQueuedUpdates} from './sending.ts';
import type {MembershipState} from './state.ts';
import {runSuspicions} from './suspicion.ts';
import {expireMembers, storeMember} from './table.ts';
import {parseAddress} from './wire.ts';

// Hosts that a leaving host notifies directly, besides the gossip.
const LEAVE_FANOUT = 8;

type MessageHandlers = {
	readonly [Kind in Message['kind']]: (
		state: MembershipState,
		message: Extract<Message, {readonly kind: Kind}>,
		circumstances: core.Circumstances,
	) => readonly Effect[];
};

type EventHandlers = {
	readonly [Kind in Event['kind']]: (
		state: MembershipState,
		event: Extract<Event, {readonly kind: Kind}>,
		circumstances: core.Circumstances,
	) => readonly Effect[];
};

const MESSAGE_HANDLERS: MessageHandlers = {
	ping: answerPing,
	ack: handleAck,
	request: relayPing,
	relaying: handleRelaying,
	gossip: () => [],
	digest: (state, message, {random}) => answerDigest(state, message, random),
	same: handleSame,
	versions: compareVersions,
	fetch: answerFetch,
};

const EVENT_HANDLERS: EventHandlers = {
	tick: (state, _event, circumstances) => runTick(state, circumstances),
	receive: (state, event, circumstances) => receiveMessage(state, event.message, circumstances),
	'update-self': updateSelf,
	leave: (state, _event, {random}) => leaveFleet(state, random),
};

/**
Handles an event. Returns the given state, which is mutable; see the table for the reason.
*/
export const stepMembership: core.Step<MembershipState, Event, Effect> = (state, event, circumstances) => {
	const handler = EVENT_HANDLERS[event.kind];
	return {state, effects: handler(state, event as never, circumstances)};
};

function runTick(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	resumeAfterPause(state, circumstances.now);
	if (state.self.state === 'left') {
		return runGossip(state, circumstances);
	}

	return [
		...runProbe(state, circumstances),
		...runSuspicions(state, circumstances),
		...runGossip(state, circumstances),
		...runExchange(state, circumstances),
		...runReconnect(state, circumstances),
		...runExpiry(state, circumstances.now),
	];
}

/**
Drops the probe and restarts the suspicion timeouts after a pause of this process (a long garbage collection, a stopped
virtual machine). Answers and refutations that arrived during the pause are still unread in the socket: without this, the
first tick would declare all suspected hosts dead, and the whole fleet would see running hosts die after each pause.
*/
function resumeAfterPause(state: MembershipState, now: number): void {
	const lastTickAt = state.lastTickAt ?? now;
	state.lastTickAt = now;
	if (now - lastTickAt < MIN_PAUSE_MILLISECONDS) {
		return;
	}

	state.probe = undefined;
	for (const suspicion of state.suspicions.values()) {
		suspicion.startedAt = now;
		suspicion.ownProbeFailedAt &&= now;
	}
}

function receiveMessage(
	state: MembershipState,
	message: Message,
	circumstances: core.Circumstances,
): readonly Effect[] {
	// A host receives its own messages when a seed is its own address in another form.
	if (message.from.id === state.self.id && message.from.boot === state.self.boot) {
		return [];
	}

	const {incarnation} = state.self;
	const effects = applyUpdates(state, message.updates ?? [], circumstances);
	// The sender of the wrong update gets the refutation directly: it may be on the other side of a healed partition.
	const refutation = state.self.incarnation > incarnation
		? [sendMessage(state, parseAddress(message.from.peer), {kind: 'gossip'}, [createOwnUpdate(state)])]
		: [];
	const handler = MESSAGE_HANDLERS[message.kind];
	return [
		...effects,
		...refutation,
		...handleSender(state, message.from),
		...handler(state, message as never, circumstances),
	];
}

function updateSelf(
	state: MembershipState,
	event: Extract<Event, {readonly kind: 'update-self'}>,
): readonly Effect[] {
	const {draining = state.self.draining, load = state.self.load} = event;
	const catalogueRevision = Math.max(state.self.catalogueRevision, event.catalogueRevision ?? 0);
	// Every message carries the sender's revision and load, so no update is queued for them: 2,400 hosts change their load
	// every second.
	if (draining !== state.self.draining) {
		return [updateOwnRecord(state, {draining, load, catalogueRevision})];
	}

	state.self = {...state.self, load, catalogueRevision};
	storeMember(state.table, state.self, 0);
	return [];
}

function leaveFleet(state: MembershipState, random: () => number): readonly Effect[] {
	const change = updateOwnRecord(state, {state: 'left'});
	const receivers = pickMembers(state, LEAVE_FANOUT, random);
	const update = createOwnUpdate(state);
	return [change, ...receivers.map(member => sendMessage(state, member.peerAddress, {kind: 'gossip'}, [update]))];
}

function runGossip(state: MembershipState, {now, random}: core.Circumstances): readonly Effect[] {
	if (state.updateQueue.size === 0 || state.nextGossipAt > now) {
		return [];
	}

	state.nextGossipAt = now + GOSSIP_INTERVAL_MILLISECONDS;
	return pickMembers(state, GOSSIP_FANOUT, random)
		.map(member => sendWithQueuedUpdates(state, member.peerAddress, {kind: 'gossip'}));
}

function runExpiry(state: MembershipState, now: number): readonly Effect[] {
	if (state.nextExpiryScanAt > now) {
		return [];
	}

	state.nextExpiryScanAt = now + EXPIRY_SCAN_INTERVAL_MILLISECONDS;
	return expireMembers(state.table, now).map(id => ({kind: 'forgotten', id}));
}
