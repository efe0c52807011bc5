/**
The share of a fleet's requests that a dispatcher handles.

A dispatcher on an entry host does not know what the others grant, so it grants only this share of a limit that applies to the whole fleet.
*/
import type * as core from 'wagtailroute-core';
import {REQUEST_SHARE_WINDOW_MILLISECONDS} from './constants.ts';
import {createRecentRequestingHosts} from './recent-requesting-hosts.ts';

/**
Shares, 0 to 1.
*/
export type RequestShare = {
	/**
	Records that a host requested a slot.
	*/
	readonly record: (host: core.HostId, now: number) => void;
	readonly get: (now: number) => number;
	/**
	Returns the share of one entry host.
	*/
	readonly getHostShare: () => number;
};

/**
Creates the share of a dispatcher without slot requests so far.

@param countEntryHosts Returns the number of entry hosts that serve callers, 0 when it is unknown.
@param unknownHosts Number of entry hosts to assume when it is unknown.
*/
export function createRequestShare(countEntryHosts: () => number, unknownHosts: number): RequestShare {
	const recentHosts = createRecentRequestingHosts(REQUEST_SHARE_WINDOW_MILLISECONDS);
	const getHostShare = () => {
		const hosts = countEntryHosts();
		return 1 / (hosts === 0 ? unknownHosts : hosts);
	};

	return {
		record: recentHosts.record,
		get: now => Math.min(1, Math.max(1, recentHosts.count(now)) * getHostShare()),
		getHostShare,
	};
}
