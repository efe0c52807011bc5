/**
The hosts that asked a dispatcher lately.
*/
import type * as core from 'wagtailroute-core';

/**
A table of hosts by the time of their last ask.
*/
export type RecentRequestingHosts = {
	readonly record: (host: core.HostId, now: number) => void;
	readonly list: (now: number) => readonly core.HostId[];
	readonly count: (now: number) => number;
};

/**
Creates an empty table.

@param retentionMilliseconds Time after its last ask for which a host counts.
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
			// The one that asked last comes last.
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
