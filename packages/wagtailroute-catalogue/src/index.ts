/**
The catalogue: its entries and their validation, the route table, the replicated state machine, the views and deltas by which hosts update
each other, and the checks of entries before they are sent.
*/
export {checkEntries, type CheckReport} from './checks/check.ts';
export type {Difference} from './checks/differences.ts';
export type {Finding, FindingCode} from './checks/findings.ts';
export {
	type Entry,
	type EntryFailure,
	type EntryFormat,
	type Limits,
	parseEntry,
	parseEntryText,
	type Route,
} from './entry.ts';
export {
	createRouteTable,
	matchRoute,
	type RouteMatch,
	type RouteTable,
} from './routes.ts';
export {createRouteIndex, type RouteIndex} from './route-index.ts';
export {
	applyDelta,
	type Delta,
	EMPTY_VIEW,
	getDelta,
	type Removal,
	type Revision,
	type VersionedEntry,
	type View,
} from './view.ts';
export {
	type CatalogueSnapshot,
	type Change,
	type ChangeAnswer,
	type ChangeFailure,
	createReplicatedCatalogue,
	type HistoryItem,
	type ReplicatedCatalogue,
	toResult,
} from './replicated.ts';
