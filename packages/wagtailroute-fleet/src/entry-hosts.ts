/**
The entry hosts that have a link to this control host, and the choice of those that the directory returns to callers.

The directory returns some entry hosts of the caller's failure domain: the same for all callers, and as many as the load needs. The
others are available when one of these stops.
*/
import * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {MAX_FORWARDING_ADDRESSES, SILENT_ENTRY_MILLISECONDS, SILENT_FAR_ENTRY_MILLISECONDS} from './constants.ts';
import {adaptDirectorySize, type DirectorySize} from './directory-size.ts';
import {orderDispatchers} from './dispatch-order.ts';
import type {EntryState} from './messages.ts';

/**
An entry host, as described by the first and later messages on its link.
*/
export type EntryHost = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly state: EntryState;
	readonly link: link.Link;
};

/**
Entry hosts by link and by id.
*/
export type EntryHosts = {
	readonly add: (host: EntryHost) => void;
	/**
	Replaces the state of a host and returns the host with its previous state; undefined for an unknown link.
	*/
	readonly setState: (entryLink: link.Link, state: EntryState) => EntryHost | undefined;
	readonly remove: (entryLink: link.Link) => EntryHost | undefined;
	readonly find: (id: core.HostId) => EntryHost | undefined;
	readonly findByLink: (entryLink: link.Link) => EntryHost | undefined;
	readonly notifyAll: (method: string, parameters: unknown) => void;
	readonly count: () => number;
	readonly listAll: () => readonly EntryHost[];
	/**
	Returns the hosts that are ready and whose last message is recent enough.
	*/
	readonly listReady: () => readonly EntryHost[];
	/**
	Returns the addresses for a caller; empty when no entry host is known to serve.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain) => readonly core.Address[];
	/**
	Returns the addresses of hosts to which others may forward requests, of all failure domains in turn.
	*/
	readonly listForwardingAddresses: () => readonly core.Address[];
};

/**
Creates an empty table.

@param ownDomain Failure domain of this control host.
@param now Monotonic time in milliseconds.
*/
export function createEntryHosts(ownDomain: core.FailureDomain, now: () => number): EntryHosts {
	const widths = new Map<core.FailureDomain, DirectorySize>();
	const byLink = new Map<link.Link, EntryHost>();
	const byId = new Map<core.HostId, EntryHost>();

	const set = (host: EntryHost) => {
		byLink.set(host.link, host);
		byId.set(host.id, host);
	};

	const isServing = (host: EntryHost) => {
		const maxSilenceMilliseconds = host.failureDomain === ownDomain ? SILENT_ENTRY_MILLISECONDS : SILENT_FAR_ENTRY_MILLISECONDS;
		return host.state.isReady && host.link.getSilenceMilliseconds() < maxSilenceMilliseconds;
	};

	return {
		add: set,
		setState(entryLink, state) {
			const host = byLink.get(entryLink);
			if (host !== undefined) {
				set({...host, state});
			}

			return host;
		},
		remove(entryLink) {
			const host = byLink.get(entryLink);
			byLink.delete(entryLink);
			// The host may have opened a new link already.
			if (host !== undefined && byId.get(host.id)?.link === entryLink) {
				byId.delete(host.id);
			}

			return host;
		},
		find: id => byId.get(id),
		findByLink: entryLink => byLink.get(entryLink),
		notifyAll(method, parameters) {
			for (const host of byId.values()) {
				host.link.notify(method, parameters);
			}
		},
		count: () => byId.size,
		listAll: () => byId.values().toArray(),
		listReady: () => byId.values().filter(host => isServing(host)).toArray(),
		listAddresses(failureDomain) {
			const serving = byId.values().filter(host => isServing(host)).toArray();
			const reaching = serving.filter(host => host.state.isIsolated !== true);
			const preferred = reaching.length > 0 ? reaching : serving;
			const near = preferred.filter(host => host.failureDomain === failureDomain);
			const chosen = near.length > 0 ? near : preferred;
			const width = adaptDirectorySize(widths.get(failureDomain), chosen.map(host => host.state.load), now());
			widths.set(failureDomain, width);
			return orderDispatchers('directory', chosen, host => host.id)
				.slice(0, Math.ceil(width.hosts))
				.map(host => host.state.trafficAddress);
		},
		listForwardingAddresses() {
			const targets = byId.values().filter(host => isServing(host) && host.state.isIsolated !== true && host.state.forwardingAddress !== undefined).toArray();
			const byDomain = Map.groupBy(orderDispatchers('forwarding', targets, host => host.id), host => host.failureDomain).values().toArray();
			const most = Math.max(0, ...byDomain.map(({length}) => length));
			return Array.from({length: most}, (_, index) => byDomain.map(hosts => hosts[index])).flat()
				.flatMap(host => host?.state.forwardingAddress ?? [])
				.slice(0, MAX_FORWARDING_ADDRESSES);
		},
	};
}

/**
Returns the log fields of a host.
*/
export function describeEntryHost({id, state}: EntryHost): Readonly<Record<string, unknown>> {
	return {
		entry: id, address: core.formatAddress(state.trafficAddress), isReady: state.isReady, load: state.load,
	};
}
