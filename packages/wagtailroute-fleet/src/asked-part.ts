/**
The part of a fleet's requests that a dispatcher on an entry host is asked for: it hears of no other dispatcher, so of what is limited over all hosts it
gives out no more than the part of those that ask it.
*/
import type * as core from 'wagtailroute-core';
import {PART_ASKER_MILLISECONDS, UNKNOWN_ENTRY_HOSTS} from './constants.ts';
import {createRecentAskers} from './recent-askers.ts';

/**
The part, 0 to 1.
*/
export type AskedPart = {
	readonly note: (host: core.HostId, now: number) => void;
	readonly get: (now: number) => number;
};

/**
Begins with nobody that asks.

@param countEntryHosts Returns how many entry hosts serve callers, 0 when it is not known.
*/
export function createAskedPart(countEntryHosts: () => number): AskedPart {
	const askers = createRecentAskers(PART_ASKER_MILLISECONDS);
	return {
		note: askers.note,
		get(now) {
			const hosts = countEntryHosts();
			return Math.min(1, Math.max(1, askers.count(now)) / (hosts === 0 ? UNKNOWN_ENTRY_HOSTS : hosts));
		},
	};
}
