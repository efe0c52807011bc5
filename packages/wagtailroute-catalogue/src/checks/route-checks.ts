/**
Checks of routes: routes that the fleet would refuse because of another service, and routes that no request matches.

The longest prefix wins, and a route with a host wins over one without. A route is therefore covered entirely only by earlier routes of the
same entry with the same host and prefix; those of other services are refused as conflicts.
*/
import * as http from 'node:http';
import type {Entry, Route} from '../entry.ts';
import type {RouteIndex} from '../route-index.ts';
import {normalizePrefix} from '../routes.ts';
import {createFinding, type Finding, type FindingCode} from './findings.ts';

/**
The methods that the HTTP server of an entry host passes on: the parser refuses unknown ones, and CONNECT is no request for a route.
*/
const RECEIVED_METHODS: ReadonlySet<string> = new Set(http.METHODS.filter(method => method !== 'CONNECT'));

/**
Requests are matched by their Host header without its port.
*/
const HOST_WITH_PORT_PATTERN = /:\d+$/v;

type RouteFault = {
	readonly code: FindingCode;
	readonly field?: 'host' | 'methods';
	readonly message: string;
};

/**
Finds the routes of an entry that conflict with routes of other services in the index.
*/
export function findRouteConflicts(entry: Entry, index: RouteIndex): readonly Finding[] {
	return index.listConflicts(entry).map(conflict => {
		const {service, route} = conflict.other;
		const message = `${service} has ${describeRoute(route)} with a method in common. Entries are applied in the order of the file.`;
		return createFinding('route-conflict', entry.name, message, `routes.${conflict.index}`);
	});
}

/**
Finds the routes of an entry that no request matches, and whether this holds for all of them.
*/
export function findUnmatchedRoutes(entry: Entry): readonly Finding[] {
	const served = new Map<string, ReadonlySet<string>>();
	const findings = entry.routes.flatMap((route, index) => {
		const location = `${route.host ?? ''}${normalizePrefix(route.pathPrefix)}`;
		const earlier = served.get(location) ?? new Set<string>();
		const methods = RECEIVED_METHODS.intersection(new Set(route.methods ?? RECEIVED_METHODS));
		served.set(location, earlier.union(methods));
		const fault = findRouteFault(route, methods, earlier);
		return fault === undefined ? [] : [createFinding(fault.code, entry.name, fault.message, getFieldPath(index, fault))];
	});
	return findings.length < entry.routes.length
		? findings
		: [...findings, createFinding('service-unmatched', entry.name, 'No request matches a route of the service.')];
}

function findRouteFault(route: Route, methods: ReadonlySet<string>, earlier: ReadonlySet<string>): RouteFault | undefined {
	if (HOST_WITH_PORT_PATTERN.test(route.host ?? '')) {
		return {code: 'host-with-port', field: 'host', message: 'No request matches: the host of a request is compared without its port.'};
	}

	if (methods.size === 0) {
		return {code: 'methods-unknown', field: 'methods', message: 'No request matches: entry hosts receive none of these methods.'};
	}

	return methods.isSubsetOf(earlier)
		? {code: 'route-covered', message: `No request matches: earlier routes of the entry serve all methods of ${describeRoute(route)}.`}
		: undefined;
}

function getFieldPath(index: number, {field}: RouteFault): string {
	return field === undefined ? `routes.${index}` : `routes.${index}.${field}`;
}

function describeRoute({host, pathPrefix}: Route): string {
	return host === undefined ? pathPrefix : `${host}${pathPrefix}`;
}
