/**
The hosts that recently requested slots from a dispatcher.
*/
import type * as core from 'wagtailroute-core';

/**
Hosts by the time of their last slot request.
*/
export type RecentRequestingHosts = {
	readonly record: (host: core.HostId, now: number) => void;
	readonly list: (now: number) => readonly core.HostId[];
	readonly count: (now: number) => number;
};

/**
Creates an empty table.

@param retentionMilliseconds Time after its last slot request for which a host is kept.
*/
export function createRecentRequestingHosts(retentionMilliseconds: number): RecentRequestingHosts {
	const requestedAt = new Map<core.HostId, number>();
	const evictExpired = (now: number) => {
		for (const [host, time] of requestedAt) {
			if (now - time <= retentionMilliseconds) {
				break;
			}

			requestedAt.delete(host);
		}
	};

	return {
		record(host, now) {
			// Keeps the map in the order of the last slot requests.
			requestedAt.delete(host);
			requestedAt.set(host, now);
		},
		list(now) {
			evictExpired(now);
			return requestedAt.keys().toArray();
		},
		count(now) {
			evictExpired(now);
			return requestedAt.size;
		},
	};
}
