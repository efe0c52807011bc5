/**
The directory as entry hosts answer look-ups from it: the table that the control hosts of their failure domain published last.

If only control hosts answered, callers would lose a second at each unreachable one, and while none can be reached, callers without an earlier
answer would find no entry host although every one serves. An outdated table costs less: callers stop using an address that fails.
*/
import type * as core from 'wagtailroute-core';

/**
Callers of a host name are sent to entry hosts of another failure domain than their own.
*/
export type Detour = {
	/**
	Host name in lower case.
	*/
	readonly host: string;
	/**
	Failure domain of the callers.
	*/
	readonly from: core.FailureDomain;
	/**
	Failure domain of the entry hosts.
	*/
	readonly to: core.FailureDomain;
};

/**
Addresses of entry hosts by their failure domain, as text, and the exceptions to it.
*/
export type DirectoryTable = {
	readonly addresses: Readonly<Record<core.FailureDomain, readonly string[]>>;
	readonly detours: readonly Detour[];
	/**
	Addresses of entry hosts to which others may forward requests; absent in a table of a host that does not know any.
	*/
	readonly forwardingAddresses?: readonly core.Address[];
	/**
	Whether the fleet has so many entry hosts that it counts as large. The addresses don't tell: callers are sent to a part of the hosts only. Absent: no.
	*/
	readonly isLargeFleet?: true;
};

/**
The table of a host that has received none.
*/
export const EMPTY_DIRECTORY_TABLE: DirectoryTable = {addresses: {}, detours: []};

/**
Returns the addresses for a caller, as text: those of its failure domain or of the detour from it, or all when none is known there.

@param host Host name of the requests that the caller is going to send.
*/
export function lookUpAddresses({addresses, detours}: DirectoryTable, failureDomain: core.FailureDomain, host: string): readonly string[] {
	const detour = detours.find(({from, host: name}) => from === failureDomain && name === host.toLowerCase());
	const near = addresses[detour?.to ?? failureDomain] ?? [];
	return near.length > 0 ? near : Object.values(addresses).flat();
}

/**
Returns the failure domains with entry hosts that serve callers, in the same order at all hosts.
*/
export function listEntryDomains({addresses}: DirectoryTable): readonly core.FailureDomain[] {
	return Object.keys(addresses).filter(domain => addresses[domain]!.length > 0).toSorted();
}

/**
Counts the entry hosts that the table names.
*/
export function countAddresses({addresses}: DirectoryTable): number {
	return Object.values(addresses).reduce((sum, {length}) => sum + length, 0);
}
