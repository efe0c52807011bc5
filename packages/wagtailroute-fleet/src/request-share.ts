/**
The share of a fleet's requests that a dispatcher on an entry host handles.

Such a dispatcher does not hear of the others, so of a limit that holds over the whole fleet it grants this share only.
*/
import type * as core from 'wagtailroute-core';
import {REQUEST_SHARE_WINDOW_MILLISECONDS} from './constants.ts';
import {createRecentRequestingHosts} from './recent-requesting-hosts.ts';

/**
A share, 0 to 1.
*/
export type RequestShare = {
	/**
	Records that a host sent an ask.
	*/
	readonly record: (host: core.HostId, now: number) => void;
	readonly get: (now: number) => number;
	/**
	Returns the share of one host.
	*/
	readonly getHostShare: () => number;
};

/**
Creates the share of a dispatcher that no host has asked yet.

@param countEntryHosts Returns how many entry hosts serve callers, 0 when it is not known.
@param unknownHosts Entry hosts that there are taken to be then.
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
