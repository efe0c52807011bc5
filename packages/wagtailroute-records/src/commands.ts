/**
Commands of the replicated state machine, and their results. All are plain JSON.
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
Fleet-wide limits that are divided into shares.
*/
export type LimitName = 'concurrency' | 'ratePerSecond';

/**
State of a service apart from its idempotency records.
*/
export type ServiceState = {
	readonly ejections: EjectionState;
	readonly shares: Readonly<Record<LimitName, ShareState>>;
	readonly quarantine: QuarantineState;
	/**
	Group time until which records may be missing after a loss of state. Claims of keys without a record return `unknown`.
	*/
	readonly claimsUnknownUntil: number;
};

/**
State that moves with a service from one replica group to another. Times are in the group time of the group that closed
the service; `groupTime` is that group's time at the close.
*/
export type ServiceExport = {
	readonly groupTime: number;
	readonly records: readonly IdempotencyRecord[];
	readonly state: ServiceState;
};

/**
Origin of a service that a replica group opens. `new`: no group held it before. `lost`: the group that held it lost its
state. `adopted`: the group that held it closed it.
*/
export type ServiceOrigin =
	| {readonly kind: 'new'}
	| {readonly kind: 'lost'}
	| {readonly kind: 'adopted'; readonly exported: ServiceExport};

type WithService<Payload> = Payload & {readonly service: string};

/**
Payloads by name of the command in the log. `lose-host`: a process of a host was lost, and its running records become
`unknown`. `forget-host`: a host has left the fleet. `tick`: advances group time and expires entries.
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
Result for a service that this replica group does not hold: the requesting host has an outdated map from services to
groups, or the group has not opened the service yet.
*/
export type NotHeld = {readonly kind: 'not-held'};

/**
Result of commands that always succeed.
*/
export type Done = {readonly kind: 'done'};

/**
Results by name of the command. `unknown` of `lose-host` is the number of records that became `unknown`.
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
Name of a command, as written in the log.
*/
export type CommandName = keyof CommandPayloads;

/**
A command as written in the log.
*/
export type Command<Name extends CommandName = CommandName> = {
	readonly [Key in Name]: {
		readonly name: Key;
		/**
		Group time at which the leader stamped the command, in ms.
		*/
		readonly stampedAt: number;
		readonly payload: CommandPayloads[Key];
	};
}[Name];

/**
A change of ejections or quarantine, to be sent to hosts.
*/
export type Notice =
	| {readonly kind: 'ejection'; readonly service: string; readonly change: EjectionNotice}
	| {readonly kind: 'fingerprint'; readonly service: string; readonly change: QuarantineNotice};
