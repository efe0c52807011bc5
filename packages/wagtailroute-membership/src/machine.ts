/**
The machine of membership: events to effects, by tables of handlers.
*/
import type * as core from 'wagtailroute-core';
import {
	FORGET_SCAN_MILLISECONDS,
	GOSSIP_FANOUT,
	GOSSIP_MILLISECONDS,
	PAUSE_MILLISECONDS,
} from './constants.ts';
import {
	answerDigest,
	answerFetch,
	compareVersions,
	runExchange,
	runReconnect,
	takeSame,
} from './exchange.ts';
import type {Effect, Event, Message} from './messages.ts';
import {changeSelf, describeSelf, takeNews} from './news.ts';
import {
	answerPing,
	relayPing,
	runProbe,
	takeAck,
	takeRelaying,
} from './probing.ts';
import {takeSender} from './senders.ts';
import {pickMembers, sendNews, sendWith} from './sending.ts';
import type {MembershipState} from './state.ts';
import {runSuspicions} from './suspicion.ts';
import {forgetMembers, storeMember} from './table.ts';
import {parseAddress} from './wire.ts';

// Hosts that a leaving host tells itself, besides the gossip.
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
	ack: takeAck,
	request: relayPing,
	relaying: takeRelaying,
	gossip: () => [],
	digest: (state, message, {random}) => answerDigest(state, message, random),
	same: takeSame,
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
Handles an event. The state that it returns is the one given, see the table.
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
		...runForget(state, circumstances.now),
	];
}

/**
Starts the waits anew after a pause of this process (a long garbage collection, a stopped virtual machine). The answers
and objections that came meanwhile still wait in the socket: without this, the first tick would declare dead whoever was
suspected before, and the whole fleet would see running hosts die whenever a host wakes up.
*/
function resumeAfterPause(state: MembershipState, now: number): void {
	const last = state.lastTickAt ?? now;
	state.lastTickAt = now;
	if (now - last < PAUSE_MILLISECONDS) {
		return;
	}

	state.probe = undefined;
	for (const suspicion of state.suspicions.values()) {
		suspicion.startedAt = now;
		suspicion.ownSince &&= now;
	}
}

function receiveMessage(
	state: MembershipState,
	message: Message,
	circumstances: core.Circumstances,
): readonly Effect[] {
	// A host's own messages come back when a seed is its own address under another name.
	if (message.from.id === state.self.id && message.from.boot === state.self.boot) {
		return [];
	}

	const {incarnation} = state.self;
	const news = takeNews(state, message.updates ?? [], circumstances);
	// Whoever was wrong about this host hears it first: it may be on the other side of a healed partition.
	const objection = state.self.incarnation > incarnation
		? [sendWith(state, parseAddress(message.from.peer), {kind: 'gossip'}, [describeSelf(state)])]
		: [];
	const handler = MESSAGE_HANDLERS[message.kind];
	return [
		...news,
		...objection,
		...takeSender(state, message.from),
		...handler(state, message as never, circumstances),
	];
}

function updateSelf(
	state: MembershipState,
	event: Extract<Event, {readonly kind: 'update-self'}>,
): readonly Effect[] {
	const {draining = state.self.draining, load = state.self.load} = event;
	const catalogueRevision = Math.max(state.self.catalogueRevision, event.catalogueRevision ?? 0);
	// Revision and load travel with each message anyhow: no news for them, 2,400 hosts change their load every second.
	if (draining !== state.self.draining) {
		return [changeSelf(state, {draining, load, catalogueRevision})];
	}

	state.self = {...state.self, load, catalogueRevision};
	storeMember(state.table, state.self, 0);
	return [];
}

function leaveFleet(state: MembershipState, random: () => number): readonly Effect[] {
	const change = changeSelf(state, {state: 'left'});
	const told = pickMembers(state, LEAVE_FANOUT, random);
	const update = describeSelf(state);
	return [change, ...told.map(member => sendWith(state, member.peerAddress, {kind: 'gossip'}, [update]))];
}

function runGossip(state: MembershipState, {now, random}: core.Circumstances): readonly Effect[] {
	if (state.updates.size === 0 || state.nextGossipAt > now) {
		return [];
	}

	state.nextGossipAt = now + GOSSIP_MILLISECONDS;
	return pickMembers(state, GOSSIP_FANOUT, random)
		.map(member => sendNews(state, member.peerAddress, {kind: 'gossip'}));
}

function runForget(state: MembershipState, now: number): readonly Effect[] {
	if (state.nextForgetAt > now) {
		return [];
	}

	state.nextForgetAt = now + FORGET_SCAN_MILLISECONDS;
	return forgetMembers(state.table, now).map(id => ({kind: 'forgotten', id}));
}
