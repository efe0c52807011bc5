/**
The directory of a control host: where callers enter, answered here and told to the entry hosts of this failure domain, which answer too.
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
Answers callers who ask where to enter.
*/
export type Directory = {
	/**
	Returns the addresses of entry hosts for a caller, as text.

	@param host Host name that the caller is going to use.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain, host: string) => readonly string[];
	readonly getTable: () => DirectoryTable;
	readonly setGeneration: (generation: generations.Generation) => void;
	readonly teardown: utils.Teardown;
};

/**
What the directory answers from.
*/
export type DirectoryOptions = {
	readonly failureDomain: core.FailureDomain;
	readonly entryHosts: EntryHosts;
	/**
	Returns what is known of a service's upstreams.
	*/
	readonly listUpstreamReports: (service: core.ServiceName) => readonly dispatch.UpstreamReport[];
};

/**
Starts with an empty directory.
*/
export function startDirectory(context: FleetContext, {failureDomain: ownDomain, entryHosts, listUpstreamReports}: DirectoryOptions): Directory {
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
