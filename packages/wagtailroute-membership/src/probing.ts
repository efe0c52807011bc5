/**
Probes. Each host probes one other host at a time, in random order, so that the cost per host is constant and every host
is probed once in each pass.

Only the answer to a ping counts: a message from a host doesn't show that messages reach it. The target is pinged several
times directly, and by relays on this host's behalf. When only a relayed ping is answered, the target stays alive for the
whole fleet, and this host records a path fault to it. Without any answer the target is suspected, unless no relay
answered either: then this host itself is isolated and suspects nobody.
*/
import * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {
	MAX_HOSTS_WITHOUT_ISOLATION_CHECK,
	MAX_LOCAL_HEALTH_SCORE,
	MAX_RELAYED_PINGS,
	PING_INTERVAL_MILLISECONDS,
	PING_REQUEST_DELAYS_MILLISECONDS,
	PING_REQUEST_FANOUT,
	PROBE_INTERVAL_MILLISECONDS,
	PROBE_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import {isPresent, type Member} from './members.ts';
import type {Effect, Message} from './messages.ts';
import {applySuspicion} from './updates.ts';
import {
	createMemberUpdate,
	pickMembers,
	sendMessage,
	sendWithQueuedUpdates,
} from './sending.ts';
import type {MembershipState, Probe} from './state.ts';
import {listPresentIds} from './table.ts';
import {pickProbeTarget} from './targets.ts';
import {parseAddress} from './wire.ts';

/**
Ends the probe that timed out, continues the one in progress, and starts the next when it is due.
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
Answers a ping whose target is this host, and ignores others.
*/
export function answerPing(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'ping'}>,
): readonly Effect[] {
	return message.target === state.self.id ? [sendWithQueuedUpdates(state, parseAddress(message.from.peer), {kind: 'ack', sequence: message.sequence})] : [];
}

/**
Handles the answer to a ping: forwards it for a relayed ping, else matches it to the probe in progress.
*/
export function handleAck(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'ack'}>,
): readonly Effect[] {
	const relayedPing = state.relayedPings.get(message.sequence);
	if (relayedPing?.target === message.from.id) {
		state.relayedPings.delete(message.sequence);
		return [sendWithQueuedUpdates(state, relayedPing.requesterAddress, {kind: 'ack', sequence: relayedPing.requesterSequence, target: relayedPing.target})];
	}

	const {probe} = state;
	if (probe?.sequence !== message.sequence) {
		return [];
	}

	if (message.target === probe.target) {
		probe.hasIndirectAck = true;
		probe.hasRelayResponse = true;
	} else if (message.from.id === probe.target) {
		completeProbe(state, probe);
	}

	return [];
}

/**
Handles a ping request: confirms it and pings the target on the requester's behalf.
*/
export function relayPing(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'request'}>,
): readonly Effect[] {
	const requesterAddress = parseAddress(message.from.peer);
	const sequence = allocateSequence(state);
	state.relayedPings.set(sequence, {requesterAddress, requesterSequence: message.sequence, target: message.target});
	for (const oldestSequence of state.relayedPings.keys()) {
		if (state.relayedPings.size <= MAX_RELAYED_PINGS) {
			break;
		}

		state.relayedPings.delete(oldestSequence);
	}

	return [
		sendWithQueuedUpdates(state, requesterAddress, {kind: 'relaying', sequence: message.sequence}),
		sendWithQueuedUpdates(state, parseAddress(message.address), {kind: 'ping', target: message.target, sequence}),
	];
}

/**
Handles a relay's confirmation that it received a ping request.
*/
export function handleRelaying(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'relaying'}>,
): readonly Effect[] {
	if (state.probe?.sequence === message.sequence) {
		state.probe.hasRelayResponse = true;
	}

	return [];
}

