/**
Deltas: a record that changed is sent to every other carrier at once, and again until it is acknowledged.
*/
import type * as core from 'wagtailroute-core';
import {
	MAX_ATTEMPTS,
	MAX_LEASES_PER_MESSAGE,
	MAX_PENDING_PER_PEER,
	RESEND_MILLISECONDS,
} from './constants.ts';
import type {Lease} from './leases.ts';
import type {Effect, LeaseVersion} from './messages.ts';
import type {AnnouncementState, Peer, ServiceTable} from './state.ts';

/**
Returns what this host owes a peer, created when missing.
*/
export function openPeer(state: AnnouncementState, id: core.HostId, nextDigestAt: number): Peer {
	const peer = state.peers.get(id) ?? {services: new Set(), pending: new Map(), nextDigestAt};
	state.peers.set(id, peer);
	return peer;
}

/**
Sends a record to all other carriers of its service, to be sent again until they acknowledge it.
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

		const {pending} = openPeer(state, id, now);
		pending.delete(getKey(lease));
		pending.set(getKey(lease), {lease, attempts: 1, nextAt: now + RESEND_MILLISECONDS});
		boundPending(pending);
		effects.push({kind: 'send', to: id, message: {kind: 'delta', leases: [lease]}});
	}

	return effects;
}

/**
Passes on, once, what changed for the hosts that send work, as heard from another host. Without it, a host that only the
sender can't reach would go on sending work to a server that is going: its requests would fail, and no retransmission
would ever reach it.
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
Takes note of what a peer has.
*/
export function acknowledgeVersions(
	state: AnnouncementState,
	from: core.HostId,
	versions: readonly LeaseVersion[],
): void {
	const pending = state.peers.get(from)?.pending;
	for (const version of versions) {
		const waiting = pending?.get(getKey(version));
		if (waiting && waiting.lease.version <= version.version) {
			pending?.delete(getKey(version));
		}
	}
}

/**
Sends unacknowledged deltas again, in one message a peer.
*/
export function resendDeltas(state: AnnouncementState, now: number): readonly Effect[] {
	const effects: Effect[] = [];
	for (const [id, peer] of state.peers) {
		const leases = takeDueLeases(peer, now);
		if (leases.length > 0) {
			effects.push({kind: 'send', to: id, message: {kind: 'delta', leases}});
		}
	}

	return effects;
}

function takeDueLeases(peer: Peer, now: number): readonly Lease[] {
	const leases: Lease[] = [];
	for (const [key, delta] of peer.pending) {
		if (delta.nextAt > now || leases.length >= MAX_LEASES_PER_MESSAGE) {
			continue;
		}

		if (delta.attempts >= MAX_ATTEMPTS) {
			peer.pending.delete(key);
			continue;
		}

		delta.nextAt = now + (RESEND_MILLISECONDS * (2 ** delta.attempts));
		delta.attempts++;
		leases.push(delta.lease);
	}

	return leases;
}

function boundPending(pending: Map<string, unknown>): void {
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
