/**
Cost of a change to the catalogue on a control host and on the other hosts, by the number of entries.
*/
import process from 'node:process';
import * as catalogue from '../index.ts';

const SIZES = [70, 700, 2300, 6900] as const;
const ROUTES_PER_ENTRY = 7;
const CHANGES = 200;
const LOOKUPS = 200_000;
const HOST_ROUNDS = 50;

/**
Maximum ratio of the cost of a look-up at the largest and the smallest size. It is above 1 because a large map does not fit into the
processor's caches.
*/
const MAX_LOOKUP_RATIO = 12;

/**
Maximum ratio of the cost of a change at the largest size and the cost in proportion to the number of entries.
*/
const MAX_CHANGE_RATIO = 2;

type Row = {
	readonly entries: number;
	readonly routes: number;
	readonly controlMicroseconds: number;
	readonly hostMicroseconds: number;
	readonly lookupNanoseconds: number;
	readonly deltaBytes: number;
	readonly wholeBytes: number;
	readonly heapBytesPerEntry: number;
};

/**
Measures all sizes; `broken` names the exceeded limits.
*/
export async function run() {
	const rows = SIZES.map(size => measure(size));
	return {title: 'Catalogue: cost of a change by entries', rows, broken: findBroken(rows)};
}

function findBroken(rows: readonly Row[]): readonly string[] {
	const first = rows[0]!;
	const last = rows.at(-1)!;
	const proportional = first.hostMicroseconds * last.entries / first.entries;
	return [
		...last.lookupNanoseconds > first.lookupNanoseconds * MAX_LOOKUP_RATIO
			? [`a route look-up grows more than ${MAX_LOOKUP_RATIO} times from ${first.entries} to ${last.entries} entries`]
			: [],
		...last.hostMicroseconds > proportional * MAX_CHANGE_RATIO
			? [`a change costs a host more than ${MAX_CHANGE_RATIO} times its proportional share`]
			: [],
	];
}

function createIndex(view: catalogue.View): catalogue.RouteIndex {
	const routes = catalogue.createRouteIndex();
	routes.applyViewChange(catalogue.EMPTY_VIEW, view);
	return routes;
}

function createEntry(index: number, version: number): catalogue.Entry {
	return catalogue.parseEntry({
		name: `service-${index}`,
		owner: `owner-${version}`,
		routes: Array.from({length: ROUTES_PER_ENTRY}, (_, route) => ({
			host: `host-${index % 50}.example`,
			pathPrefix: `/service-${index}/part-${route}`,
			class: 'read',
		})),
	}).unwrap();
}

function createChange(index: number, version: number, expected: number): catalogue.Change {
	return {
		name: `service-${index}`,
		entry: createEntry(index, version),
		expected,
		changeId: `change-${index}-${version}`,
		operator: 'bench',
		takenAt: 0,
	};
}

function measure(size: number): Row {
	const before = process.memoryUsage().heapUsed;
	const replicated = catalogue.createReplicatedCatalogue();
	for (let index = 0; index < size; index++) {
		replicated.apply(createChange(index, 0, 0));
	}

	const heapBytesPerEntry = (process.memoryUsage().heapUsed - before) / size;
	const start = replicated.getView();
	const changes = Array.from({length: CHANGES}, (_, index) => {
		const target = (index * 37) % size;
		return createChange(target, index + 1, replicated.getView().entries.get(`service-${target}`)!.revision);
	});
	const control = time(() => {
		for (const change of changes) {
			const present = replicated.getView().entries.get(change.name)!.revision;
			replicated.apply({...change, expected: present});
		}
	}) / CHANGES;
	const delta = catalogue.getDelta(replicated.getView(), replicated.getView().revision - 1);
	const whole = catalogue.getDelta(replicated.getView(), -1);
	const view = catalogue.applyDelta(start, catalogue.getDelta(replicated.getView(), start.revision));
	const routes = createIndex(view);
	const behind = {...view, revision: view.revision - 1};
	const host = time(() => {
		for (let round = 0; round < HOST_ROUNDS; round++) {
			const next = catalogue.applyDelta(behind, delta);
			routes.applyViewChange({...next, entries: new Map(next.entries).set(delta.entries[0]!.entry.name, {...delta.entries[0]!})}, next);
		}
	}) / HOST_ROUNDS;
	const lookup = time(() => {
		for (let round = 0; round < LOOKUPS; round++) {
			const index = (round * 7919) % size;
			routes.match(`host-${index % 50}.example`, 'GET', `/service-${index}/part-3/a/b`);
		}
	}) / LOOKUPS;
	return {
		entries: size,
		routes: size * ROUTES_PER_ENTRY,
		controlMicroseconds: Math.round(control * 1000),
		hostMicroseconds: Math.round(host * 1000),
		lookupNanoseconds: Math.round(lookup * 1e6),
		deltaBytes: JSON.stringify(delta).length,
		wholeBytes: JSON.stringify(whole).length,
		heapBytesPerEntry: Math.round(heapBytesPerEntry),
	};
}

/**
Returns the milliseconds that a function takes.
*/
function time(work: () => void): number {
	const startedAt = performance.now();
	work();
	return performance.now() - startedAt;
}
