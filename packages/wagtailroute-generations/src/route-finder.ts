/**
Finds the route of a request in a generation: of the routes of its host, the one with the longest prefix of the path.

A look-up costs one map access for each slash of the path, whatever the number of routes. Prefixes that do not end with a slash are rare
and compared one by one.
*/
import type {Generation, GenerationRoute} from './generation.ts';

/**
Returns the route of a request, undefined if none matches.

@param host Host name without its port, in lower case.
@param path Path without its query.
*/
export type RouteFinder = (host: string, path: string) => GenerationRoute | undefined;

type HostRoutes = {
	/**
	Routes whose prefix ends with a slash, by prefix.
	*/
	readonly segmentRoutes: Map<string, GenerationRoute>;
	/**
	Routes whose prefix does not end with a slash, so that it may end within a path segment.
	*/
	readonly partialSegmentRoutes: GenerationRoute[];
};

/**
Creates the finder for the routes of a generation.
*/
export function createRouteFinder({routes}: Generation): RouteFinder {
	const hosts = new Map<string, HostRoutes>();
	for (const route of routes) {
		addRoute(hosts, route);
	}

	return (host, path) => {
		const found = hosts.get(host);
		return found && getMoreSpecificRoute(findSegmentRoute(found, path), findPartialSegmentRoute(found, path));
	};
}

function addRoute(hosts: Map<string, HostRoutes>, route: GenerationRoute): void {
	const host = route.host.toLowerCase();
	const present: HostRoutes = hosts.get(host) ?? {segmentRoutes: new Map(), partialSegmentRoutes: []};
	hosts.set(host, present);
	if (route.pathPrefix.endsWith('/')) {
		present.segmentRoutes.set(route.pathPrefix, route);
	} else {
		present.partialSegmentRoutes.push(route);
	}
}

function findSegmentRoute({segmentRoutes}: HostRoutes, path: string): GenerationRoute | undefined {
	for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const route = segmentRoutes.get(path.slice(0, end + 1));
		if (route !== undefined) {
			return route;
		}
	}

	return undefined;
}

function findPartialSegmentRoute({partialSegmentRoutes}: HostRoutes, path: string): GenerationRoute | undefined {
	let longest: GenerationRoute | undefined;
	for (const route of partialSegmentRoutes) {
		longest = path.startsWith(route.pathPrefix) ? getMoreSpecificRoute(longest, route) : longest;
	}

	return longest;
}

function getMoreSpecificRoute(left: GenerationRoute | undefined, right: GenerationRoute | undefined): GenerationRoute | undefined {
	if (left === undefined || right === undefined) {
		return left ?? right;
	}

	return left.pathPrefix.length >= right.pathPrefix.length ? left : right;
}
