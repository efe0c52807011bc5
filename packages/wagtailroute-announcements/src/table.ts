/**
The leases that a host knows, by service: reading and storing them.
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
	Entry,
	ServiceTable,
	Word,
} from './state.ts';

const NO_UPSTREAMS: readonly Upstream[] = [];

/**
Upstreams of a service, serving and draining, by name. The same array as long as nothing changed.
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
Names of the services of which the host keeps records.
*/
export function getServices(state: AnnouncementState): readonly core.ServiceName[] {
	return state.services.keys().toArray();
}

/**
Returns the table of a service, created when there is room, or undefined.
*/
export function openService(state: AnnouncementState, service: core.ServiceName): ServiceTable | undefined {
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
		live: 0,
		upstreams: undefined,
		nextQueryAt: 0,
	};
	state.services.set(service, table);
	return table;
}

/**
Says whether a lease fits into the table's bounds.
*/
export function hasRoom(table: ServiceTable, id: core.UpstreamId): boolean {
	return table.live < MAX_UPSTREAMS_PER_SERVICE || table.entries.get(id)?.upstream !== undefined;
}

/**
Stores a record and says whether the service's upstreams changed by it.
*/
export function storeLease(table: ServiceTable, lease: Lease, times: {
	readonly now: number;
	readonly until: number;
	readonly word?: Word;
}): boolean {
	const known = table.entries.get(lease.id);
	const upstream = getUpstream(lease, known?.upstream);
	const isStillLeaving = known !== undefined && isLeaving(known.lease);
	table.entries.set(lease.id, {
		lease,
		until: times.until,
		word: times.word ?? known?.word,
		leavingSince: isStillLeaving ? known.leavingSince : times.now,
		upstream,
		hash: hashLease(lease),
	});
	return applyChange(table, known?.upstream, upstream);
}

/**
Removes a record without a trace and says whether the service's upstreams changed by it.
*/
export function removeEntry(table: ServiceTable, id: core.UpstreamId): boolean {
	const known = table.entries.get(id);
	table.entries.delete(id);
	return applyChange(table, known?.upstream, undefined);
}

/**
Forgets the oldest tombstones above the bound.
*/
export function boundTombstones(table: ServiceTable): void {
	if (table.entries.size - table.live <= MAX_TOMBSTONES_PER_SERVICE) {
		return;
	}

	const tombstones = table.entries.values().filter(entry => isTombstone(entry.lease)).toArray();
	tombstones.sort((left, right) => right.until - left.until);
	for (const entry of tombstones.slice(MAX_TOMBSTONES_PER_SERVICE)) {
		table.entries.delete(entry.lease.id);
	}
}

/**
Live entries of one holder.
*/
export function getHeldEntries(table: ServiceTable, holder: core.HostId): readonly Entry[] {
	return table.entries.values()
		.filter(entry => entry.lease.holder === holder && !isTombstone(entry.lease))
		.toArray();
}

/**
Count and combined hash of one holder's live leases.
*/
export function summarizeHolder(
	table: ServiceTable,
	holder: core.HostId,
): {readonly count: number; readonly hash: number} {
	const entries = getHeldEntries(table, holder);
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

	// The same object while nothing changed for those that send work, whoever holds the lease.
	return known?.state === state && isSameContent(known, content) ? known : {...content, state};
}

function applyChange(table: ServiceTable, before: Upstream | undefined, after: Upstream | undefined): boolean {
	if (before === after) {
		return false;
	}

	table.live += Number(after !== undefined) - Number(before !== undefined);
	table.upstreams = undefined;
	return true;
}
