/**
How many entry hosts serve callers, for dispatchers that grant the share of those that ask them.

A control host that has just started knows few entry hosts yet. Taken for all, those few would make the share of each dispatcher too large, so the largest number that
entry hosts told lately counts.
*/
import {ENTRY_HOST_COUNT_TTL_MILLISECONDS} from './constants.ts';

/**
A number of entry hosts.
*/
export type HostCount = {
	/**
	@param hosts 0 when it is not known.
	*/
	readonly record: (hosts: number) => void;
	/**
	Returns the largest of this host's own number and those that were told in the last while; 0 when none is known.
	*/
	readonly get: () => number;
};

/**
Creates a number that nothing is known of.

@param now Monotonic time in milliseconds.
@param countOwn Returns the number that this host knows at present.
*/
export function createHostCount(now: () => number, countOwn: () => number): HostCount {
	/**
	When each number was told last.
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
