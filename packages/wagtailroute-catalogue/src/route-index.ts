/**
The routes in force, kept up to date entry by entry.

Building the table anew for each change cost 24 ms at 6,900 entries (docs/data/catalogue-catalogue.json of the first
version): every request of that moment waited, and a burst of 500 changes took longer than the 4 s in which changes must be
in force. So the index is changed in place: what a change costs follows the entry, not the catalogue. It is held by one
owner and read on the same thread, so no reader ever sees it half changed.
*/
import type * as core from 'wagtailroute-core';
import type {Entry} from './entry.ts';
import {
	addRoute,
	findConflict,
	matchRoute,
	type MutableRouteTable,
	removeRoutes,
	type RouteMatch,
} from './routes.ts';
import type {View} from './view.ts';

/**
The routes in force.
*/
export type RouteIndex = {
	/**
	Adds an entry's routes, or replaces them.
	*/
	readonly setEntry: (entry: Entry) => void;
	readonly removeEntry: (name: core.ServiceName) => void;
	/**
	Follows a view to a later one.
	*/
	readonly applyViewChange: (previous: View, next: View) => void;
	/**
	Finds the route of a request, see `matchRoute`.
	*/
	readonly match: (host: string, method: string, path: string) => RouteMatch | undefined;
	/**
	Finds a route of the entry that another service already has.
	*/
	readonly findConflict: (entry: Entry) => RouteMatch | undefined;
};

/**
Creates an index without routes.
*/
export function createRouteIndex(): RouteIndex {
	const table: MutableRouteTable = new Map();
	const entries = new Map<core.ServiceName, Entry>();

	const removeEntry = (name: core.ServiceName) => {
		const entry = entries.get(name);
		if (entry === undefined) {
			return;
		}

		removeRoutes(table, entry);
		entries.delete(name);
	};

	const setEntry = (entry: Entry) => {
		removeEntry(entry.name);
		entries.set(entry.name, entry);
		for (const route of entry.routes) {
			addRoute(table, {service: entry.name, route});
		}
	};

	return {
		setEntry,
		removeEntry,
		applyViewChange(previous, next) {
			for (const name of previous.entries.keys()) {
				if (!next.entries.has(name)) {
					removeEntry(name);
				}
			}

			for (const [name, versioned] of next.entries) {
				if (previous.entries.get(name) !== versioned) {
					setEntry(versioned.entry);
				}
			}
		},
		match: (host, method, path) => matchRoute(table, host, method, path),
		findConflict: entry => findConflict(table, entry),
	};
}
