/**
The carriers of all services, kept up to date change by change.

A host that goes is looked up in the list of services it carries, and only those are computed again. A host that comes
is scored once against each service, and only the services that it enters are computed again. The tables are mutable
inside the index, because copying 6,900 services for each change would cost more than the change; what `getCarriers`
returns is never changed afterwards. The index is deterministic: it depends only on hosts, services and sizes, not on
the order in which they came.
*/
import type * as core from 'wagtailroute-core';
import type {CarrierHost} from './carriers.ts';
import {getScore, type NameHash} from './scores.ts';
import {type HashedHost, selectCarriers} from './selection.ts';
import {compareCandidates, compareRanked, type RankedCandidate} from './spreading.ts';

/**
Keeps the carriers of all services. Commands return the names of the services whose carriers changed.
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
	readonly setService: (service: core.ServiceName, size: number) => readonly core.ServiceName[];
	readonly removeService: (service: core.ServiceName) => void;
	/**
	Carriers in the order of preference; empty for an unknown service.
	*/
	readonly getCarriers: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Services that a host carries.
	*/
	readonly getServices: (id: core.HostId) => ReadonlySet<core.ServiceName>;
};

type ServiceEntry = {
	readonly name: core.ServiceName;
	readonly hash: number;
	size: number;
	ranked: readonly RankedCandidate[];
	carriers: readonly core.HostId[];
};

type Tables = {
	readonly hash: NameHash;
	readonly domains: Map<core.FailureDomain, Map<core.HostId, HashedHost>>;
	readonly hosts: Map<core.HostId, HashedHost>;
	readonly services: Map<core.ServiceName, ServiceEntry>;
	readonly carried: Map<core.HostId, Set<core.ServiceName>>;
};

const NO_SERVICES: ReadonlySet<core.ServiceName> = new Set();

/**
Creates an index of the given hosts without services.
*/
export function createCarrierIndex(hash: NameHash, hosts: readonly CarrierHost[]): CarrierIndex {
	const tables: Tables = {
		hash,
		domains: new Map(),
		hosts: new Map(),
		services: new Map(),
		carried: new Map(),
	};
	for (const host of hosts) {
		insertHost(tables, host);
	}

	return {
		setHost: host => setHost(tables, host),
		removeHost: id => removeHost(tables, id),
		setService: (service, size) => setService(tables, service, size),
		removeService(service) {
			removeService(tables, service);
		},
		getCarriers: service => tables.services.get(service)?.carriers ?? [],
		getServices: id => tables.carried.get(id) ?? NO_SERVICES,
	};
}

function setHost(tables: Tables, host: CarrierHost): readonly core.ServiceName[] {
	const known = tables.hosts.get(host.id);
	if (known?.weight === host.weight && known.failureDomain === host.failureDomain) {
		return [];
	}

	const carried = [...tables.carried.get(host.id) ?? NO_SERVICES];
	const previous = new Map(carried.map(name => [name, tables.services.get(name)!.carriers]));
	removeHost(tables, host.id);
	const inserted = insertHost(tables, host);
	const entered: core.ServiceName[] = [];
	for (const entry of tables.services.values()) {
		if (mayEnter(entry, inserted) && refreshService(tables, entry) && !previous.has(entry.name)) {
			entered.push(entry.name);
		}
	}

	// A replaced host may be back in its old place: only a service whose carriers differ in the end has changed.
	const moved = carried.filter(name => !isSameChoice(previous.get(name)!, tables.services.get(name)!.carriers));
	return [...moved, ...entered];
}

function removeHost(tables: Tables, id: core.HostId): readonly core.ServiceName[] {
	const host = tables.hosts.get(id);
	if (!host) {
		return [];
	}

	tables.hosts.delete(id);
	const domainHosts = tables.domains.get(host.failureDomain)!;
	domainHosts.delete(id);
	if (domainHosts.size === 0) {
		tables.domains.delete(host.failureDomain);
	}

	const services = [...tables.carried.get(id) ?? NO_SERVICES];
	return services.filter(service => refreshService(tables, tables.services.get(service)!));
}

function setService(tables: Tables, name: core.ServiceName, size: number): readonly core.ServiceName[] {
	const entry = tables.services.get(name) ?? {
		name,
		hash: tables.hash(name),
		size,
		ranked: [],
		carriers: [],
	};
	entry.size = size;
	tables.services.set(name, entry);
	return refreshService(tables, entry) ? [name] : [];
}

function removeService(tables: Tables, name: core.ServiceName): void {
	const entry = tables.services.get(name);
	for (const id of entry?.carriers ?? []) {
		forgetCarried(tables, id, name);
	}

	tables.services.delete(name);
}

function insertHost(tables: Tables, host: CarrierHost): HashedHost {
	const hashed = {...host, hash: tables.hash(host.id)};
	const domainHosts = tables.domains.get(host.failureDomain) ?? new Map<core.HostId, HashedHost>();
	domainHosts.set(host.id, hashed);
	tables.domains.set(host.failureDomain, domainHosts);
	tables.hosts.set(host.id, hashed);
	return hashed;
}

/**
Says whether a host that came may be among the carriers: it displaces one of its own failure domain, or it comes before
the last carrier. It may say true for a host that doesn't enter, never false for one that does.
*/
function mayEnter(entry: ServiceEntry, host: HashedHost): boolean {
	if (entry.ranked.length < entry.size) {
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

function refreshService(tables: Tables, entry: ServiceEntry): boolean {
	const ranked = selectCarriers(tables.domains, entry.hash, entry.size);
	const carriers = ranked.map(({candidate}) => candidate.id);
	entry.ranked = ranked;
	if (isSameChoice(carriers, entry.carriers)) {
		return false;
	}

	for (const id of entry.carriers) {
		forgetCarried(tables, id, entry.name);
	}

	entry.carriers = carriers;
	for (const id of carriers) {
		rememberCarried(tables, id, entry.name);
	}

	return true;
}

function rememberCarried(tables: Tables, id: core.HostId, name: core.ServiceName): void {
	const services = tables.carried.get(id) ?? new Set();
	services.add(name);
	tables.carried.set(id, services);
}

function forgetCarried(tables: Tables, id: core.HostId, name: core.ServiceName): void {
	const services = tables.carried.get(id);
	services?.delete(name);
	if (services?.size === 0) {
		tables.carried.delete(id);
	}
}

function isSameChoice(left: readonly core.HostId[], right: readonly core.HostId[]): boolean {
	return left.length === right.length && left.every((id, index) => id === right[index]);
}
