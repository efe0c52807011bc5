/**
Commands of the replicated state machine of a cell, and their results. All are plain JSON.
*/
import type {
	Claim,
	ClaimResult,
	IdempotencyRecord,
	Settlement,
	SettlementResult,
} from './claims.ts';
import type {
	EjectionNotice,
	EjectionRequest,
	EjectionResult,
	EjectionState,
} from './ejections.ts';
import type {UpstreamView} from './upstream-views.ts';
import type {Share, ShareRequest, ShareState} from './shares.ts';
import type {
	CrashReport,
	QuarantineNotice,
	QuarantineState,
	TrialEnding,
	TrialRequest,
	TrialResult,
} from './fingerprints.ts';

/**
Limits that are dealt out in shares.
*/
export type LimitName = 'concurrency' | 'ratePerSecond';

/**
What a cell holds of a service besides its idempotency records.
*/
export type ServiceState = {
	readonly ejections: EjectionState;
	readonly shares: Readonly<Record<LimitName, ShareState>>;
	readonly quarantine: QuarantineState;
	/**
	Group time before which a key without a record may belong to a record that was lost.
	*/
	readonly claimsUnknownUntil: number;
};

/**
All that moves with a service from one cell to another. Times are relative to the group time of the cell that closed it.
*/
export type ServiceExport = {
	readonly groupTime: number;
	readonly records: readonly IdempotencyRecord[];
	readonly state: ServiceState;
};

/**
Where a service that a cell opens comes from. `new`: no cell held it before. `lost`: the cell that held it lost its state.
`adopted`: the cell that held it closed it.
*/
export type ServiceOrigin =
	| {readonly kind: 'new'}
	| {readonly kind: 'lost'}
	| {readonly kind: 'adopted'; readonly exported: ServiceExport};

type WithService<Payload> = Payload & {readonly service: string};

/**
Payload of each command.
*/
export type CommandPayloads = {
	'open-service': {readonly service: string; readonly origin: ServiceOrigin};
	'close-service': {readonly service: string};
	claim: Claim;
	settle: Settlement;
	'lose-host': {readonly host: string; readonly bootId: string};
	'forget-host': {readonly host: string};
	'report-upstreams': WithService<UpstreamView>;
	'request-ejection': WithService<EjectionRequest>;
	readmit: {readonly service: string; readonly upstream: string; readonly epoch: number};
	'renew-shares': {readonly requests: ReadonlyArray<WithService<ShareRequest> & {readonly limitName: LimitName}>};
	'report-crash': WithService<CrashReport>;
	'request-trial': WithService<TrialRequest>;
	'end-trial': WithService<TrialEnding>;
	'release-fingerprint': {readonly service: string; readonly fingerprint: string};
	tick: Readonly<Record<never, never>>;
};

/**
Answer that a service is not held by this cell: the asking host has an old map, or the cell has not opened it yet.
*/
export type NotHeld = {readonly kind: 'not-held'};

/**
Answer of commands that always succeed.
*/
export type Done = {readonly kind: 'done'};

/**
Result of each command.
*/
export type CommandResults = {
	'open-service': Done | {readonly kind: 'already-open'};
	'close-service': NotHeld | {readonly kind: 'closed'; readonly exported: ServiceExport};
	claim: ClaimResult;
	settle: SettlementResult;
	'lose-host': {readonly kind: 'done'; readonly unknown: number};
	'forget-host': Done;
	'report-upstreams': Done | NotHeld;
	'request-ejection': EjectionResult | NotHeld;
	readmit: Done | NotHeld;
	'renew-shares': {readonly kind: 'shares'; readonly shares: ReadonlyArray<Share | NotHeld>};
	'report-crash': NotHeld | {readonly kind: 'done'; readonly version: number};
	'request-trial': TrialResult | NotHeld;
	'end-trial': Done | NotHeld;
	'release-fingerprint': Done | NotHeld;
	tick: Done;
};

/**
Name of a command.
*/
export type CommandName = keyof CommandPayloads;

/**
A command as it stands in the log.
*/
export type Command<Name extends CommandName = CommandName> = {
	readonly [Key in Name]: {
		readonly name: Key;
		/**
		Group time that the leader stamped, in ms.
		*/
		readonly stampedAt: number;
		readonly payload: CommandPayloads[Key];
	};
}[Name];

/**
A change that hosts must learn of.
*/
export type Notice =
	| {readonly kind: 'ejection'; readonly service: string; readonly change: EjectionNotice}
	| {readonly kind: 'fingerprint'; readonly service: string; readonly change: QuarantineNotice};
