/**
Announcements, renewals and leaving of upstreams at this host. The host that accepts an announcement becomes the holder
of the lease.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import {DRAIN_HOLD_DOWN_MILLISECONDS, LEASE_MILLISECONDS, TOMBSTONE_RETENTION_MILLISECONDS} from './constants.ts';
import {replicateLease} from './deltas.ts';
import type {AnnouncementFailure} from './failures.ts';
import {
	type Announcement,
	isLeaving,
	isSameContent,
	isSameProcess,
	type Lease,
	type Upstream,
} from './leases.ts';
import type {Effect} from './messages.ts';
import type {AnnouncementState, LeaseEntry, ServiceTable} from './state.ts';
import {
	evictTombstones,
	getOrCreateTable,
	hasCapacity,
	storeLease,
} from './table.ts';

/**
Identifies an upstream: its id is unique within its service.
*/
export type UpstreamKey = {readonly service: core.ServiceName; readonly id: core.UpstreamId};

/**
Applies an announcement or a renewal. A renewal at the lease's holder isn't replicated.
*/
export function applyAnnouncement(
	state: AnnouncementState,
	key: UpstreamKey,
	announcement: Announcement,
	now: number,
): readonly Effect[] {
	const admitted = checkAnnouncement(state, key, announcement, now);
	if (admitted.isErr()) {
		return [{kind: 'refused', ...key, failure: admitted.error}];
	}

	const table = admitted.value;
	const upstream: Upstream = {...announcement, ...key};
	const known = table.entries.get(key.id);
	const accepted: Effect = {kind: 'accepted', ...key};
	if (known && isRenewal(state, known.lease, upstream)) {
		known.until = now + LEASE_MILLISECONDS;
		known.localRecord = {lease: known.lease, at: now};
		return [accepted];
	}

	const lease: Lease = {...upstream, version: (known?.lease.version ?? 0) + 1, holder: state.self};
	return [accepted, ...storeAndReplicate(state, table, lease, now)];
}

/**
Applies the leaving of an upstream, even of one unknown to this host, as other hosts may know it.
*/
export function applyLeave(state: AnnouncementState, key: UpstreamKey, now: number): readonly Effect[] {
	const accepted: Effect = {kind: 'accepted', ...key};
	const table = getOrCreateTable(state, key.service);
	const known = table?.entries.get(key.id);
	if (!table) {
		return [accepted];
	}

	if (known?.lease.state === 'left') {
		known.localRecord = {lease: known.lease, at: now};
		return [accepted];
	}

	const lease: Lease = {
		...known?.lease ?? createPlaceholderLease(key),
		state: 'left',
		version: (known?.lease.version ?? 0) + 1,
		holder: state.self,
	};
	return [accepted, ...storeAndReplicate(state, table, lease, now)];
}

/**
Replaces a lease that wasn't renewed in time by a tombstone, and replicates it.
*/
export function expireLease(
	state: AnnouncementState,
	table: ServiceTable,
	entry: LeaseEntry,
	now: number,
): readonly Effect[] {
	const lease: Lease = {...entry.lease, state: 'expired', version: entry.lease.version + 1};
	return storeAndReplicate(state, table, lease, now);
}

function storeAndReplicate(
	state: AnnouncementState,
	table: ServiceTable,
	lease: Lease,
	now: number,
): readonly Effect[] {
	const isGone = lease.state === 'left' || lease.state === 'expired';
	const until = now + (isGone ? TOMBSTONE_RETENTION_MILLISECONDS : LEASE_MILLISECONDS);
	const hasChanged = storeLease(table, lease, {now, until, localRecord: {lease, at: now}});
	evictTombstones(table);
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return [...changes, ...replicateLease(state, table, lease, now)];
}

function checkAnnouncement(
	state: AnnouncementState,
	{service, id}: UpstreamKey,
	announcement: Announcement,
	now: number,
): results.Result<ServiceTable, AnnouncementFailure> {
	const table = getOrCreateTable(state, service);
	if (!table) {
		return results.Err(core.createFailure('too-many-services', `No room for service ${service}.`));
	}

	if (!hasCapacity(table, id)) {
		return results.Err(core.createFailure('too-many-upstreams', `No room for upstream ${id} of ${service}.`));
	}

	const known = table.entries.get(id);
	return known && isPossiblyDelayed(known, announcement, now) ? results.Err(core.createFailure('recently-drained', `Upstream ${id} of ${service} said it is going.`)) : results.Ok(table);
}

/**
Returns whether a serving announcement may be an older one that the network delayed. If it were accepted, a server that
is shutting down would receive work again, and its callers would see connection resets. A process that does serve again
repeats its announcement within seconds; a different address means another process.
*/
function isPossiblyDelayed(known: LeaseEntry, announcement: Announcement, now: number): boolean {
	return announcement.state === 'serving'
		&& isLeaving(known.lease)
		&& now - known.leavingSince < DRAIN_HOLD_DOWN_MILLISECONDS
		&& isSameProcess(known.lease, announcement);
}

function isRenewal(state: AnnouncementState, known: Lease, upstream: Upstream): boolean {
	return known.holder === state.self && known.state === upstream.state && isSameContent(known, upstream);
}

function createPlaceholderLease(key: UpstreamKey): Omit<Lease, 'state' | 'version' | 'holder'> {
	return {
		...key,
		ip: '',
		port: 0,
		failureDomain: '',
		slots: 0,
		connections: 0,
	};
}
