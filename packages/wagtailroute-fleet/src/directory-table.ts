/**
What entry hosts answer to callers who ask where to enter: the table that the control hosts of their failure domain told last.

Were control hosts the only ones to answer, callers would lose a second at each one that is away, and for as long as all are, those
without an earlier answer could not enter at all although every entry host serves. A table that is out of date costs less: callers turn
away from an address that fails them.
*/
import type * as core from 'wagtailroute-core';

/**
Callers of a host name had better enter in another failure domain than their own.
*/
export type Detour = {
	/**
	Host name in lower case.
	*/
	readonly host: string;
	readonly from: core.FailureDomain;
	readonly to: core.FailureDomain;
};

/**
Addresses of entry hosts by failure domain, as text.
*/
export type DirectoryTable = {
	readonly addresses: Readonly<Record<core.FailureDomain, readonly string[]>>;
	readonly detours: readonly Detour[];
};

/**
The table of a host that has heard of none.
*/
export const EMPTY_DIRECTORY_TABLE: DirectoryTable = {addresses: {}, detours: []};

/**
Returns the addresses for a caller, as text: those of its failure domain, or all when none is known there.

@param host Host name that the caller is going to use.
*/
export function lookUpAddresses({addresses, detours}: DirectoryTable, failureDomain: core.FailureDomain, host: string): readonly string[] {
	const detour = detours.find(({from, host: name}) => from === failureDomain && name === host.toLowerCase());
	const near = addresses[detour?.to ?? failureDomain] ?? [];
	return near.length > 0 ? near : Object.values(addresses).flat();
}

/**
Counts the entry hosts that callers are told of.
*/
export function countAddresses({addresses}: DirectoryTable): number {
	return Object.values(addresses).reduce((sum, {length}) => sum + length, 0);
}
