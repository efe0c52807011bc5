/**
The core: types and small mechanisms that all parts share. It knows no I/O.
*/
export {isConnectable, parseConnectableAddress} from './addresses.ts';
export {
	type Address,
	type FailureDomain,
	formatAddress,
	type HostId,
	type Organisation,
	type Region,
	type ServiceName,
	type UpstreamId,
} from './names.ts';
export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from './floor.ts';
export {isIdempotent, type Outcome, type RequestClass} from './outcomes.ts';
export type {Advertisement} from './advertisements.ts';
export {createFailure, type Failure} from './failures.ts';
export {
	type CheckReport,
	createFindingFactory,
	type Difference,
	type Finding,
	type FindingFactory,
	listChangedFields,
	type Severity,
	sortByEntry,
} from './findings.ts';
export type {Circumstances, Step, Transition} from './transitions.ts';
export {createSnapshotStore, type SnapshotStore, type UpdateListener} from './snapshots.ts';
export {
	type CommandHandler,
	type CommandRegistry,
	createCommandRegistry,
	type Priority,
} from './commands.ts';
