/**
Handlers of the commands: how each changes the tables of a replica group.
*/
import type {
	CommandName,
	CommandPayloads,
	LimitName,
	Notice,
	CommandResults,
	ServiceOrigin,
	ServiceState,
} from './commands.ts';
import {DEFAULT_IDEMPOTENCY_BOUNDS, type IdempotencyBounds} from './claims.ts';
import {EJECTION_LINGER_MILLISECONDS, RECORD_RETENTION_MILLISECONDS, SHARE_EXPIRY_MILLISECONDS} from './constants.ts';
import * as ejections from './ejections.ts';
import type {QuarantineChange} from './fingerprints.ts';
import type {IdempotencyTable} from './idempotency.ts';
import * as quarantine from './quarantine.ts';
import * as shares from './shares.ts';

/**
Bounds of a replica group. All members must use the same, or their states diverge.
*/
export type RecordsBounds = {
	readonly idempotency: IdempotencyBounds;
	/**
	How long claims of keys without a record return `unknown` after a replica group has lost its state, in ms of group time. A
	value below the retention gives up at-most-once execution for availability.
	*/
	readonly lostMilliseconds: number;
};

/**
Bounds that apply where the settings give none.
*/
export const DEFAULT_RECORDS_BOUNDS: RecordsBounds = {
	idempotency: DEFAULT_IDEMPOTENCY_BOUNDS,
	lostMilliseconds: RECORD_RETENTION_MILLISECONDS,
};

/**
Result of an applied command, and the changes to be sent to hosts.
*/
export type ApplyResult<Name extends CommandName> = {
	readonly result: CommandResults[Name];
	readonly notices: readonly Notice[];
};

/**
The tables of a replica group. `services` contains the services that the group holds, by name.
*/
export type Tables = {
	readonly bounds: RecordsBounds;
	groupTime: number;
	idempotency: IdempotencyTable;
	services: Map<string, ServiceState>;
};

/**
Applies one kind of command to the tables.
*/
export type Handler<Name extends CommandName> = (tables: Tables, payload: CommandPayloads[Name]) => ApplyResult<Name>;

const DONE = {result: {kind: 'done'}, notices: []} as const;
const NOT_HELD = {result: {kind: 'not-held'}, notices: []} as const;

/**
Handlers by name of the command.
*/
export const HANDLERS: {readonly [Name in CommandName]: Handler<Name>} = {
	'open-service'(tables, {service, origin}) {
		if (tables.services.has(service)) {
			return {result: {kind: 'already-open'}, notices: []};
		}

		openService(tables, service, origin);
		return DONE;
	},
	'close-service'(tables, {service}) {
		const state = tables.services.get(service);
		if (state === undefined) {
			return NOT_HELD;
		}

		tables.services.delete(service);
		const records = tables.idempotency.removeService(service);
		return {result: {kind: 'closed', exported: {groupTime: tables.groupTime, records, state}}, notices: []};
	},
	claim(tables, claim) {
		const service = tables.services.get(claim.service);
		if (service === undefined) {
			return {result: {kind: 'refused', reason: 'not-held'}, notices: []};
		}

		const isLost = tables.groupTime < service.claimsUnknownUntil;
		return {result: tables.idempotency.claim(claim, tables.groupTime, isLost), notices: []};
	},
	settle: (tables, settlement) => ({result: tables.idempotency.settle(settlement, tables.groupTime), notices: []}),
	'lose-host'(tables, {host, bootId}) {
		const unknown = tables.idempotency.handleHostLost(host, bootId, tables.groupTime);
		return {result: {kind: 'done', unknown}, notices: []};
	},
	'forget-host'(tables, {host}) {
		for (const [service, state] of tables.services) {
			const remainingShares = {
				concurrency: shares.removeHost(state.shares.concurrency, host),
				ratePerSecond: shares.removeHost(state.shares.ratePerSecond, host),
			};
			tables.services.set(service, {...state, shares: remainingShares});
		}

		return DONE;
	},
	'report-upstreams': (tables, {service, ...view}) => updateService(tables, service, state => {
		const change = ejections.applyUpstreamView(state.ejections, view, tables.groupTime);
		return {...wrapEjectionChange(service, change), result: {kind: 'done'}};
	}),
	'request-ejection': (tables, {service, ...request}) => updateService(tables, service, state => {
		const {result, ...change} = ejections.applyEjectionRequest(state.ejections, request, tables.groupTime);
		return {...wrapEjectionChange(service, change), result};
	}),
	readmit: (tables, {service, ...readmission}) => updateService(tables, service, state => {
		const change = ejections.readmit(state.ejections, readmission, tables.groupTime);
		return {...wrapEjectionChange(service, change), result: {kind: 'done'}};
	}),
	'renew-shares'(tables, {requests}) {
		const grantedShares = requests.map(({service, limitName, ...request}) =>
			renewServiceShare(tables, {service, limitName}, request));
		return {result: {kind: 'shares', shares: grantedShares}, notices: []};
	},
	'report-crash': (tables, {service, ...report}) => updateService(tables, service, state => {
		const change = quarantine.applyCrashReport(state.quarantine, report, tables.groupTime);
		return {...wrapQuarantineChange(service, change), result: {kind: 'done', version: change.state.version}};
	}),
	'request-trial': (tables, {service, ...request}) => updateService(tables, service, state => {
		const {state: updated, result} = quarantine.applyTrialRequest(state.quarantine, request, tables.groupTime);
		return {changes: {quarantine: updated}, notices: [], result};
	}),
	'end-trial': (tables, {service, ...ending}) => updateService(tables, service, state => {
		const change = quarantine.applyTrialEnding(state.quarantine, ending, tables.groupTime);
		return {...wrapQuarantineChange(service, change), result: {kind: 'done'}};
	}),
	'release-fingerprint': (tables, {service, fingerprint}) => updateService(tables, service, state => {
		const change = quarantine.releaseFingerprint(state.quarantine, fingerprint, tables.groupTime);
		return {...wrapQuarantineChange(service, change), result: {kind: 'done'}};
	}),
	tick(tables) {
		for (const [service, state] of tables.services) {
			tables.services.set(service, {
				...state,
				ejections: ejections.expireEjections(state.ejections, tables.groupTime),
				quarantine: quarantine.expireQuarantine(state.quarantine, tables.groupTime),
			});
		}

		return DONE;
	},
};

