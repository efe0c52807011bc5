/**
The carriers of all services, updated incrementally.

When a host is removed, only the services that it carries are computed again. When a host is added, it is scored once
against each service, and only the services whose carriers it may join are computed again. The tables are mutable inside
the index, because copying 6,900 services for each change would cost more than the change; the arrays that `getCarriers`
returns are never changed. The index is deterministic: it depends only on hosts, services and numbers of carriers, not
on the order in which they were set.
*/
import type * as core from 'wagtailroute-core';
import type {CarrierHost} from './carriers.ts';
import {getScore, type NameHash} from './scores.ts';
import {type HashedHost, selectCarriers} from './selection.ts';
import {compareCandidates, compareRanked, type RankedCandidate} from './spreading.ts';

/**
The carriers of all services. `setHost`, `removeHost` and `setService` return the names of the services whose carriers
changed.
*/
export type CarrierIndex = {
	/**
	Adds a host, or replaces one whose weight or failure domain changed.
	*/
	readonly setHost: (host: CarrierHost) => readonly core.ServiceName[];
	readonly removeHost: (id: core.HostId) => readonly core.ServiceName[];
	/**
	Adds a service, or changes its number of carriers.
	*/
	readonly setService: (service: core.ServiceName, carrierCount: number) => readonly core.ServiceName[];
	readonly removeService: (service: core.ServiceName) => void;
	/**
	Returns the carriers in the order of preference; empty for an unknown service.
	*/
	readonly getCarriers: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Returns the services that a host carries.
	*/
	readonly getServices: (id: core.HostId) => ReadonlySet<core.ServiceName>;
};

type ServiceEntry = {
	readonly name: core.ServiceName;
	readonly hash: number;
	carrierCount: number;
	ranked: readonly RankedCandidate[];
	carriers: readonly core.HostId[];
};

type Tables = {
	readonly hash: NameHash;
	readonly hostsByDomain: Map<core.FailureDomain, Map<core.HostId, HashedHost>>;
	readonly hosts: Map<core.HostId, HashedHost>;
	readonly services: Map<core.ServiceName, ServiceEntry>;
	readonly servicesByHost: Map<core.HostId, Set<core.ServiceName>>;
};

const NO_SERVICES: ReadonlySet<core.ServiceName> = new Set();

/**
Creates an index of the given hosts without services.
*/
export function createCarrierIndex(hash: NameHash, hosts: readonly CarrierHost[]): CarrierIndex {
	const tables: Tables = {
		hash,
		hostsByDomain: new Map(),
		hosts: new Map(),
		services: new Map(),
		servicesByHost: new Map(),
	};
	for (const host of hosts) {
		insertHost(tables, host);
	}

	return {
		setHost: host => setHost(tables, host),
		removeHost: id => removeHost(tables, id),
		setService: (service, carrierCount) => setService(tables, service, carrierCount),
		removeService(service) {
			removeService(tables, service);
		},
		getCarriers: service => tables.services.get(service)?.carriers ?? [],
		getServices: id => tables.servicesByHost.get(id) ?? NO_SERVICES,
	};
}

function setHost(tables: Tables, host: CarrierHost): readonly core.ServiceName[] {
	const known = tables.hosts.get(host.id);
	if (known?.weight === host.weight && known.failureDomain === host.failureDomain) {
		return [];
	}

	const carried = [...tables.servicesByHost.get(host.id) ?? NO_SERVICES];
	const previous = new Map(carried.map(name => [name, tables.services.get(name)!.carriers]));
	removeHost(tables, host.id);
	const inserted = insertHost(tables, host);
	const entered: core.ServiceName[] = [];
	for (const entry of tables.services.values()) {
		if (mayBecomeCarrier(entry, inserted) && recomputeCarriers(tables, entry) && !previous.has(entry.name)) {
			entered.push(entry.name);
		}
	}

	// A replaced host may carry the same services as before: only services whose carriers differ now have changed.
	const moved = carried.filter(name => !isSameList(previous.get(name)!, tables.services.get(name)!.carriers));
	return [...moved, ...entered];
}