function startProbe(state: MembershipState, {now, random}: core.Circumstances): void {
	const target = pickProbeTarget(state, random);
	state.nextProbeAt = now + PROBE_INTERVAL_MILLISECONDS;
	if (target === undefined) {
		return;
	}

	state.probeCount++;
	state.probe = {
		target,
		sequence: allocateSequence(state),
		startedAt: now,
		timeoutMultiplier: 1 + state.localHealthScore,
		nextPingAt: now,
		pingRequestRounds: 0,
		relayIds: new Set(),
		hasIndirectAck: false,
		hasRelayResponse: false,
	};
}

function continueProbe(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	const {probe} = state;
	const target = probe && state.table.members.get(probe.target);
	if (!probe || !target || probe.nextPingAt > circumstances.now) {
		return [];
	}

	probe.nextPingAt += PING_INTERVAL_MILLISECONDS * probe.timeoutMultiplier;
	const ping = pingTarget(state, probe, target);
	const requestDelay = PING_REQUEST_DELAYS_MILLISECONDS[probe.pingRequestRounds];
	if (requestDelay === undefined || circumstances.now - probe.startedAt < requestDelay * probe.timeoutMultiplier) {
		return [ping];
	}

	probe.pingRequestRounds++;
	return [ping, ...sendPingRequests(state, probe, target, circumstances.random)];
}

// The ping to a suspected host carries the suspicion, so that the host can refute it at once.
function pingTarget(state: MembershipState, probe: Probe, target: Member): Effect {
	const body = {kind: 'ping', target: target.id, sequence: probe.sequence} as const;
	return target.state === 'suspect'
		? sendMessage(state, target.peerAddress, body, [createMemberUpdate(state, target)])
		: sendWithQueuedUpdates(state, target.peerAddress, body);
}

function sendPingRequests(
	state: MembershipState,
	probe: Probe,
	target: Member,
	random: utils.Random,
): readonly Effect[] {
	const isExcluded = (member: Member): boolean => member.id === target.id
		|| member.state === 'suspect'
		|| probe.relayIds.has(member.id);
	const domainRelays = pickMembers(
		state,
		1,
		random,
		member => isExcluded(member) || member.failureDomain !== target.failureDomain,
	);
	const otherRelays = pickMembers(state, PING_REQUEST_FANOUT, random, member => isExcluded(member) || domainRelays.includes(member));
	const relays = [...domainRelays, ...otherRelays].slice(0, PING_REQUEST_FANOUT);
	for (const relay of relays) {
		probe.relayIds.add(relay.id);
	}

	return relays.map(relay => sendWithQueuedUpdates(state, relay.peerAddress, {
		kind: 'request',
		target: target.id,
		address: core.formatAddress(target.peerAddress),
		sequence: probe.sequence,
	}));
}

function completeProbe(state: MembershipState, probe: Probe): void {
	state.pathFaults.delete(probe.target);
	state.probe = undefined;
	state.isIsolated = false;
	state.localHealthScore = Math.max(0, state.localHealthScore - 1);
}

function endProbe(state: MembershipState, circumstances: core.Circumstances): readonly Effect[] {
	const {probe} = state;
	if (!probe || circumstances.now - probe.startedAt < PROBE_TIMEOUT_MILLISECONDS * probe.timeoutMultiplier) {
		return [];
	}

	state.probe = undefined;
	const target = state.table.members.get(probe.target);
	if (!target || !isPresent(target)) {
		return [];
	}

	state.isIsolated = !probe.hasRelayResponse && listPresentIds(state.table).length - 1 > MAX_HOSTS_WITHOUT_ISOLATION_CHECK;
	if (probe.hasIndirectAck || state.isIsolated) {
		state.pathFaults.add(target.id);
	}

	if (probe.hasIndirectAck) {
		return [];
	}

	if (state.isIsolated) {
		state.localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, state.localHealthScore + 1);
		return [];
	}

	const suspicion = {id: target.id, incarnation: target.incarnation, by: state.self.id};
	return applySuspicion(state, suspicion, circumstances);
}

function allocateSequence(state: MembershipState): number {
	state.lastSequence++;
	return state.lastSequence;
}
