/**
The hosts that asked a dispatcher lately.
*/
import type * as core from 'wagtailroute-core';

/**
A table of hosts by the time of their last ask.
*/
export type RecentAskers = {
	readonly note: (host: core.HostId, now: number) => void;
	readonly list: (now: number) => readonly core.HostId[];
	readonly count: (now: number) => number;
};

/**
Creates an empty table.

@param milliseconds Time after its last ask for which a host counts.
*/
export function createRecentAskers(milliseconds: number): RecentAskers {
	const askedAt = new Map<core.HostId, number>();
	const forget = (now: number) => {
		for (const [host, time] of askedAt) {
			if (now - time <= milliseconds) {
				break;
			}

			askedAt.delete(host);
		}
	};

	return {
		note(host, now) {
			// The one that asked last comes last.
			askedAt.delete(host);
			askedAt.set(host, now);
		},
		list(now) {
			forget(now);
			return askedAt.keys().toArray();
		},
		count(now) {
			forget(now);
			return askedAt.size;
		},
	};
}
