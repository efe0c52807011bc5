/**
Merging of leases that other hosts send.
*/
import type * as core from 'wagtailroute-core';
import {
	CONFIRMATION_VALIDITY_MILLISECONDS,
	DRAIN_HOLD_DOWN_MILLISECONDS,
	LEASE_MILLISECONDS,
	TOMBSTONE_RETENTION_MILLISECONDS,
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
import type {AnnouncementState, LocalRecord, ServiceTable} from './state.ts';
import {
	evictTombstones,
	getOrCreateTable,
	hasCapacity,
	storeLease,
} from './table.ts';

/**
The result of merging a received lease: the effects, and this host's lease if that one is newer.
*/
export type MergeResult = {readonly effects: readonly Effect[]; readonly newer: Lease | undefined};

const UNCHANGED: MergeResult = {effects: [], newer: undefined};

/**
Merges a lease received from another host.
*/
export function mergeLease(state: AnnouncementState, lease: Lease, from: core.HostId, now: number): MergeResult {
	const table = getOrCreateTable(state, lease.service);
	const known = table?.entries.get(lease.id);
	if (!table) {
		return UNCHANGED;
	}

	const order = known ? compareLeases(lease, known.lease) : 1;
	if (order <= 0) {
		return order < 0 ? {effects: [], newer: known!.lease} : UNCHANGED;
	}

	const localRecord = known?.localRecord;
	if (localRecord && shouldReassert(localRecord, lease, now)) {
		return {effects: reassertLease(state, table, {localRecord, received: lease}, now), newer: undefined};
	}

	return !isTombstone(lease) && !hasCapacity(table, lease.id) ? UNCHANGED : {effects: applyLease(state, table, {lease, from}, now), newer: undefined};
}

function applyLease(
	state: AnnouncementState,
	table: ServiceTable,
	received: {readonly lease: Lease; readonly from: core.HostId},
	now: number,
): readonly Effect[] {
	const {lease, from} = received;
	const hasChanged = storeLease(table, lease, {now, until: now + getLifetimeMilliseconds(state, lease)});
	evictTombstones(table);
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return hasChanged || isLeaving(lease) ? [...changes, ...relayLease(state, table, lease, from)] : changes;
}

function getLifetimeMilliseconds(state: AnnouncementState, lease: Lease): number {
	if (isTombstone(lease)) {
		return TOMBSTONE_RETENTION_MILLISECONDS;
	}

	// A restarted host receives leases that it held before: they expire unless they are renewed here.
	return lease.holder === state.self ? LEASE_MILLISECONDS : CONFIRMATION_VALIDITY_MILLISECONDS;
}

/**
Returns whether what the upstream itself announced to this host a moment ago must override a newer received lease.

A host that doesn't know an upstream (it restarted, or messages to it are late) gives the upstream's draining a low
version, while the other hosts have a serving lease of a higher version. Without this rule the draining would be lost
until the next renewal, seconds later. The rule can't repeat forever: only draining and leaving are asserted again, for a
short time, and only against states of a lower rank.
*/
function shouldReassert(localRecord: LocalRecord, received: Lease, now: number): boolean {
	return isLeaving(localRecord.lease)
		&& now - localRecord.at <= DRAIN_HOLD_DOWN_MILLISECONDS
		&& getStateRank(received.state) < getStateRank(localRecord.lease.state)
		&& isSameProcess(localRecord.lease, received);
}

function reassertLease(
	state: AnnouncementState,
	table: ServiceTable,
	records: {readonly localRecord: LocalRecord; readonly received: Lease},
	now: number,
): readonly Effect[] {
	const {localRecord, received} = records;
	const lease: Lease = {
		...received,
		state: localRecord.lease.state,
		version: received.version + 1,
		holder: state.self,
	};
	const hasChanged = storeLease(table, lease, {now, until: now + getLifetimeMilliseconds(state, lease)});
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return [...changes, ...replicateLease(state, table, lease, now)];
}