function removeHost(tables: Tables, id: core.HostId): readonly core.ServiceName[] {
	const host = tables.hosts.get(id);
	if (!host) {
		return [];
	}

	tables.hosts.delete(id);
	const domainHosts = tables.hostsByDomain.get(host.failureDomain)!;
	domainHosts.delete(id);
	if (domainHosts.size === 0) {
		tables.hostsByDomain.delete(host.failureDomain);
	}

	const services = [...tables.servicesByHost.get(id) ?? NO_SERVICES];
	return services.filter(service => recomputeCarriers(tables, tables.services.get(service)!));
}

function setService(tables: Tables, name: core.ServiceName, carrierCount: number): readonly core.ServiceName[] {
	const entry = tables.services.get(name) ?? {
		name,
		hash: tables.hash(name),
		carrierCount,
		ranked: [],
		carriers: [],
	};
	entry.carrierCount = carrierCount;
	tables.services.set(name, entry);
	return recomputeCarriers(tables, entry) ? [name] : [];
}

function removeService(tables: Tables, name: core.ServiceName): void {
	const entry = tables.services.get(name);
	for (const id of entry?.carriers ?? []) {
		removeCarriedService(tables, id, name);
	}

	tables.services.delete(name);
}

function insertHost(tables: Tables, host: CarrierHost): HashedHost {
	const hashed = {...host, hash: tables.hash(host.id)};
	const domainHosts = tables.hostsByDomain.get(host.failureDomain) ?? new Map<core.HostId, HashedHost>();
	domainHosts.set(host.id, hashed);
	tables.hostsByDomain.set(host.failureDomain, domainHosts);
	tables.hosts.set(host.id, hashed);
	return hashed;
}

/**
Returns whether an added host may be among the carriers: it precedes a carrier of its own failure domain, or the last
carrier of all. May return true for a host that doesn't become a carrier, never false for one that does.
*/
function mayBecomeCarrier(entry: ServiceEntry, host: HashedHost): boolean {
	if (entry.ranked.length < entry.carrierCount) {
		return true;
	}

	const score = getScore(entry.hash, host.hash, host.weight);
	const candidate = {id: host.id, failureDomain: host.failureDomain, score};
	const inDomain = entry.ranked.filter(ranked => ranked.candidate.failureDomain === host.failureDomain);
	if (inDomain.some(ranked => compareCandidates(candidate, ranked.candidate) < 0)) {
		return true;
	}

	const last = entry.ranked.at(-1);
	return last !== undefined && compareRanked({candidate, rank: inDomain.length}, last) < 0;
}

function recomputeCarriers(tables: Tables, entry: ServiceEntry): boolean {
	const ranked = selectCarriers(tables.hostsByDomain, entry.hash, entry.carrierCount);
	const carriers = ranked.map(({candidate}) => candidate.id);
	entry.ranked = ranked;
	if (isSameList(carriers, entry.carriers)) {
		return false;
	}

	for (const id of entry.carriers) {
		removeCarriedService(tables, id, entry.name);
	}

	entry.carriers = carriers;
	for (const id of carriers) {
		addCarriedService(tables, id, entry.name);
	}

	return true;
}

function addCarriedService(tables: Tables, id: core.HostId, name: core.ServiceName): void {
	const services = tables.servicesByHost.get(id) ?? new Set();
	services.add(name);
	tables.servicesByHost.set(id, services);
}

function removeCarriedService(tables: Tables, id: core.HostId, name: core.ServiceName): void {
	const services = tables.servicesByHost.get(id);
	services?.delete(name);
	if (services?.size === 0) {
		tables.servicesByHost.delete(id);
	}
}

function isSameList(left: readonly core.HostId[], right: readonly core.HostId[]): boolean {
	return left.length === right.length && left.every((id, index) => id === right[index]);
}
