/**
The number of entry hosts that serve callers, for dispatchers that grant only the share of the hosts that request slots from them.

A control host that has just started knows only a few entry hosts. If it counted only those, the share of each dispatcher would be too large, so the largest number
that entry hosts reported recently counts.
*/
import {ENTRY_HOST_COUNT_TTL_MILLISECONDS} from './constants.ts';

/**
Number of entry hosts, as far as known.
*/
export type EntryHostCount = {
	/**
	Records a number that another host reported.

	@param hosts 0 when it is unknown.
	*/
	readonly record: (hosts: number) => void;
	/**
	Returns the largest of this host's own number and those that were reported recently; 0 when none is known.
	*/
	readonly get: () => number;
};

/**
Creates a count without reports so far.

@param now Monotonic time in milliseconds.
@param countOwn Returns the number of entry hosts that this host knows at present.
*/
export function createEntryHostCount(now: () => number, countOwn: () => number): EntryHostCount {
	/**
	When each number was last reported.
	*/
	const reportedAt = new Map<number, number>();

	return {
		record(hosts) {
			reportedAt.set(hosts, now());
		},
		get() {
			for (const [hosts, at] of reportedAt) {
				if (now() - at > ENTRY_HOST_COUNT_TTL_MILLISECONDS) {
					reportedAt.delete(hosts);
				}
			}

			return Math.max(countOwn(), ...reportedAt.keys());
		},
	};
}
