/**
Counts of recent events, kept in slices of time, so that memory does not depend on the rate of events.
*/

/**
Counts over a sliding window. Times are monotonic, in milliseconds.
*/
export type RecentCounts<Name extends string> = {
	readonly add: (name: Name, now: number) => void;
	/**
	Returns the sum of each count over the window.
	*/
	readonly sum: (now: number) => Readonly<Record<Name, number>>;
};

/**
Creates counts that are all 0.

@param zero The names of the counts, each with the value 0.
*/
export function createRecentCounts<Name extends string>(
	zero: Readonly<Record<Name, number>>,
	{windowMilliseconds, sliceMilliseconds}: {readonly windowMilliseconds: number; readonly sliceMilliseconds: number},
): RecentCounts<Name> {
	const names = Object.keys(zero) as Name[];
	const slices: Array<{readonly startedAt: number; readonly counts: Record<Name, number>}> = [];

	const evictExpired = (now: number) => {
		while (slices.length > 0 && now - slices[0]!.startedAt > windowMilliseconds) {
			slices.shift();
		}
	};

	const getCounts = (now: number) => {
		evictExpired(now);
		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < sliceMilliseconds) {
			return last.counts;
		}

		const counts = {...zero};
		slices.push({startedAt: now, counts});
		return counts;
	};

	return {
		add(name, now) {
			getCounts(now)[name]++;
		},
		sum(now) {
			evictExpired(now);
			const total: Record<Name, number> = {...zero};
			for (const {counts} of slices) {
				for (const name of names) {
					total[name] += counts[name];
				}
			}

			return total;
		},
	};
}
