/**
Time after which a refused request may return.
*/

/**
Returns the delay in milliseconds: when the queue before the request is expected to have drained, spread by up to a half, so that those refused
together don't return together. It is at most half of the remaining time, so that the return has a chance.

@param random Uniform in [0, 1).
*/
export function getRetryAfter(
	{drainMilliseconds, remainingMilliseconds, leastMilliseconds}: {
		readonly drainMilliseconds: number;
		readonly remainingMilliseconds: number;
		readonly leastMilliseconds: number;
	},
	random: number,
): number {
	const delay = Math.min(drainMilliseconds, remainingMilliseconds / 3);
	return Math.max(leastMilliseconds, delay) * (1 + (random * SPREAD));
}

const SPREAD = 0.5;
