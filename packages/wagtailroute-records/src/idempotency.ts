/**
Idempotency records: the execution that belongs to a key, and how it ended.

A quorum commits a claim before the request is sent, so two hosts never both send for one key. A record changes from
`running` to `ran` or `unknown`, or is removed (`not-run`: the key may be claimed again). Only the attempt that holds a
record may settle it, and only this attempt can settle `not-run`: no other process can know that it has not sent the
request. The tables are held in a closure and changed in place, since a copy of 200,000 records for each claim would block
the host. Each change depends only on the command and the tables.
*/
import type {
	Claim,
	ClaimRefusal,
	ClaimResult,
	IdempotencyBounds,
	IdempotencyRecord,
	RecordId,
	Settlement,
	SettlementResult,
	StoredAnswer,
} from './claims.ts';
import {ABANDONED_ATTEMPT_EXPIRY_MILLISECONDS, CLAIM_GRACE_MILLISECONDS, CLAIM_VALIDITY_MILLISECONDS} from './constants.ts';

/**
The table as plain JSON. Records keep the order of the table, in which settled ones expire. `abandoned` holds attempts, each
with the group time at which it expires.
*/
export type IdempotencySnapshot = {
	readonly nextToken: number;
	readonly running: readonly IdempotencyRecord[];
	readonly settled: readonly IdempotencyRecord[];
	readonly abandoned: ReadonlyArray<readonly [string, number]>;
};

/**
The table of idempotency records. `time` is the group time in ms.
*/
export type IdempotencyTable = {
	/**
	`isLost`: records may be missing after a loss of state, so a claim of a key without a record returns `unknown`.
	*/
	readonly claim: (claim: Claim, time: number, isLost: boolean) => ClaimResult;
	readonly settle: (settlement: Settlement, time: number) => SettlementResult;
	readonly handleHostLost: (host: string, bootId: string, time: number) => number;
	readonly expire: (time: number) => void;
	readonly removeService: (service: string) => readonly IdempotencyRecord[];
	readonly addRecords: (records: readonly IdempotencyRecord[]) => void;
	readonly takeSnapshot: () => IdempotencySnapshot;
	readonly getHolders: () => readonly RecordHolder[];
};

/**
A process of a host that holds running records.
*/
export type RecordHolder = {readonly host: string; readonly bootId: string};

type Tables = {
	readonly bounds: IdempotencyBounds;
	nextToken: number;
	// Settled records are in the order of their last change, which is the order in which they expire.
	readonly running: Map<string, IdempotencyRecord>;
	readonly settled: Map<string, IdempotencyRecord>;
	readonly abandoned: Map<string, number>;
	readonly countsByOrganisation: Map<string, number>;
	answersLength: number;
	// Group time before which no running record expires, so that most commands need not search them.
	earliestExpiry: number;
};

/**
Creates the table, empty or from a snapshot.
*/
export function createIdempotencyTable(bounds: IdempotencyBounds, snapshot?: IdempotencySnapshot): IdempotencyTable {
	const tables: Tables = {
		bounds,
		nextToken: snapshot?.nextToken ?? 1,
		running: new Map(),
		settled: new Map(),
		abandoned: new Map(snapshot?.abandoned),
		countsByOrganisation: new Map(),
		answersLength: 0,
		earliestExpiry: Infinity,
	};
	addRecords(tables, snapshot?.running ?? []);
	addRecords(tables, snapshot?.settled ?? []);
	return {
		claim: (claim, time, isLost) => isLost && getRecord(tables, claim) === undefined
			? {kind: 'unknown'}
			: applyClaim(tables, claim, time),
		settle: (settlement, time) => applySettlement(tables, settlement, time),
		handleHostLost: (host, bootId, time) => handleHostLost(tables, {host, bootId}, time),
		expire(time) {
			expire(tables, time);
		},
		getHolders: () => getHolders(tables),
		removeService: service => removeService(tables, service),
		addRecords(records) {
			addRecords(tables, records);
		},
		takeSnapshot: () => ({
			nextToken: tables.nextToken,
			running: tables.running.values().toArray(),
			settled: tables.settled.values().toArray(),
			abandoned: [...tables.abandoned],
		}),
	};
}

