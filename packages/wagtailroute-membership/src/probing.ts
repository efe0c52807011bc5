/**
Probes. Each host probes one other at a time, in random order, so that the cost a host is constant and each is probed
within one pass.

An answer must come back to count: hearing from a host says nothing about being heard by it. The target is pinged several
times directly, and by others on this host's behalf. An answer only by way of others leaves the host alive for everyone
and marks a path fault in this host's own view. No answer at all makes it suspected, unless no other host answered
either: then it is this host that is cut off, and it accuses nobody.
*/
import * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	FEW_HOSTS,
	HELPER_MILLISECONDS,
	HELPERS,
	MAX_HEALTH_SCORE,
	MAX_RELAYS,
	PING_MILLISECONDS,
	PROBE_INTERVAL_MILLISECONDS,
	PROBE_MILLISECONDS,
} from './constants.ts';
import {isPresent, type Member} from './members.ts';
import type {Effect, Message} from './messages.ts';
import {takeSuspicion} from './news.ts';
import {
	pickMembers,
	sendNews,
	sendWith,
	describeMember,
} from './sending.ts';
import type {MembershipState, Probe} from './state.ts';
import {listPresent} from './table.ts';
import {pickTarget} from './targets.ts';
import {parseAddress} from './wire.ts';

/**
Starts, continues or ends the probe, as the time says.
*/
export function runProbe(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	state.nextProbeAt ??= circumstances.now + (circumstances.random() * PROBE_INTERVAL_MILLISECONDS);
	const ended = endProbe(state, circumstances);
	if (!state.probe && state.nextProbeAt <= circumstances.now) {
		startProbe(state, circumstances);
	}

	return [...ended, ...continueProbe(state, circumstances)];
}

/**
Answers a ping that is meant for this host.
*/
export function answerPing(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'ping'}>,
): readonly Effect[] {
	return message.target === state.self.id ? [sendNews(state, parseAddress(message.from.peer), {kind: 'ack', sequence: message.sequence})] : [];
}

/**
Takes an answer to a ping of this host, be it its own or on behalf of another.
*/
export function takeAck(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'ack'}>,
): readonly Effect[] {
	const relay = state.relays.get(message.sequence);
	if (relay?.target === message.from.id) {
		state.relays.delete(message.sequence);
		return [sendNews(state, relay.origin, {kind: 'ack', sequence: relay.sequence, target: relay.target})];
	}

	const {probe} = state;
	if (probe?.sequence !== message.sequence) {
		return [];
	}

	if (message.target === probe.target) {
		probe.isAcknowledged = true;
		probe.isAnswered = true;
	} else if (message.from.id === probe.target) {
		completeProbe(state, probe);
	}

	return [];
}

/**
Pings a host on behalf of another.
*/
export function relayPing(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'request'}>,
): readonly Effect[] {
	const origin = parseAddress(message.from.peer);
	const sequence = takeSequence(state);
	state.relays.set(sequence, {origin, sequence: message.sequence, target: message.target});
	for (const oldest of state.relays.keys()) {
		if (state.relays.size <= MAX_RELAYS) {
			break;
		}

		state.relays.delete(oldest);
	}

	return [
		sendNews(state, origin, {kind: 'relaying', sequence: message.sequence}),
		sendNews(state, parseAddress(message.address), {kind: 'ping', target: message.target, sequence}),
	];
}

/**
Takes a helper's word that it was asked.
*/
export function takeRelaying(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'relaying'}>,
): readonly Effect[] {
	if (state.probe?.sequence === message.sequence) {
		state.probe.isAnswered = true;
	}

	return [];
}

function startProbe(state: MembershipState, {now, random}: core.Circumstances): void {
	const target = pickTarget(state, random);
	state.nextProbeAt = now + PROBE_INTERVAL_MILLISECONDS;
	if (target === undefined) {
		return;
	}

	state.probes++;
	state.probe = {
		target,
		sequence: takeSequence(state),
		startedAt: now,
		stretch: 1 + state.health,
		nextPingAt: now,
		requestRounds: 0,
		helpers: new Set(),
		isAcknowledged: false,
		isAnswered: false,
	};
}

function continueProbe(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	const {probe} = state;
	const target = probe && state.table.members.get(probe.target);
	if (!probe || !target || probe.nextPingAt > circumstances.now) {
		return [];
	}

	probe.nextPingAt += PING_MILLISECONDS * probe.stretch;
	const ping = pingTarget(state, probe, target);
	const requestAt = HELPER_MILLISECONDS[probe.requestRounds];
	if (requestAt === undefined || circumstances.now - probe.startedAt < requestAt * probe.stretch) {
		return [ping];
	}

	probe.requestRounds++;
	return [ping, ...askHelpers(state, probe, target, circumstances.random)];
}

// A suspected host is told with the ping, so that it can object at once.
function pingTarget(state: MembershipState, probe: Probe, target: Member): Effect {
	const content = {kind: 'ping', target: target.id, sequence: probe.sequence} as const;
	return target.state === 'suspect'
		? sendWith(state, target.peerAddress, content, [describeMember(state, target)])
		: sendNews(state, target.peerAddress, content);
}

function askHelpers(
	state: MembershipState,
	probe: Probe,
	target: Member,
	random: utils.Random,
): readonly Effect[] {
	const isExcluded = (member: Member): boolean => member.id === target.id
		|| member.state === 'suspect'
		|| probe.helpers.has(member.id);
	const near = pickMembers(
		state,
		1,
		random,
		member => isExcluded(member) || member.failureDomain !== target.failureDomain,
	);
	const others = pickMembers(state, HELPERS, random, member => isExcluded(member) || near.includes(member));
	const helpers = [...near, ...others].slice(0, HELPERS);
	for (const helper of helpers) {
		probe.helpers.add(helper.id);
	}

	return helpers.map(helper => sendNews(state, helper.peerAddress, {
		kind: 'request',
		target: target.id,
		address: core.formatAddress(target.peerAddress),
		sequence: probe.sequence,
	}));
}

function completeProbe(state: MembershipState, probe: Probe): void {
	state.faults.delete(probe.target);
	state.probe = undefined;
	state.isIsolated = false;
	state.health = Math.max(0, state.health - 1);
}

function endProbe(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	const {probe} = state;
	if (!probe || circumstances.now - probe.startedAt < PROBE_MILLISECONDS * probe.stretch) {
		return [];
	}

	state.probe = undefined;
	const target = state.table.members.get(probe.target);
	if (!target || !isPresent(target)) {
		return [];
	}

	state.isIsolated = !probe.isAnswered && listPresent(state.table).length - 1 > FEW_HOSTS;
	if (probe.isAcknowledged || state.isIsolated) {
		state.faults.add(target.id);
	}

	if (probe.isAcknowledged) {
		return [];
	}

	if (state.isIsolated) {
		state.health = Math.min(MAX_HEALTH_SCORE, state.health + 1);
		return [];
	}

	const suspicion = {id: target.id, incarnation: target.incarnation, by: state.self.id};
	return takeSuspicion(state, suspicion, circumstances);
}

function takeSequence(state: MembershipState): number {
	state.sequence++;
	return state.sequence;
}
