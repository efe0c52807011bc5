/**
Keeps the carriers of each service, updated incrementally from the members and the catalogue.

Every host computes them alone, with the same result as soon as all know the same members and catalogue. While they differ,
a request may take one more hop or be answered not-run, but no answer is wrong. The number of carriers depends on the
catalogue entry and the number of hosts only, since all hosts must agree on it.
*/
import * as assignment from 'wagtailroute-assignment';
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import {ASSUMED_SLOTS_PER_UPSTREAM} from './constants.ts';
import type {HostContext, HostState, Member} from './context.ts';

/**
Registers the listener that keeps `carriers` of the host's state.
*/
export async function registerCarriers(context: HostContext): Promise<utils.Teardown> {
	const index = assignment.createCarrierIndex(await assignment.createNameHash(), []);
	return context.store.registerUpdateListener((state, previous, dirty) => {
		if (!(dirty.has('members') || dirty.has('view'))) {
			return;
		}

		const changed = new Set([
			...updateIndexedHosts(index, state, previous),
			...updateIndexedServices(index, state, previous),
		]);
		updateCarriers(context, index, changed);
	});
}

function updateIndexedHosts(index: assignment.CarrierIndex, state: HostState, previous: HostState): readonly core.ServiceName[] {
	if (state.members === previous.members) {
		return [];
	}

	const changed: core.ServiceName[] = [];
	const areAllDraining = areAllEntryHostsDraining(state);
	const hasAllDrainingChanged = areAllDraining !== areAllEntryHostsDraining(previous);
	for (const member of state.members.values()) {
		if (hasAllDrainingChanged || member !== previous.members.get(member.id)) {
			changed.push(...isCarrier(member, areAllDraining)
				? index.setHost({id: member.id, failureDomain: member.failureDomain, weight: 1})
				: index.removeHost(member.id));
		}
	}

	for (const id of previous.members.keys()) {
		if (!state.members.has(id)) {
			changed.push(...index.removeHost(id));
		}
	}

	// A service has at most as many carriers as there are hosts, so a changed number of hosts may change it.
	const hosts = countCarriers(state);
	return hosts === countCarriers(previous) ? changed : [...changed, ...updateCarrierCounts(index, state, hosts)];
}

/**
Returns whether a member is a running entry host. A suspected one counts as running: most suspicions are wrong, and moving
its services costs more than waiting for the confirmation.
*/
function isRunningEntryHost(member: Member): boolean {
	return member.roles.includes('entry') && (member.state === 'alive' || member.state === 'suspect');
}

/**
Returns whether every running entry host drains. When the whole fleet stops, its hosts go on serving until the directory's
answers have expired; without carriers, each request of that time would be refused by hosts that can still serve it.
*/
function areAllEntryHostsDraining(state: HostState): boolean {
	return state.members.values().every(member => !isRunningEntryHost(member) || member.draining);
}

function isCarrier(member: Member, areAllDraining: boolean): boolean {
	return isRunningEntryHost(member) && (areAllDraining || !member.draining);
}

function countCarriers(state: HostState): number {
	const areAllDraining = areAllEntryHostsDraining(state);
	return state.members.values().filter(member => isCarrier(member, areAllDraining)).toArray().length;
}

function updateCarrierCounts(index: assignment.CarrierIndex, state: HostState, hosts: number): readonly core.ServiceName[] {
	return state.view.entries.values()
		.flatMap(({entry}) => index.setService(entry.name, getCarrierCount(entry, hosts)))
		.toArray();
}

function updateIndexedServices(index: assignment.CarrierIndex, state: HostState, previous: HostState): readonly core.ServiceName[] {
	if (state.view === previous.view) {
		return [];
	}

	const hosts = countCarriers(state);
	const changed: core.ServiceName[] = [];
	for (const [name, versioned] of state.view.entries) {
		if (previous.view.entries.get(name) !== versioned) {
			changed.push(...index.setService(name, getCarrierCount(versioned.entry, hosts)));
		}
	}

	for (const name of previous.view.entries.keys()) {
		if (state.view.entries.has(name)) {
			continue;
		}

		index.removeService(name);
		changed.push(name);
	}

	return changed;
}

function getCarrierCount(entry: catalogue.Entry, hosts: number): number {
	return assignment.getCarrierCount({
		upstreams: Math.ceil(entry.limits.concurrency / ASSUMED_SLOTS_PER_UPSTREAM),
		slots: ASSUMED_SLOTS_PER_UPSTREAM,
		connectionsPerUpstream: entry.limits.connectionsPerUpstream,
		requestsPerSecond: entry.limits.ratePerSecond ?? 0,
		hosts,
	});
}

function updateCarriers(context: HostContext, index: assignment.CarrierIndex, changed: ReadonlySet<core.ServiceName>): void {
	if (changed.size === 0) {
		return;
	}

	context.store.update(state => {
		const carriers = new Map(state.carriers);
		for (const name of changed) {
			const hosts = index.getCarriers(name);
			if (hosts.length === 0) {
				carriers.delete(name);
			} else {
				carriers.set(name, hosts);
			}
		}

		return {carriers};
	});
}
