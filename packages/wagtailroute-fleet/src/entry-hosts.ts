/**
The entry hosts that have a link to this control host, and the answer of the directory.

The directory names some entry hosts of the caller's failure domain, the same for all callers, as many as the load needs. The
others are at hand for when one of these goes.
*/
import * as core from 'wagtailroute-core';
import type * as link from 'wagtailroute-link';
import {SILENT_ENTRY_MILLISECONDS, SILENT_FAR_ENTRY_MILLISECONDS} from './constants.ts';
import {adaptDirectorySize, type DirectorySize} from './directory-size.ts';
import {orderDispatchers} from './dispatch-order.ts';
import type {EntryState} from './messages.ts';

/**
An entry host as its first message and later ones described it.
*/
export type EntryHost = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly state: EntryState;
	readonly link: link.Link;
};

/**
The table of entry hosts that have a link here.
*/
export type EntryHosts = {
	readonly add: (host: EntryHost) => void;
	/**
	Returns the host as it was before.
	*/
	readonly setState: (entryLink: link.Link, state: EntryState) => EntryHost | undefined;
	readonly remove: (entryLink: link.Link) => EntryHost | undefined;
	readonly find: (id: core.HostId) => EntryHost | undefined;
	readonly findByLink: (entryLink: link.Link) => EntryHost | undefined;
	readonly notifyAll: (method: string, parameters: unknown) => void;
	readonly count: () => number;
	readonly listAll: () => readonly EntryHost[];
	/**
	Returns those that serve, as far as is known.
	*/
	readonly listReady: () => readonly EntryHost[];
	/**
	Returns the addresses for a caller; none when no entry host is known to serve.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain) => readonly core.Address[];
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
		const silence = host.failureDomain === ownDomain ? SILENT_ENTRY_MILLISECONDS : SILENT_FAR_ENTRY_MILLISECONDS;
		return host.state.isReady && host.link.getSilence() < silence;
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
			// The host may have opened another link already.
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
			const near = serving.filter(host => host.failureDomain === failureDomain);
			const chosen = near.length > 0 ? near : serving;
			const width = adaptDirectorySize(widths.get(failureDomain), chosen.map(host => host.state.load), now());
			widths.set(failureDomain, width);
			return orderDispatchers('directory', chosen, host => host.id)
				.slice(0, Math.ceil(width.hosts))
				.map(host => host.state.trafficAddress);
		},
	};
}

/**
Writes a host for the log.
*/
export function describeEntryHost({id, state}: EntryHost): Readonly<Record<string, unknown>> {
	return {
		entry: id, address: core.formatAddress(state.trafficAddress), isReady: state.isReady, load: state.load,
	};
}
