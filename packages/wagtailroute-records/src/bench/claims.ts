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

/**
Measures each size.
*/
export function benchClaims(): ClaimRow[] {
	return SIZES.map(size => measure(size));
}

function measure(size: number): ClaimRow {
	const cell = records.createRecords();
	cell.apply({name: 'open-service', stampedAt: 0, payload: {service: 's', origin: {kind: 'new'}}});
	const run = (index: number) => {
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
		run(index);
	}

	const begun = performance.now();
	for (let index = size; index < size + RUNS; index++) {
		run(index);
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
