/**
Time and snapshot size of idempotency records, up to a nearly full replica group. The bound on time is a ratio of two sizes
in the same run, so it does not depend on the machine.
*/
import {performance} from 'node:perf_hooks';
import * as records from '../index.ts';

/**
Results with `heldRecords` records in the table. A run is one claim and its settlement.
*/
export type ClaimRow = {
	readonly heldRecords: number;
	readonly microsecondsPerRun: number;
	readonly snapshotBytesPerRecord: number;
	readonly snapshotMilliseconds: number;
};

const RECORD_COUNTS = [1000, 50_000, 190_000];
const RUNS = 5000;
const BODY = 'x'.repeat(200);
const MICROSECONDS_PER_MILLISECOND = 1000;
const MAX_TIME_RATIO = 4;
const MAX_SNAPSHOT_BYTES = 600;

/**
Measures each number of records.
*/
export function benchClaims(): ClaimRow[] {
	return RECORD_COUNTS.map(recordCount => measure(recordCount));
}

function measure(recordCount: number): ClaimRow {
	const group = records.createRecords();
	group.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'new'}}});
	const execute = (index: number) => {
		const recordId = {service: 's', organisation: `o${index % 1000}`, key: `key ${index}`};
		group.apply({
			name: 'claim',
			stampedAt: index,
			payload: {
				...recordId, digest: 'digest', attempt: `attempt ${index}`, host: 'h', bootId: 'b', budgetMilliseconds: 1000,
			},
		});
		const answer = {status: 200, headers: [], body: BODY};
		group.apply({
			name: 'settle', stampedAt: index, payload: {...recordId, attempt: `attempt ${index}`, ending: {kind: 'ran', answer}},
		});
	};

	for (let index = 0; index < recordCount; index++) {
		execute(index);
	}

	const startedAt = performance.now();
	for (let index = recordCount; index < recordCount + RUNS; index++) {
		execute(index);
	}

	const endedAt = performance.now();
	const text = JSON.stringify(group.takeSnapshot());
	return {
		heldRecords: recordCount,
		microsecondsPerRun: (endedAt - startedAt) * MICROSECONDS_PER_MILLISECOND / RUNS,
		snapshotBytesPerRecord: text.length / (recordCount + RUNS),
		snapshotMilliseconds: performance.now() - endedAt,
	};
}

/**
Runs the bench and checks its bounds. Each entry of `broken` describes a bound that does not hold.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const rows = benchClaims();
	const [fewest, , most] = rows as [ClaimRow, ClaimRow, ClaimRow];
	const ratio = most.microsecondsPerRun / fewest.microsecondsPerRun;
	return {
		title: 'Claims and settlements by the records held',
		rows: rows.map(row => ({
			'records held': row.heldRecords,
			'microseconds each': Number(row.microsecondsPerRun.toFixed(2)),
			'snapshot bytes a record': Math.round(row.snapshotBytesPerRecord),
			'snapshot milliseconds': Math.round(row.snapshotMilliseconds),
		})),
		broken: [
			...ratio > MAX_TIME_RATIO ? [`A claim takes ${ratio.toFixed(1)} times as long with ${most.heldRecords} records as with ${fewest.heldRecords}, the bound is ${MAX_TIME_RATIO}.`] : [],
			...most.snapshotBytesPerRecord > MAX_SNAPSHOT_BYTES ? [`A record takes ${Math.round(most.snapshotBytesPerRecord)} bytes in a snapshot, the bound is ${MAX_SNAPSHOT_BYTES}.`] : [],
		],
	};
}
