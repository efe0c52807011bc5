/**
What upstreams tell this host. The host that accepts an announcement becomes the lease's holder.
*/
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import {DRAIN_HOLD_MILLISECONDS, LEASE_MILLISECONDS, TOMBSTONE_MILLISECONDS} from './constants.ts';
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
import type {AnnouncementState, Entry, ServiceTable} from './state.ts';
import {
	boundTombstones,
	hasRoom,
	openService,
	storeLease,
} from './table.ts';

/**
Names an upstream.
*/
export type UpstreamName = {readonly service: core.ServiceName; readonly id: core.UpstreamId};

/**
Takes an announcement or a renewal. A renewal at the same holder is kept local.
*/
export function announceUpstream(
	state: AnnouncementState,
	name: UpstreamName,
	announcement: Announcement,
	now: number,
): readonly Effect[] {
	const admitted = admitAnnouncement(state, name, announcement, now);
	if (admitted.isErr()) {
		return [{kind: 'refused', ...name, failure: admitted.error}];
	}

	const table = admitted.value;
	const upstream: Upstream = {...announcement, ...name};
	const known = table.entries.get(name.id);
	const accepted: Effect = {kind: 'accepted', ...name};
	if (known && isRenewal(state, known.lease, upstream)) {
		known.until = now + LEASE_MILLISECONDS;
		known.word = {lease: known.lease, at: now};
		return [accepted];
	}

	const lease: Lease = {...upstream, version: (known?.lease.version ?? 0) + 1, holder: state.self};
	return [accepted, ...acceptLease(state, table, lease, now)];
}

/**
Takes an upstream's leaving, also of one that this host hasn't heard of: others may have.
*/
export function leaveUpstream(state: AnnouncementState, name: UpstreamName, now: number): readonly Effect[] {
	const accepted: Effect = {kind: 'accepted', ...name};
	const table = openService(state, name.service);
	const known = table?.entries.get(name.id);
	if (!table) {
		return [accepted];
	}

	if (known?.lease.state === 'left') {
		known.word = {lease: known.lease, at: now};
		return [accepted];
	}

	const lease: Lease = {
		...known?.lease ?? createUnknownLease(name),
		state: 'left',
		version: (known?.lease.version ?? 0) + 1,
		holder: state.self,
	};
	return [accepted, ...acceptLease(state, table, lease, now)];
}

/**
Ends a lease that wasn't renewed in time.
*/
export function expireLease(
	state: AnnouncementState,
	table: ServiceTable,
	entry: Entry,
	now: number,
): readonly Effect[] {
	const lease: Lease = {...entry.lease, state: 'expired', version: entry.lease.version + 1};
	return acceptLease(state, table, lease, now);
}

function acceptLease(
	state: AnnouncementState,
	table: ServiceTable,
	lease: Lease,
	now: number,
): readonly Effect[] {
	const isGone = lease.state === 'left' || lease.state === 'expired';
	const until = now + (isGone ? TOMBSTONE_MILLISECONDS : LEASE_MILLISECONDS);
	const hasChanged = storeLease(table, lease, {now, until, word: {lease, at: now}});
	boundTombstones(table);
	const changes: readonly Effect[] = hasChanged ? [{kind: 'changed', service: table.name}] : [];
	return [...changes, ...replicateLease(state, table, lease, now)];
}

function admitAnnouncement(
	state: AnnouncementState,
	{service, id}: UpstreamName,
	announcement: Announcement,
	now: number,
): results.Result<ServiceTable, AnnouncementFailure> {
	const table = openService(state, service);
	if (!table) {
		return results.Err(core.createFailure('too-many-services', `No room for service ${service}.`));
	}

	if (!hasRoom(table, id)) {
		return results.Err(core.createFailure('too-many-upstreams', `No room for upstream ${id} of ${service}.`));
	}

	const known = table.entries.get(id);
	return known && isDelayed(known, announcement, now) ? results.Err(core.createFailure('recently-drained', `Upstream ${id} of ${service} said it is going.`)) : results.Ok(table);
}

/**
Says whether a serving announcement may be an old one that the network delayed. Taken at its word, it would bring work
back to a server that is shutting down: its callers would see resets. A process that really serves again, announces
itself again within seconds; one at a new address is another process.
*/
function isDelayed(known: Entry, announcement: Announcement, now: number): boolean {
	return announcement.state === 'serving'
		&& isLeaving(known.lease)
		&& now - known.leavingSince < DRAIN_HOLD_MILLISECONDS
		&& isSameProcess(known.lease, announcement);
}

function isRenewal(state: AnnouncementState, known: Lease, upstream: Upstream): boolean {
	return known.holder === state.self && known.state === upstream.state && isSameContent(known, upstream);
}

function createUnknownLease(name: UpstreamName): Omit<Lease, 'state' | 'version' | 'holder'> {
	return {
		...name,
		ip: '',
		port: 0,
		failureDomain: '',
		slots: 0,
		connections: 0,
	};
}
