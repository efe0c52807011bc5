/**
How long callers of a route wait in all, as their deadlines tell, and so how long one that has less left has waited before: it was refused
or lost its connection, and has come back.
*/
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {MAX_MEASURED_ROUTES} from './constants.ts';

/**
Deadlines by route.
*/
export type CallerDeadlines = {
	/**
	Takes note of the milliseconds that a caller gives, and returns those that it has probably waited before; 0 when it gives none.
	*/
	readonly estimateWaited: (route: generations.GenerationRoute, timeoutMilliseconds: number | undefined) => number;
};

/**
Creates an empty table. A caller whose deadline is shorter than others' counts as one that has waited: under overload it stands behind those
that can be answered in time, else it makes no difference.
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
