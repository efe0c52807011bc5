/**
The share of a fleet's requests that a dispatcher on an entry host handles.

Such a dispatcher does not hear of the others, so of a limit that holds over the whole fleet it grants this share only.
*/
import type * as core from 'wagtailroute-core';
import {REQUEST_SHARE_WINDOW_MILLISECONDS} from './constants.ts';
import {createRecentAskers} from './recent-askers.ts';

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
	readonly getOne: () => number;
};

/**
Creates the share of a dispatcher that no host has asked yet.

@param countEntryHosts Returns how many entry hosts serve callers, 0 when it is not known.
@param unknownHosts Entry hosts that there are taken to be then.
*/
export function createRequestShare(countEntryHosts: () => number, unknownHosts: number): RequestShare {
	const askers = createRecentAskers(REQUEST_SHARE_WINDOW_MILLISECONDS);
	const getOne = () => {
		const hosts = countEntryHosts();
		return 1 / (hosts === 0 ? unknownHosts : hosts);
	};

	return {
		record: askers.note,
		get: now => Math.min(1, Math.max(1, askers.count(now)) * getOne()),
		getOne,
	};
}
