/**
The number of entry hosts among which a control host divides the credit of a retry budget.

If it were too small, the parts of all hosts would add up to more than the credit. The directory names only as many hosts as the load needs, and a host that
is cut off from others knows only a part of them, so the largest number of linked entry hosts since the start counts.
*/

/**
Number of entry hosts that divide the credit.
*/
export type CreditHosts = {
	/**
	Has to be called when an entry host has joined.
	*/
	readonly refresh: () => void;
	/**
	Returns 0 while the number is not known.
	*/
	readonly get: () => number;
};

/**
Creates the number of a control host that starts now.

@param now Monotonic time in milliseconds.
@param countHosts Returns the number of entry hosts that this host knows at present.
@param windowMilliseconds Time since the start in which entry hosts are still joining, and the number is not known.
*/
export function createCreditHosts(now: () => number, countHosts: () => number, windowMilliseconds: number): CreditHosts {
	const startedAt = now();
	let most = 0;
	const refresh = () => {
		most = Math.max(most, countHosts());
	};

	return {
		refresh,
		get() {
			refresh();
			return now() - startedAt < windowMilliseconds ? 0 : most;
		},
	};
}