type ServiceChange<Result> = {
	readonly changes: Partial<ServiceState>;
	readonly notices: readonly Notice[];
	readonly result: Result;
};

function updateService<Result>(
	tables: Tables,
	service: string,
	updater: (state: ServiceState) => ServiceChange<Result>,
): {readonly result: Result | {readonly kind: 'not-held'}; readonly notices: readonly Notice[]} {
	const state = tables.services.get(service);
	if (state === undefined) {
		return NOT_HELD;
	}

	const {changes, notices, result} = updater(state);
	tables.services.set(service, {...state, ...changes});
	return {result, notices};
}

function wrapEjectionChange(service: string, {state, notices}: ejections.EjectionChange) {
	return {
		changes: {ejections: state},
		notices: notices.map((change): Notice => ({kind: 'ejection', service, change})),
	};
}

function wrapQuarantineChange(service: string, {state, notices}: QuarantineChange) {
	return {
		changes: {quarantine: state},
		notices: notices.map((change): Notice => ({kind: 'fingerprint', service, change})),
	};
}

function renewServiceShare(
	tables: Tables,
	{service, limitName}: {readonly service: string; readonly limitName: LimitName},
	request: shares.ShareRequest,
): shares.Share | {readonly kind: 'not-held'} {
	const unit = limitName === 'concurrency' ? 'whole' : 'fractional';
	return updateService(tables, service, state => {
		const renewed = shares.renewShare(state.shares[limitName], request, {time: tables.groupTime, unit});
		return {changes: {shares: {...state.shares, [limitName]: renewed.state}}, notices: [], result: renewed.share};
	}).result;
}

function openService(tables: Tables, service: string, origin: ServiceOrigin): void {
	const time = tables.groupTime;
	if (origin.kind === 'adopted') {
		const {groupTime, records, state} = origin.exported;
		const shift = time - groupTime;
		tables.idempotency.addRecords(records.map(record => ({...record, until: record.until + shift})));
		tables.services.set(service, shiftServiceTimes(state, shift));
		return;
	}

	// After a loss of state, hosts may act on the lost grants until their leases end, and idempotency records may be missing.
	const isLost = origin.kind === 'lost';
	const shareState = shares.createShareState(isLost ? time + SHARE_EXPIRY_MILLISECONDS : 0);
	tables.services.set(service, {
		ejections: ejections.createEjectionState(isLost ? time + EJECTION_LINGER_MILLISECONDS : 0),
		shares: {concurrency: shareState, ratePerSecond: shareState},
		quarantine: quarantine.createQuarantineState(),
		claimsUnknownUntil: isLost ? time + tables.bounds.lostMilliseconds : 0,
	});
}

// Each replica group has its own group time: times that move with a service keep their remaining duration.
function shiftServiceTimes(state: ServiceState, shift: number): ServiceState {
	return {
		ejections: ejections.shiftEjectionTimes(state.ejections, shift),
		shares: {
			concurrency: shares.shiftShareTimes(state.shares.concurrency, shift),
			ratePerSecond: shares.shiftShareTimes(state.shares.ratePerSecond, shift),
		},
		quarantine: quarantine.shiftQuarantineTimes(state.quarantine, shift),
		claimsUnknownUntil: state.claimsUnknownUntil + shift,
	};
}
