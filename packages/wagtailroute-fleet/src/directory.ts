/**
The directory of a control host: which entry hosts a caller uses. This host answers look-ups, and publishes its answers to the entry hosts of
its own failure domain, which answer look-ups too.
*/
import * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import type * as utils from 'wagtailroute-utils';
import {DIRECTORY_INTERVAL_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type Detour, type DirectoryTable, EMPTY_DIRECTORY_TABLE} from './directory-table.ts';
import {chooseEntryDomain, listUploadServices} from './entry-domain.ts';
import type {EntryHosts} from './entry-hosts.ts';
import {METHODS} from './messages.ts';

/**
The directory, as callers and entry hosts use it.
*/
export type Directory = {
	/**
	Returns the addresses of entry hosts for a caller, as text.

	@param failureDomain Failure domain of the caller.
	@param host Host name of the requests that the caller is going to send.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain, host: string) => readonly string[];
	/**
	Returns the table that was published last.
	*/
	readonly getTable: () => DirectoryTable;
	readonly setGeneration: (generation: generations.Generation) => void;
	readonly teardown: utils.Teardown;
};

/**
What the directory is computed from.
*/
export type DirectoryOptions = {
	readonly failureDomain: core.FailureDomain;
	readonly entryHosts: EntryHosts;
	readonly isLargeFleet: () => boolean;
	/**
	Returns the state of a service's upstreams.
	*/
	readonly listUpstreamReports: (service: core.ServiceName) => readonly dispatch.UpstreamReport[];
};

/**
Starts with an empty table, which is computed again at an interval and published when it has changed.
*/
export function startDirectory(context: FleetContext, {
	failureDomain: ownDomain, entryHosts, isLargeFleet, listUpstreamReports,
}: DirectoryOptions): Directory {
	let uploadServices: ReadonlyMap<string, core.ServiceName> = new Map();
	let table = EMPTY_DIRECTORY_TABLE;
	let publishedText = '';

	const listAddressTexts = (failureDomain: core.FailureDomain) => entryHosts.listAddresses(failureDomain).map(address => core.formatAddress(address));

	const listDetours = (domains: readonly core.FailureDomain[]): readonly Detour[] => {
		const reports = new Map(new Set(uploadServices.values()).values().map(service => [service, listUpstreamReports(service)] as const));
		return uploadServices.entries().flatMap(([host, service]) => domains
			.map((from): Detour => ({host, from, to: chooseEntryDomain(from, reports.get(service)!)}))
			.filter(({from, to}) => from !== to)).toArray();
	};

	const createTable = (): DirectoryTable => {
		const domains = [...new Set(entryHosts.listReady().map(({failureDomain}) => failureDomain))].toSorted();
		return {
			addresses: Object.fromEntries(domains.map(domain => [domain, listAddressTexts(domain)])),
			detours: listDetours(domains),
			forwardingAddresses: entryHosts.listForwardingAddresses(),
			...isLargeFleet() && {isLargeFleet: true},
		};
	};

	const publish = () => {
		table = createTable();
		const text = JSON.stringify(table);
		if (text === publishedText) {
			return;
		}

		publishedText = text;
		for (const {failureDomain, link} of entryHosts.listReady()) {
			if (failureDomain === ownDomain) {
				link.notify(METHODS.directory, table);
			}
		}
	};

	return {
		listAddresses(failureDomain, host) {
			const service = uploadServices.get(host.toLowerCase());
			return listAddressTexts(service === undefined ? failureDomain : chooseEntryDomain(failureDomain, listUpstreamReports(service)));
		},
		getTable: () => table,
		setGeneration(generation) {
			uploadServices = listUploadServices(generation);
		},
		teardown: context.repeat(DIRECTORY_INTERVAL_MILLISECONDS, publish),
	};
}