function applyClaim(tables: Tables, claim: Claim, time: number): ClaimResult {
	const existing = getRecord(tables, claim);
	if (existing !== undefined) {
		return getClaimResult(existing, claim);
	}

	const reason = findRefusal(tables, claim);
	if (reason !== undefined) {
		return {kind: 'refused', reason};
	}

	const {service, organisation, key, digest, attempt, host, bootId} = claim;
	const until = time + claim.budgetMilliseconds + CLAIM_VALIDITY_MILLISECONDS + CLAIM_GRACE_MILLISECONDS;
	const token = tables.nextToken++;
	addRecords(tables, [{
		service, organisation, key, digest, attempt, host, bootId, token, state: 'running', until,
	}]);
	return createGrant(token);
}

function getRecord(tables: Tables, record: RecordId): IdempotencyRecord | undefined {
	const name = encodeRecordId(record);
	return tables.running.get(name) ?? tables.settled.get(name);
}

function getClaimResult(record: IdempotencyRecord, claim: Claim): ClaimResult {
	if (record.digest !== claim.digest) {
		return {kind: 'mismatch'};
	}

	if (record.state === 'running') {
		// The result of a claim may be lost: a repeated claim of the same attempt must return the grant.
		return record.attempt === claim.attempt ? createGrant(record.token) : {kind: 'running'};
	}

	return record.state === 'ran' ? {kind: 'ran', answer: record.answer} : {kind: 'unknown'};
}

function createGrant(token: number): ClaimResult {
	return {kind: 'granted', token, validityMilliseconds: CLAIM_VALIDITY_MILLISECONDS};
}

function findRefusal(tables: Tables, claim: Claim): ClaimRefusal | undefined {
	const {bounds, running, settled, countsByOrganisation: counts} = tables;
	// A claim can arrive after its host has abandoned it. A grant would then block the key until the record became `unknown`.
	if (tables.abandoned.has(claim.attempt)) {
		return 'abandoned';
	}

	// Unexpired records are never evicted: their requests could then run twice.
	if (running.size + settled.size >= bounds.maxRecords) {
		return 'records-full';
	}

	const count = counts.get(encodeOrganisation(claim)) ?? 0;
	return count >= bounds.maxRecordsPerOrganisation ? 'organisation-full' : undefined;
}

function applySettlement(tables: Tables, settlement: Settlement, time: number): SettlementResult {
	const record = getRecord(tables, settlement);
	if (record?.attempt !== settlement.attempt) {
		recordAbandoned(tables, settlement, time);
		return {kind: 'stale'};
	}

	// The result of a settlement may be lost, so a repeated settlement returns the same result. `ran` is final.
	if (record.state === 'ran') {
		return {kind: 'settled', isAnswerKept: record.answer !== undefined};
	}

	removeRecord(tables, record);
	const {ending} = settlement;
	if (ending.kind === 'not-run') {
		recordAbandoned(tables, settlement, time);
		return {kind: 'settled', isAnswerKept: false};
	}

	const answer = ending.kind === 'ran' ? getStorableAnswer(tables, ending.answer) : undefined;
	const until = time + tables.bounds.retentionMilliseconds;
	addRecords(tables, [{
		...record, state: ending.kind, answer, until,
	}]);
	return {kind: 'settled', isAnswerKept: answer !== undefined};
}

// Prevents the grant of a claim that arrives after its attempt has ended.
function recordAbandoned(tables: Tables, {attempt, ending}: Settlement, time: number): void {
	if (ending.kind !== 'not-run') {
		return;
	}

	tables.abandoned.delete(attempt);
	tables.abandoned.set(attempt, time + ABANDONED_ATTEMPT_EXPIRY_MILLISECONDS);
}

