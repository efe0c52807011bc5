/**
The longest deadline that callers of each route send. A caller that sends a shorter one has probably waited for the difference before: its request was refused
or its connection lost, and it retries.
*/
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {MAX_MEASURED_ROUTES} from './constants.ts';

/**
Longest deadlines by route.
*/
export type CallerDeadlines = {
	/**
	Records the deadline of a caller in milliseconds, and returns how many milliseconds it has probably waited before; 0 without a deadline.
	*/
	readonly estimateWaited: (route: generations.GenerationRoute, timeoutMilliseconds: number | undefined) => number;
};

/**
Creates a table without deadlines. A caller whose deadline is shorter than those of others counts as one that has waited: under overload it is served after those
that can be answered in time, otherwise it makes no difference.
*/
export function createCallerDeadlines(): CallerDeadlines {
	const longest = new Map<string, number>();
	return {
		estimateWaited({name}, timeoutMilliseconds) {
			if (timeoutMilliseconds === undefined) {
				return 0;
			}

			const known = Math.max(timeoutMilliseconds, longest.get(name) ?? 0);
			utils.setBounded(longest, name, known, MAX_MEASURED_ROUTES);
			return known - timeoutMilliseconds;
		},
	};
}
