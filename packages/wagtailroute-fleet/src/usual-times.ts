/**
How long requests of a route usually take, as this host sees it.
*/
import * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {MAX_MEASURED_ROUTES} from './constants.ts';

/**
Usual times by route.
*/
export type UsualTimes = {
	/**
	Returns the usual milliseconds; a part of the latency objective for a route that was not measured yet.
	*/
	readonly get: (route: generations.GenerationRoute) => number;
	readonly record: (route: generations.GenerationRoute, milliseconds: number) => void;
};

/**
Creates an empty table.
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