// An answer beyond the bounds is not stored, but the record that the request ran is.
function getStorableAnswer(tables: Tables, answer: StoredAnswer | undefined): StoredAnswer | undefined {
	const length = getAnswerLength(answer);
	const fits = length <= tables.bounds.maxAnswerLength
		&& tables.answersLength + length <= tables.bounds.maxAnswersLength;
	return fits ? answer : undefined;
}

// The lost host may have sent the requests, or may still send them while its claims are valid: the records become `unknown`.
function handleHostLost(tables: Tables, lost: {host: string; bootId: string}, time: number): number {
	const held = tables.running.values().filter(({host, bootId}) => host === lost.host && bootId === lost.bootId).toArray();
	markUnknown(tables, held, time);
	return held.length;
}

function getHolders(tables: Tables): readonly RecordHolder[] {
	const holders = new Map<string, RecordHolder>();
	for (const {host, bootId} of tables.running.values()) {
		holders.set(JSON.stringify([host, bootId]), {host, bootId});
	}

	return holders.values().toArray();
}

function markUnknown(tables: Tables, records: readonly IdempotencyRecord[], time: number): void {
	const until = time + tables.bounds.retentionMilliseconds;
	for (const record of records) {
		removeRecord(tables, record);
		addRecords(tables, [{...record, state: 'unknown', until}]);
	}
}

function expire(tables: Tables, time: number): void {
	if (tables.earliestExpiry <= time) {
		markUnknown(tables, tables.running.values().filter(({until}) => until <= time).toArray(), time);
		tables.earliestExpiry = getEarliestExpiry(tables.running.values());
	}

	for (const record of tables.settled.values()) {
		if (record.until > time) {
			break;
		}

		removeRecord(tables, record);
	}

	for (const [attempt, until] of tables.abandoned) {
		if (until > time) {
			break;
		}

		tables.abandoned.delete(attempt);
	}
}

function getEarliestExpiry(records: Iterable<IdempotencyRecord>): number {
	let earliest = Infinity;
	for (const {until} of records) {
		earliest = Math.min(earliest, until);
	}

	return earliest;
}

function removeService(tables: Tables, service: string): readonly IdempotencyRecord[] {
	const held = [...tables.running.values(), ...tables.settled.values()].filter(record => record.service === service);
	for (const record of held) {
		removeRecord(tables, record);
	}

	return held;
}

function addRecords(tables: Tables, records: readonly IdempotencyRecord[]): void {
	for (const record of records) {
		const name = encodeRecordId(record);
		const organisation = encodeOrganisation(record);
		const isRunning = record.state === 'running';
		(isRunning ? tables.running : tables.settled).set(name, record);
		tables.earliestExpiry = isRunning ? Math.min(tables.earliestExpiry, record.until) : tables.earliestExpiry;
		tables.countsByOrganisation.set(organisation, (tables.countsByOrganisation.get(organisation) ?? 0) + 1);
		tables.answersLength += getAnswerLength(record.answer);
		tables.nextToken = Math.max(tables.nextToken, record.token + 1);
	}
}

function removeRecord(tables: Tables, record: IdempotencyRecord): void {
	const name = encodeRecordId(record);
	const organisation = encodeOrganisation(record);
	tables.running.delete(name);
	tables.settled.delete(name);
	const count = (tables.countsByOrganisation.get(organisation) ?? 0) - 1;
	if (count > 0) {
		tables.countsByOrganisation.set(organisation, count);
	} else {
		tables.countsByOrganisation.delete(organisation);
	}

	tables.answersLength -= getAnswerLength(record.answer);
}

function getAnswerLength(answer: StoredAnswer | undefined): number {
	const headers = answer?.headers ?? [];
	const headersLength = headers.reduce((total, [name, value]) => total + name.length + value.length, 0);
	return headersLength + (answer?.body.length ?? 0);
}

function encodeRecordId({service, organisation, key}: RecordId): string {
	return JSON.stringify([service, organisation, key]);
}

function encodeOrganisation({service, organisation}: RecordId): string {
	return JSON.stringify([service, organisation]);
}
