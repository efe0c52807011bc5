/**
Deltas: a changed lease is sent to every other carrier at once, and again until it is acknowledged.
*/
import type * as core from 'wagtailroute-core';
import {
	INITIAL_RESEND_DELAY_MILLISECONDS,
	MAX_DELTA_ATTEMPTS,
	MAX_LEASES_PER_MESSAGE,
	MAX_PENDING_PER_PEER,
} from './constants.ts';
import type {Lease} from './leases.ts';
import type {Effect, LeaseVersion} from './messages.ts';
import type {AnnouncementState, Peer, ServiceTable} from './state.ts';

/**
Returns the state of a peer, created if missing.
*/
export function getOrCreatePeer(state: AnnouncementState, id: core.HostId, nextDigestAt: number): Peer {
	const peer = state.peers.get(id) ?? {services: new Set(), pending: new Map(), nextDigestAt};
	state.peers.set(id, peer);
	return peer;
}

/**
Sends a lease to all other carriers of its service, and again until they acknowledge it.
*/
export function replicateLease(
	state: AnnouncementState,
	table: ServiceTable,
	lease: Lease,
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	for (const id of table.carriers) {
		if (id === state.self) {
			continue;
		}

		const {pending} = getOrCreatePeer(state, id, now);
		pending.delete(getKey(lease));
		pending.set(getKey(lease), {lease, attempts: 1, nextAt: now + INITIAL_RESEND_DELAY_MILLISECONDS});
		evictPending(pending);
		effects.push({kind: 'send', to: id, message: {kind: 'delta', leases: [lease]}});
	}

	return effects;
}

/**
Relays a lease received from another host to the other carriers, once. Without it, a carrier that only the sender can't
reach would go on sending work to a server that is shutting down: its requests would fail, and no retransmission would
ever reach that carrier.
*/
export function relayLease(
	state: AnnouncementState,
	table: ServiceTable,
	lease: Lease,
	from: core.HostId,
): readonly Effect[] {
	return table.carriers
		.filter(id => id !== state.self && id !== from && id !== lease.holder)
		.map(id => ({kind: 'send', to: id, message: {kind: 'delta', leases: [lease]}}));
}

/**
Removes the pending deltas that a peer has acknowledged.
*/
export function applyAcknowledgement(
	state: AnnouncementState,
	from: core.HostId,
	versions: readonly LeaseVersion[],
): void {
	const pending = state.peers.get(from)?.pending;
	for (const version of versions) {
		const delta = pending?.get(getKey(version));
		if (delta && delta.lease.version <= version.version) {
			pending?.delete(getKey(version));
		}
	}
}

/**
Sends unacknowledged deltas again, in one message per peer.
*/
export function resendDeltas(state: AnnouncementState, now: number): readonly Effect[] {
	const effects: Effect[] = [];
	for (const [id, peer] of state.peers) {
		const leases = collectDueLeases(peer, now);
		if (leases.length > 0) {
			effects.push({kind: 'send', to: id, message: {kind: 'delta', leases}});
		}
	}

	return effects;
}

function collectDueLeases(peer: Peer, now: number): readonly Lease[] {
	const leases: Lease[] = [];
	for (const [key, delta] of peer.pending) {
		if (delta.nextAt > now || leases.length >= MAX_LEASES_PER_MESSAGE) {
			continue;
		}

		if (delta.attempts >= MAX_DELTA_ATTEMPTS) {
			peer.pending.delete(key);
			continue;
		}

		delta.nextAt = now + (INITIAL_RESEND_DELAY_MILLISECONDS * (2 ** delta.attempts));
		delta.attempts++;
		leases.push(delta.lease);
	}

	return leases;
}

function evictPending(pending: Map<string, unknown>): void {
	for (const key of pending.keys()) {
		if (pending.size <= MAX_PENDING_PER_PEER) {
			return;
		}

		pending.delete(key);
	}
}

function getKey(lease: Pick<Lease, 'service' | 'id'>): string {
	return `${lease.service} ${lease.id}`;
}
