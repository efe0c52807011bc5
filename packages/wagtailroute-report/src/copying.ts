/**
What the counters of a service hand to the holder of a copy, and how a copy is added.
*/
import type {ServiceCopy} from './copies.ts';
import * as constants from './constants.ts';
import type {BucketRow, Ring} from './ring.ts';
import type {ServiceCounters} from './service-counters.ts';

/**
Rows of a copy.
*/
export type Rows = Pick<ServiceCopy, 'middle' | 'coarse'>;

/**
The present five-minute bucket is taken out of the present hour: it is handed over when it is closed, and would be counted
twice by the receiver otherwise.
*/
export function copyWhole({middle, coarse}: ServiceCounters, now: number): Rows {
	const present = getBucket(now);
	const [open] = middle.readRows(now, present);
	const hour = coarse.getNumber(now);
	const rows = coarse.readRows(now, undefined, hour);
	const hourRows = coarse.readRows(now, hour).map(row => subtract(row, open));
	return {middle: middle.readRows(now, undefined, present), coarse: [...rows, ...hourRows]};
}

function subtract([age, ...counts]: BucketRow, open: BucketRow | undefined): BucketRow {
	return [age, ...counts.map((count, index) => count - (open?.[index + 1] ?? 0))];
}

/**
A closed bucket never changes, so handing it over once is enough. The receiver puts it into its coarse buckets too.
*/
export function copyBuckets({middle}: ServiceCounters, now: number, from: number, until?: number): Rows {
	const rows = middle.readRows(now, from, until);
	return {middle: rows, coarse: rows};
}

/**
Returns the number of the five-minute bucket of a time.
*/
export function getBucket(now: number): number {
	return Math.floor(now / constants.MIDDLE_WIDTH_MILLISECONDS);
}

/**
Five-minute rows go into the fine buckets as well: too coarse for the last five minutes, to which they never belong, but
right for the windows of half an hour and an hour.
*/
export function addPart(counters: ServiceCounters, part: ServiceCopy, now: number): void {
	addRows(counters.fine, part.middle, now);
	addRows(counters.middle, part.middle, now);
	addRows(counters.coarse, part.coarse, now);
}

/**
What is added is never put into the present five-minute bucket: that one is not handed over yet, while the hour that a copied
row belongs to may be an earlier one.
*/
function getTime(age: number, now: number): number {
	return now - Math.max(age, constants.MIDDLE_WIDTH_MILLISECONDS);
}

function addRows(ring: Ring, rows: readonly BucketRow[], now: number): void {
	for (const [age, ...counts] of rows) {
		ring.addAll(getTime(age, now), counts);
	}
}
