/**
The share of a fleet's requests that a dispatcher handles.

A dispatcher on an entry host does not know what the others grant, so it grants only this share of a limit that applies to the whole fleet.
*/
import type * as core from 'wagtailroute-core';
import {REQUEST_SHARE_WINDOW_MILLISECONDS} from './constants.ts';
import {getPoolKey, type Pool} from './pools/pool-key.ts';
import {createRecentRequestingHosts, type RecentRequestingHosts} from './recent-requesting-hosts.ts';

/**
Shares, 0 to 1.
*/
export type RequestShare = {
	/**
	Records that a host requested a slot of a pool.
	*/
	readonly record: (host: core.HostId, now: number, pool?: Pool) => void;
	readonly get: (now: number) => number;
	/**
	Returns the share of a pool by its key. While services are divided, only the hosts that request slots of this pool count: those of the others are
	counted by the dispatchers of their pools. Otherwise all hosts that request slots from this dispatcher count.
	*/
	readonly getOf: (key: string, now: number) => number;
	/**
	Returns the share of one entry host.
	*/
	readonly getHostShare: () => number;
};

/**
Creates the share of a dispatcher without slot requests so far.

@param countEntryHosts Returns the number of entry hosts that serve callers, 0 when it is unknown.
@param unknownHosts Number of entry hosts to assume when it is unknown.
@param isOverloadControlOn Returns whether this host counts with divided services even before the first request of a pool.
*/
export function createRequestShare(countEntryHosts: () => number, unknownHosts: number, isOverloadControlOn: () => boolean = () => false): RequestShare {
	const recentHosts = createRecentRequestingHosts(REQUEST_SHARE_WINDOW_MILLISECONDS);
	const recentHostsByPool = new Map<string, RecentRequestingHosts>();
	let hasPools = false;
	const getHostShare = () => {
		const hosts = countEntryHosts();
		return 1 / (hosts === 0 ? unknownHosts : hosts);
	};

	const getShare = (hosts: number) => Math.min(1, Math.max(1, hosts) * getHostShare());
	const get = (now: number) => getShare(recentHosts.count(now));

	return {
		record(host, now, pool) {
			recentHosts.record(host, now);
			if (pool === undefined) {
				return;
			}

			hasPools ||= pool.pool !== undefined;
			const key = getPoolKey(pool);
			const hosts = recentHostsByPool.get(key) ?? createRecentRequestingHosts(REQUEST_SHARE_WINDOW_MILLISECONDS);
			recentHostsByPool.set(key, hosts);
			hosts.record(host, now);
		},
		get,
		getOf: (key, now) => hasPools || isOverloadControlOn() ? getShare(recentHostsByPool.get(key)?.count(now) ?? 0) : get(now),
		getHostShare,
	};
}
