/**
Records heard from other hosts.
*/
import type * as core from 'wagtailroute-core';
import {
	DRAIN_HOLD_MILLISECONDS,
	LEASE_MILLISECONDS,
	TOMBSTONE_MILLISECONDS,
	VOUCH_MILLISECONDS,
} from './constants.ts';
import {relayLease, replicateLease} from './deltas.ts';
import {
	compareLeases,
	getStateRank,
	isLeaving,
	isSameProcess,
	isTombstone,
	type Lease,
} from './leases.ts';
import type {Effect} from './messages.ts';
import type {AnnouncementState, ServiceTable, Word} from './state.ts';
import {
	boundTombstones,
	hasRoom,
	openService,
	storeLease,
} from './table.ts';

/**
What came of a record: the effects, and this host's own record where it is the newer one.
*/
export type Merge = {readonly effects: readonly Effect[]; readonly newer: Lease | undefined};

const NOTHING: Merge = {effects: [], newer: undefined};

/**
Merges a record heard from another host.
*/
export function mergeLease(state: AnnouncementState, lease: Lease, from: core.HostId, now: number): Merge {
	const table = openService(state, lease.service);
	const known = table?.entries.get(lease.id);
	if (!table) {
		return NOTHING;
	}

	const order = known ? compareLeases(lease, known.lease) : 1;
	if (order <= 0) {
		return order < 0 ? {effects: [], newer: known!.lease} : NOTHING;
	}

	const word = known?.word;
	if (word && mustReassert(word, lease, now)) {
		return {effects: reassertLease(state, table, {word, heard: lease}, now), newer: undefined};
	}

	return !isTombstone(lease) && !hasRoom(table, lease.id) ? NOTHING : {effects: takeLease(state, table, {lease, from}, now), newer: undefined};
}

function takeLease(
	state: AnnouncementState,
	table: ServiceTable,
	heard: {readonly lease: Lease; readonly from: core.HostId},
	now: number,
): readonly Effect[] {
	const {lease, from} = heard;
	const hasChanged = storeLease(table, lease, {now, until: now + getMilliseconds(state, lease)});
	boundTombstones(table);
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return hasChanged || isLeaving(lease) ? [...changes, ...relayLease(state, table, lease, from)] : changes;
}

function getMilliseconds(state: AnnouncementState, lease: Lease): number {
	if (isTombstone(lease)) {
		return TOMBSTONE_MILLISECONDS;
	}

	// A host that restarted hears of leases it held: they end unless they are renewed here.
	return lease.holder === state.self ? LEASE_MILLISECONDS : VOUCH_MILLISECONDS;
}

/**
Says whether a newer record must give way to what the upstream itself told this host a moment ago.

A host that hasn't heard of an upstream (it restarted, or its messages are late) gives its draining a low version; the
others then hold a serving record of a higher version, and without this rule the draining would be lost until the next
renewal, seconds later. It ends: only draining and leaving are asserted again, for a short time, and only against
records of a lower rank.
*/
function mustReassert(word: Word, heard: Lease, now: number): boolean {
	return isLeaving(word.lease)
		&& now - word.at <= DRAIN_HOLD_MILLISECONDS
		&& getStateRank(heard.state) < getStateRank(word.lease.state)
		&& isSameProcess(word.lease, heard);
}

function reassertLease(
	state: AnnouncementState,
	table: ServiceTable,
	records: {readonly word: Word; readonly heard: Lease},
	now: number,
): readonly Effect[] {
	const {word, heard} = records;
	const lease: Lease = {
		...heard,
		state: word.lease.state,
		version: heard.version + 1,
		holder: state.self,
	};
	const hasChanged = storeLease(table, lease, {now, until: now + getMilliseconds(state, lease)});
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return [...changes, ...replicateLease(state, table, lease, now)];
}
