/**
The usual duration of the requests of each route, as measured by this host.
*/
import * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {MAX_MEASURED_ROUTES} from './constants.ts';

/**
Usual durations by route.
*/
export type UsualTimes = {
	/**
	Returns the usual milliseconds; a fraction of the latency objective for a route without measurements.
	*/
	readonly get: (route: generations.GenerationRoute) => number;
	readonly record: (route: generations.GenerationRoute, milliseconds: number) => void;
};

/**
Creates a table without measurements.
*/
export function createUsualTimes(): UsualTimes {
	const usualMilliseconds = new Map<string, number>();
	return {
		get: route => dispatch.estimateUsualMilliseconds(usualMilliseconds.get(route.name), route.objectiveMilliseconds),
		record(route, milliseconds) {
			utils.setBounded(usualMilliseconds, route.name, dispatch.averageUsualMilliseconds(usualMilliseconds.get(route.name), milliseconds), MAX_MEASURED_ROUTES);
		},
	};
}
