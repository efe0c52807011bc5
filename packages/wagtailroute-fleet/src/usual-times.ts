/**
How long requests of a route usually take, as this host sees it.
*/
import * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {ROUTES_MEASURED} from './constants.ts';

/**
Usual times by route.
*/
export type UsualTimes = {
	/**
	Returns the usual milliseconds; a part of the latency objective for a route that was not measured yet.
	*/
	readonly get: (route: generations.GenerationRoute) => number;
	readonly learn: (route: generations.GenerationRoute, milliseconds: number) => void;
};

/**
Creates an empty table.
*/
export function createUsualTimes(): UsualTimes {
	const usual = new Map<string, number>();
	return {
		get: route => dispatch.estimateUsualMilliseconds(usual.get(route.name), route.objectiveMilliseconds),
		learn(route, milliseconds) {
			utils.setBounded(usual, route.name, dispatch.averageUsualMilliseconds(usual.get(route.name), milliseconds), ROUTES_MEASURED);
		},
	};
}
