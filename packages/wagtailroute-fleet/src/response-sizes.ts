/**
Sizes of the responses of each route, as seen by this host. Dispatchers learn from them which requests should not cross failure domains.
*/
import * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import type * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import {MAX_MEASURED_ROUTES} from './constants.ts';

/**
Response sizes by route.
*/
export type ResponseSizes = {
	/**
	Returns the average of a route; 0 without measurements.
	*/
	readonly get: (route: Pick<generations.GenerationRoute, 'name'>) => number;
	/**
	Records the size of a response and returns the bytes to report to the dispatcher: the stated length, else the average of the route.
	*/
	readonly record: (route: Pick<generations.GenerationRoute, 'name'>, size: proxy.ResponseSize) => number;
};

/**
Creates a table without measurements.
*/
export function createResponseSizes(): ResponseSizes {
	const averages = new Map<string, number>();
	return {
		get: ({name}) => averages.get(name) ?? 0,
		record({name}, {bytes, isStated}) {
			const average = dispatch.averageResponseBytes(averages.get(name), bytes);
			utils.setBounded(averages, name, average, MAX_MEASURED_ROUTES);
			return Math.round(isStated ? bytes : average);
		},
	};
}
