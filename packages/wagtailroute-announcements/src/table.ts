/**
The leases that a host knows, by service.
*/
import type * as core from 'wagtailroute-core';
import {MAX_SERVICES, MAX_TOMBSTONES_PER_SERVICE, MAX_UPSTREAMS_PER_SERVICE} from './constants.ts';
import {
	combineHashes,
	compareText,
	hashLease,
	isLeaving,
	isSameContent,
	isTombstone,
	type Lease,
	type Upstream,
} from './leases.ts';
import type {
	AnnouncementState,
	LeaseEntry,
	LocalRecord,
	ServiceTable,
} from './state.ts';

const NO_UPSTREAMS: readonly Upstream[] = [];

/**
Returns the serving and draining upstreams of a service, ordered by id; the same array until something changes.
*/
export function getUpstreams(state: AnnouncementState, service: core.ServiceName): readonly Upstream[] {
	const table = state.services.get(service);
	if (!table) {
		return NO_UPSTREAMS;
	}

	table.upstreams ??= table.entries.values()
		.map(entry => entry.upstream)
		.filter(upstream => upstream !== undefined)
		.toArray()
		.toSorted((left, right) => compareText(left.id, right.id));
	return table.upstreams;
}

/**
Returns the names of the services for which the host keeps leases.
*/
export function getServices(state: AnnouncementState): readonly core.ServiceName[] {
	return state.services.keys().toArray();
}

/**
Returns the table of a service, created if missing; undefined if that would exceed `MAX_SERVICES`.
*/
export function getOrCreateTable(state: AnnouncementState, service: core.ServiceName): ServiceTable | undefined {
	const known = state.services.get(service);
	if (known) {
		return known;
	}

	if (state.services.size >= MAX_SERVICES) {
		return undefined;
	}

	const table: ServiceTable = {
		name: service,
		entries: new Map(),
		carriers: [],
		liveCount: 0,
		upstreams: undefined,
		nextQueryAt: 0,
	};
	state.services.set(service, table);
	return table;
}

/**
Returns whether the table may store a live lease of this upstream.
*/
export function hasCapacity(table: ServiceTable, id: core.UpstreamId): boolean {
	return table.liveCount < MAX_UPSTREAMS_PER_SERVICE || table.entries.get(id)?.upstream !== undefined;
}

/**
Stores a lease and returns whether the service's upstreams changed.
*/
export function storeLease(table: ServiceTable, lease: Lease, options: {
	readonly now: number;
	readonly until: number;
	readonly localRecord?: LocalRecord;
}): boolean {
	const known = table.entries.get(lease.id);
	const upstream = getUpstream(lease, known?.upstream);
	const isStillLeaving = known !== undefined && isLeaving(known.lease);
	table.entries.set(lease.id, {
		lease,
		until: options.until,
		localRecord: options.localRecord ?? known?.localRecord,
		leavingSince: isStillLeaving ? known.leavingSince : options.now,
		upstream,
		hash: hashLease(lease),
	});
	return recordUpstreamChange(table, known?.upstream, upstream);
}

/**
Removes a lease without leaving a tombstone and returns whether the service's upstreams changed.
*/
export function removeEntry(table: ServiceTable, id: core.UpstreamId): boolean {
	const known = table.entries.get(id);
	table.entries.delete(id);
	return recordUpstreamChange(table, known?.upstream, undefined);
}

/**
Removes the oldest tombstones above `MAX_TOMBSTONES_PER_SERVICE`.
*/
export function evictTombstones(table: ServiceTable): void {
	if (table.entries.size - table.liveCount <= MAX_TOMBSTONES_PER_SERVICE) {
		return;
	}

	const tombstones = table.entries.values().filter(entry => isTombstone(entry.lease)).toArray();
	tombstones.sort((left, right) => right.until - left.until);
	for (const entry of tombstones.slice(MAX_TOMBSTONES_PER_SERVICE)) {
		table.entries.delete(entry.lease.id);
	}
}

/**
Lists the entries of one holder's live leases.
*/
export function listHeldEntries(table: ServiceTable, holder: core.HostId): readonly LeaseEntry[] {
	return table.entries.values()
		.filter(entry => entry.lease.holder === holder && !isTombstone(entry.lease))
		.toArray();
}

/**
Returns the count and the combined hash of one holder's live leases.
*/
export function summarizeHolder(
	table: ServiceTable,
	holder: core.HostId,
): {readonly count: number; readonly hash: number} {
	const entries = listHeldEntries(table, holder);
	let hash = 0;
	for (const entry of entries) {
		hash = combineHashes(hash, entry.hash);
	}

	return {count: entries.length, hash};
}

function getUpstream(lease: Lease, known: Upstream | undefined): Upstream | undefined {
	const {state, version, holder, ...content} = lease;
	if (state === 'expired' || state === 'left') {
		return undefined;
	}

	// Returns the same object while only the holder or the version changed, which the hosts that send work don't use.
	return known?.state === state && isSameContent(known, content) ? known : {...content, state};
}

function recordUpstreamChange(table: ServiceTable, before: Upstream | undefined, after: Upstream | undefined): boolean {
	if (before === after) {
		return false;
	}

	table.liveCount += Number(after !== undefined) - Number(before !== undefined);
	table.upstreams = undefined;
	return true;
}
