/**
Checks of routes that no request matches.

The longest prefix wins, so a request whose path is the prefix of a route itself goes to this route. A route is therefore covered entirely
only by one with the same host and prefix, which `parseGeneration` refuses.
*/
import type {Generation, GenerationRoute} from '../generation.ts';
import type {GenerationWarning, GenerationWarningCode} from './warnings.ts';

type RouteCheck = {
	readonly code: GenerationWarningCode;
	readonly field: 'host' | 'pathPrefix';
	readonly pattern: RegExp;
	readonly message: string;
};

const ROUTE_CHECKS: readonly RouteCheck[] = [
	{
		code: 'host-with-port', field: 'host', pattern: /:\d+$/v, message: 'No request matches: the host of a request is compared without its port.',
	},
	{
		code: 'prefix-with-query', field: 'pathPrefix', pattern: /\?/v, message: 'No request matches: the path of a request is compared without its query.',
	},
];

/**
Finds the routes that no request matches.
*/
export function findUnmatchedRoutes({routes}: Pick<Generation, 'routes'>): readonly GenerationWarning[] {
	return routes.flatMap((route, index) => listFaults(route).map(({code, field, message}) => ({code, path: ['routes', index, field], message})));
}

function listFaults(route: GenerationRoute): readonly RouteCheck[] {
	return ROUTE_CHECKS.filter(({field, pattern}) => pattern.test(route[field]));
}
