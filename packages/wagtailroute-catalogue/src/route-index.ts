/**
The routes in force, updated entry by entry.

Rebuilding the table for each change takes 24 ms at 6,900 entries (docs/data/catalogue-catalogue.json of the first version): all requests
wait meanwhile, and a burst of 500 changes takes longer than the 4 s in which changes must be in force. The index is therefore changed in
place, and the cost of a change depends on the size of the entry, not of the catalogue. One owner changes it on the thread that also reads
it, so that no reader sees a partial change.
*/
import type * as core from 'wagtailroute-core';
import type {Entry} from './entry.ts';
import {
	addRoute,
	findConflict,
	listConflicts,
	matchRoute,
	type MutableRouteTable,
	removeRoutes,
	type RouteConflict,
	type RouteMatch,
} from './routes.ts';
import type {View} from './view.ts';

/**
The index of the routes in force.
*/
export type RouteIndex = {
	/**
	Adds the routes of an entry, or replaces them.
	*/
	readonly setEntry: (entry: Entry) => void;
	readonly removeEntry: (name: core.ServiceName) => void;
	/**
	Applies the differences between two views, by entry.
	*/
	readonly applyViewChange: (previous: View, next: View) => void;
	/**
	Finds the route of a request, see `matchRoute`.
	*/
	readonly match: (host: string, method: string, path: string) => RouteMatch | undefined;
	/**
	Returns a route of another service that conflicts with a route of the entry, see `findConflict`.
	*/
	readonly findConflict: (entry: Entry) => RouteMatch | undefined;
	/**
	Returns all such conflicts.
	*/
	readonly listConflicts: (entry: Entry) => readonly RouteConflict[];
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
		listConflicts: entry => listConflicts(table, entry),
	};
}
