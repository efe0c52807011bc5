/**
Vouching: a holder tells the other carriers at intervals, in a few bytes, that all leases it holds still run. Where the
receiver has other records than the holder, it asks for the list. Where the holder isn't heard (a one-way partition), it
asks another carrier, which answers with what remains of the time it was told itself.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	BOOTSTRAP_PEERS,
	DIGEST_MILLISECONDS,
	MAX_LEASES_PER_MESSAGE,
	VOUCH_MILLISECONDS,
	VOUCH_QUERY_MILLISECONDS,
} from './constants.ts';
import {openPeer} from './deltas.ts';
import {compareLeases, isTombstone} from './leases.ts';
import {mergeLease} from './merging.ts';
import type {Digest, Effect, VouchedLease} from './messages.ts';
import {
	type AnnouncementState,
	getHeldEntries,
	openService,
	type Peer,
	type ServiceTable,
	summarizeHolder,
} from './table.ts';

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

/**
Answers a query with what this host knows, tombstones included.
*/
export function answerQuery(
	state: AnnouncementState,
	from: core.HostId,
	query: {readonly service: core.ServiceName; readonly holder?: core.HostId},
	now: number,
): readonly Effect[] {
	const entries = state.services.get(query.service)?.entries.values().toArray() ?? [];
	const leases = entries
		.filter(entry => query.holder === undefined || entry.lease.holder === query.holder)
		.map((entry): VouchedLease => ({
			lease: entry.lease,
			milliseconds: entry.lease.holder === state.self ? VOUCH_MILLISECONDS : Math.max(0, entry.until - now),
		}));
	const effects: Effect[] = [];
	for (let start = 0; start < leases.length; start += MAX_LEASES_PER_MESSAGE) {
		const part = leases.slice(start, start + MAX_LEASES_PER_MESSAGE);
		effects.push({kind: 'send', to: from, message: {kind: 'list', service: query.service, leases: part}});
	}

	return effects;
}

/**
Takes a list: merges its records, extends the vouches, and answers with records that are newer here.
*/
export function receiveList(
	state: AnnouncementState,
	from: core.HostId,
	list: {readonly service: core.ServiceName; readonly leases: readonly VouchedLease[]},
	now: number,
): readonly Effect[] {
	const effects: Effect[] = [];
	const newer = [];
	for (const {lease, milliseconds} of list.leases) {
		const merge = mergeLease(state, lease, from, now);
		effects.push(...merge.effects);
		if (merge.newer) {
			newer.push(merge.newer);
		}

		extendVouch(state, {lease, milliseconds}, from, now);
	}

	return newer.length > 0
		? [...effects, {kind: 'send', to: from, message: {kind: 'delta', leases: newer}}]
		: effects;
}

/**
Asks another carrier about holders that haven't vouched for some time.
*/
export function queryStaleHolders(
	state: AnnouncementState,
	table: ServiceTable,
	{now, random}: core.Circumstances,
): readonly Effect[] {
	if (table.nextQueryAt > now || !table.carriers.includes(state.self)) {
		return [];
	}

	const stale = new Set<core.HostId>();
	for (const {lease, until} of table.entries.values()) {
		if (!isTombstone(lease) && lease.holder !== state.self && until - now < VOUCH_QUERY_MILLISECONDS) {
			stale.add(lease.holder);
		}
	}

	if (stale.size > 0) {
		table.nextQueryAt = now + (VOUCH_QUERY_MILLISECONDS / 4);
	}

	return stale.values().flatMap((holder): readonly Effect[] => {
		const others = table.carriers.filter(id => id !== state.self && id !== holder);
		const to = others[utils.pickIndex(random, others.length)];
		return to === undefined ? [] : [{kind: 'send', to, message: {kind: 'query', service: table.name, holder}}];
	}).toArray();
}

function extendVouch(state: AnnouncementState, vouched: VouchedLease, from: core.HostId, now: number): void {
	const {lease, milliseconds} = vouched;
	const entry = state.services.get(lease.service)?.entries.get(lease.id);
	if (!entry || lease.holder === state.self || isTombstone(lease) || compareLeases(entry.lease, lease) !== 0) {
		return;
	}

	const until = now + Math.min(milliseconds, VOUCH_MILLISECONDS);
	entry.until = from === lease.holder ? until : Math.max(entry.until, until);
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
