/**
Vouching: a holder tells the other carriers at intervals, in a few bytes, that all leases it holds still run. Where the
receiver has other records than the holder, it asks for the list.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	BOOTSTRAP_PEERS,
	DIGEST_MILLISECONDS,
	VOUCH_MILLISECONDS,
} from './constants.ts';
import {openPeer} from './deltas.ts';
import type {Digest, Effect} from './messages.ts';
import type {
	AnnouncementState,
	Peer,
	ServiceTable,
} from './state.ts';
import {getHeldEntries, openService, summarizeHolder} from './table.ts';

/**
Takes the carriers of a service; a host that starts to carry it asks others for the leases.
*/
export function setCarriers(
	state: AnnouncementState,
	service: core.ServiceName,
	carriers: readonly core.HostId[],
	{now, random}: core.Circumstances,
): readonly Effect[] {
	const table = openService(state, service);
	if (!table) {
		return [];
	}

	const before = new Set(table.carriers);
	const peers = carriers.filter(id => id !== state.self);
	table.carriers = [...carriers];
	forgetPeers(state, service, [...before].filter(id => !carriers.includes(id)));
	for (const id of peers) {
		// Spread over the interval, so that digests to many peers don't leave at once.
		openPeer(state, id, now + (random() * DIGEST_MILLISECONDS)).services.add(service);
	}

	const hasJoined = carriers.includes(state.self) && !before.has(state.self);
	const asked = hasJoined ? utils.shuffle(random, peers).slice(0, BOOTSTRAP_PEERS) : [];
	const queries = asked.map((to): Effect => ({kind: 'send', to, message: {kind: 'query', service}}));
	return [...queries, ...vouchForNewPeers(state, table, peers.filter(id => !before.has(id)))];
}

/**
Sends the digests that are due, one message a peer.
*/
export function sendDigests(state: AnnouncementState, now: number): readonly Effect[] {
	const effects: Effect[] = [];
	for (const [id, peer] of state.peers) {
		if (peer.nextDigestAt > now) {
			continue;
		}

		peer.nextDigestAt = now + DIGEST_MILLISECONDS;
		const digests = getDigests(state, peer);
		if (digests.length > 0) {
			effects.push({kind: 'send', to: id, message: {kind: 'digest', digests}});
		}
	}

	return effects;
}

/**
Takes the digests of a holder.
*/
export function receiveDigests(
	state: AnnouncementState,
	holder: core.HostId,
	digests: readonly Digest[],
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	for (const {service, count, hash} of digests) {
		const table = openService(state, service);
		if (!table) {
			continue;
		}

		const own = summarizeHolder(table, holder);
		if (own.count !== count || own.hash !== hash) {
			effects.push({kind: 'send', to: holder, message: {kind: 'query', service, holder}});
			continue;
		}

		extendVouches(table, holder, now + VOUCH_MILLISECONDS);
	}

	return effects;
}

function extendVouches(table: ServiceTable, holder: core.HostId, until: number): void {
	for (const entry of getHeldEntries(table, holder)) {
		entry.until = until;
	}
}

function getDigests(state: AnnouncementState, peer: Peer): readonly Digest[] {
	return peer.services.values()
		.map(service => ({service, ...summarizeHolder(state.services.get(service)!, state.self)}))
		.filter(digest => digest.count > 0)
		.toArray();
}

function vouchForNewPeers(
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

function forgetPeers(state: AnnouncementState, service: core.ServiceName, removed: readonly core.HostId[]): void {
	for (const id of removed) {
		const peer = state.peers.get(id);
		peer?.services.delete(service);
		if (peer?.services.size === 0) {
			state.peers.delete(id);
		}
	}
}
