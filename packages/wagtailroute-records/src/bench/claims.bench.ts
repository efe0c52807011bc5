/**
Time and size of idempotency records in a full cell. Times are of this run; the bound is a ratio within it.
*/
import {performance} from 'node:perf_hooks';
import * as records from '../index.ts';

/**
One row: a claim and its settlement, by the records held already.
*/
export type ClaimRow = {
	readonly heldRecords: number;
	readonly microsecondsPerRun: number;
	readonly snapshotBytesPerRecord: number;
	readonly snapshotMilliseconds: number;
};

const SIZES = [1000, 50_000, 190_000];
const RUNS = 5000;
const BODY = 'x'.repeat(200);
const MICROSECONDS_PER_MILLISECOND = 1000;
const MAX_TIME_RATIO = 4;
const MAX_SNAPSHOT_BYTES = 600;

/**
Measures each size.
*/
export function benchClaims(): ClaimRow[] {
	return SIZES.map(size => measure(size));
}

function measure(size: number): ClaimRow {
	const cell = records.createRecords();
	cell.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'new'}}});
	const execute = (index: number) => {
		const name = {service: 's', organisation: `o${index % 1000}`, key: `key ${index}`};
		cell.apply({
			name: 'claim',
			stampedAt: index,
			payload: {
				...name, digest: 'digest', attempt: `attempt ${index}`, host: 'h', bootId: 'b', budgetMilliseconds: 1000,
			},
		});
		const answer = {status: 200, headers: [], body: BODY};
		cell.apply({
			name: 'settle', stampedAt: index, payload: {...name, attempt: `attempt ${index}`, ending: {kind: 'ran', answer}},
		});
	};

	for (let index = 0; index < size; index++) {
		execute(index);
	}

	const begun = performance.now();
	for (let index = size; index < size + RUNS; index++) {
		execute(index);
	}

	const ran = performance.now();
	const text = JSON.stringify(cell.takeSnapshot());
	return {
		heldRecords: size,
		microsecondsPerRun: (ran - begun) * MICROSECONDS_PER_MILLISECOND / RUNS,
		snapshotBytesPerRecord: text.length / (size + RUNS),
		snapshotMilliseconds: performance.now() - ran,
	};
}

/**
Runs the bench and checks its bounds.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const rows = benchClaims();
	const [few, , many] = rows as [ClaimRow, ClaimRow, ClaimRow];
	const ratio = many.microsecondsPerRun / few.microsecondsPerRun;
	return {
		title: 'Claims and settlements by the records held',
		rows: rows.map(row => ({
			'records held': row.heldRecords,
			'microseconds each': Number(row.microsecondsPerRun.toFixed(2)),
			'snapshot bytes a record': Math.round(row.snapshotBytesPerRecord),
			'snapshot milliseconds': Math.round(row.snapshotMilliseconds),
		})),
		broken: [
			...ratio > MAX_TIME_RATIO ? [`A claim takes ${ratio.toFixed(1)} times as long with ${many.heldRecords} records as with ${few.heldRecords}, the bound is ${MAX_TIME_RATIO}.`] : [],
			...many.snapshotBytesPerRecord > MAX_SNAPSHOT_BYTES ? [`A record takes ${Math.round(many.snapshotBytesPerRecord)} bytes in a snapshot, the bound is ${MAX_SNAPSHOT_BYTES}.`] : [],
		],
	};
}
