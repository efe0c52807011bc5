/**
Digests: at intervals, a holder confirms to the other carriers in a few bytes that all its leases are still valid. A
receiver whose leases of the holder differ from the digest requests the list.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	BOOTSTRAP_PEERS,
	CONFIRMATION_VALIDITY_MILLISECONDS,
	DIGEST_INTERVAL_MILLISECONDS,
} from './constants.ts';
import {getOrCreatePeer} from './deltas.ts';
import type {Digest, Effect} from './messages.ts';
import type {
	AnnouncementState,
	Peer,
	ServiceTable,
} from './state.ts';
import {getOrCreateTable, listHeldEntries, summarizeHolder} from './table.ts';

/**
Sets the carriers of a service. A host that starts to carry it queries other carriers for the leases, and a holder sends
its digest to new carriers.
*/
export function setCarriers(
	state: AnnouncementState,
	service: core.ServiceName,
	carriers: readonly core.HostId[],
	{now, random}: core.Circumstances,
): readonly Effect[] {
	const table = getOrCreateTable(state, service);
	if (!table) {
		return [];
	}

	const before = new Set(table.carriers);
	const peers = carriers.filter(id => id !== state.self);
	table.carriers = [...carriers];
	removePeers(state, service, [...before].filter(id => !carriers.includes(id)));
	for (const id of peers) {
		// The first digests are spread over the interval, so that those to many peers aren't sent at once.
		getOrCreatePeer(state, id, now + (random() * DIGEST_INTERVAL_MILLISECONDS)).services.add(service);
	}

	const hasJoined = carriers.includes(state.self) && !before.has(state.self);
	const queriedPeers = hasJoined ? utils.shuffle(random, peers).slice(0, BOOTSTRAP_PEERS) : [];
	const queries = queriedPeers.map((to): Effect => ({kind: 'send', to, message: {kind: 'query', service}}));
	return [...queries, ...sendDigestToNewPeers(state, table, peers.filter(id => !before.has(id)))];
}

/**
Sends the digests that are due, one message per peer.
*/
export function sendDigests(state: AnnouncementState, now: number): readonly Effect[] {
	const effects: Effect[] = [];
	for (const [id, peer] of state.peers) {
		if (peer.nextDigestAt > now) {
			continue;
		}

		peer.nextDigestAt = now + DIGEST_INTERVAL_MILLISECONDS;
		const digests = getDigests(state, peer);
		if (digests.length > 0) {
			effects.push({kind: 'send', to: id, message: {kind: 'digest', digests}});
		}
	}

	return effects;
}

/**
Confirms the leases of a holder whose digests match, and requests the holder's list for the others.
*/
export function applyDigests(
	state: AnnouncementState,
	holder: core.HostId,
	digests: readonly Digest[],
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	for (const {service, count, hash} of digests) {
		const table = getOrCreateTable(state, service);
		if (!table) {
			continue;
		}

		const own = summarizeHolder(table, holder);
		if (own.count !== count || own.hash !== hash) {
			effects.push({kind: 'send', to: holder, message: {kind: 'query', service, holder}});
			continue;
		}

		extendConfirmations(table, holder, now + CONFIRMATION_VALIDITY_MILLISECONDS);
	}

	return effects;
}

function extendConfirmations(table: ServiceTable, holder: core.HostId, until: number): void {
	for (const entry of listHeldEntries(table, holder)) {
		entry.until = until;
	}
}

function getDigests(state: AnnouncementState, peer: Peer): readonly Digest[] {
	return peer.services.values()
		.map(service => ({service, ...summarizeHolder(state.services.get(service)!, state.self)}))
		.filter(digest => digest.count > 0)
		.toArray();
}

function sendDigestToNewPeers(
	state: AnnouncementState,
	table: ServiceTable,
	added: readonly core.HostId[],
): readonly Effect[] {
	const own = summarizeHolder(table, state.self);
	if (own.count === 0) {
		return [];
	}

	const digests = [{service: table.name, ...own}];
	return added.map(to => ({kind: 'send', to, message: {kind: 'digest', digests}}));
}

function removePeers(state: AnnouncementState, service: core.ServiceName, removed: readonly core.HostId[]): void {
	for (const id of removed) {
		const peer = state.peers.get(id);
		peer?.services.delete(service);
		if (peer?.services.size === 0) {
			state.peers.delete(id);
		}
	}
}
