/**
The route table: the service of a request by host name and path prefix.

A prefix matches whole path segments. A route that names the host takes precedence over one that does not, and a longer prefix over a
shorter one. A look-up costs one map access per segment of the path, whatever the number of routes.
*/
import type * as core from 'wagtailroute-core';
import type {Entry, Route} from './entry.ts';

/**
A route and the service that it belongs to.
*/
export type RouteMatch = {
	readonly service: core.ServiceName;
	readonly route: Route;
};

/**
All routes of the catalogue, by host name ('' for any) and then by path prefix without a final slash.
*/
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, readonly RouteMatch[]>>;

const ANY_HOST = '';

/**
Creates a table of the routes of some entries.
*/
export function createRouteTable(entries: Iterable<Entry>): RouteTable {
	const table: MutableRouteTable = new Map();
	for (const entry of entries) {
		for (const route of entry.routes) {
			addRoute(table, {service: entry.name, route});
		}
	}

	return table;
}

/**
A route table that can be changed in place.
*/
export type MutableRouteTable = Map<string, Map<string, RouteMatch[]>>;

/**
Adds one route to a table.
*/
export function addRoute(table: MutableRouteTable, match: RouteMatch): void {
	const host = match.route.host ?? ANY_HOST;
	const byPrefix = table.get(host) ?? new Map<string, RouteMatch[]>();
	const prefix = normalizePrefix(match.route.pathPrefix);
	const matches = byPrefix.get(prefix) ?? [];
	matches.push(match);
	byPrefix.set(prefix, matches);
	table.set(host, byPrefix);
}

/**
Removes the routes of an entry, and the maps that this leaves empty, so that the table does not grow with removed entries.
*/
export function removeRoutes(table: MutableRouteTable, entry: Entry): void {
	for (const route of entry.routes) {
		const host = route.host ?? ANY_HOST;
		const prefix = normalizePrefix(route.pathPrefix);
		const byPrefix = table.get(host);
		const kept = byPrefix?.get(prefix)?.filter(match => match.service !== entry.name) ?? [];
		if (kept.length > 0) {
			byPrefix?.set(prefix, kept);
		} else {
			byPrefix?.delete(prefix);
		}

		if (byPrefix?.size === 0) {
			table.delete(host);
		}
	}
}

/**
Returns a path prefix without its final slash: `/a` and `/a/` match the same requests.
*/
export function normalizePrefix(prefix: string): string {
	return prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
}

/**
Returns the route of a request, undefined if none matches.

@param host The Host header without its port, in lower case.
@param path The path without its query.
*/
export function matchRoute(table: RouteTable, host: string, method: string, path: string): RouteMatch | undefined {
	return matchHost(table.get(host), method, path) ?? matchHost(table.get(ANY_HOST), method, path);
}

function matchHost(
	byPrefix: ReadonlyMap<string, readonly RouteMatch[]> | undefined,
	method: string,
	path: string,
): RouteMatch | undefined {
	if (byPrefix === undefined) {
		return undefined;
	}

	let prefix = normalizePrefix(path);
	for (;;) {
		const match = byPrefix.get(prefix)?.find(candidate => isMethodServed(candidate.route, method));
		if (match !== undefined || prefix === '') {
			return match;
		}

		prefix = prefix.slice(0, Math.max(0, prefix.lastIndexOf('/')));
	}
}

function isMethodServed(route: Route, method: string): boolean {
	return route.methods?.includes(method) ?? true;
}

/**
A route of an entry, by its position in the entry, and the route of another service that it conflicts with.
*/
export type RouteConflict = {
	readonly index: number;
	readonly other: RouteMatch;
};

/**
Returns a route of another service that has the host, the prefix and a method in common with a route of the entry. Without this check,
requests that match both would go to the service that was added first.
*/
export function findConflict(table: RouteTable, entry: Entry): RouteMatch | undefined {
	return listConflicts(table, entry)[0]?.other;
}

/**
Returns all conflicts of the routes of an entry, see `findConflict`.
*/
export function listConflicts(table: RouteTable, entry: Entry): readonly RouteConflict[] {
	return entry.routes.flatMap((route, index) => {
		const matches = table.get(route.host ?? ANY_HOST)?.get(normalizePrefix(route.pathPrefix)) ?? [];
		return matches
			.filter(match => match.service !== entry.name && haveCommonMethod(match.route, route))
			.map(other => ({index, other}));
	});
}

function haveCommonMethod(left: Route, right: Route): boolean {
	return left.methods === undefined || right.methods === undefined ? true : left.methods.some(method => right.methods?.includes(method));
}
