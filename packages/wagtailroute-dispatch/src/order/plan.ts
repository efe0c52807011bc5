/**
Plan of a queue: the order in which the queued requests get slots, when each is expected to, and which can't be served in time any more.

The most urgent class goes first. Each class has a credit, which grows with what is granted to others, by a third of its part of the arrivals. A class
goes before more urgent ones once its credit pays for its next request, so it gets at least a third of its proportional service.
*/
import {FLOOR_PART} from './constants.ts';
import type {Place} from './precedence.ts';

/**
A class of queued requests. Work is in usual milliseconds.
*/
export type QueueClass<Entry extends Place> = {
	readonly urgency: number;
	/**
	Sorted by precedence.
	*/
	readonly entries: readonly Entry[];
	/**
	Sum over the entries.
	*/
	readonly work: number;
	/**
	Work that arrives per millisecond.
	*/
	readonly arrivalSpeed: number;
	/**
	Lower bound of `arrivalSpeed`: a few arrivals may be chance, and no request is refused for them.
	*/
	readonly leastArrivalSpeed: number;
	readonly credit: number;
};

/**
Returns the expected wait in milliseconds of a request.

@param workBefore Work before it in its class.
@param own Its own work.
@param isArriving Whether it needs a whole turn of a slot; when it has been queued, a part of the time until the next slot has passed.
*/
export type Forecast = (workBefore: number, own: number, isArriving: boolean) => number;

/**
Returns the forecast of each class. More urgent requests that arrive meanwhile take their part of the speed, but never more than all except the lower
bound of the class.

@param classes Sorted by urgency.
@param speed Work that is released per millisecond.
*/
export function createForecasts<Entry extends Place>(classes: ReadonlyArray<QueueClass<Entry>>, speed: number): readonly Forecast[] {
	const totalArrivals = classes.reduce((sum, {arrivalSpeed}) => sum + arrivalSpeed, 0);
	let workOfUrgent = 0;
	let arrivalsBefore = 0;
	let floorBehind = classes.reduce((sum, {work, arrivalSpeed}) => sum + (work > 0 ? getFloor(arrivalSpeed, totalArrivals) : 0), 0);
	return classes.map(({work, arrivalSpeed, leastArrivalSpeed, credit}): Forecast => {
		const floor = getFloor(arrivalSpeed, totalArrivals);
		const floorSpeed = speed * floor;
		floorBehind -= work > 0 ? floor : 0;
		const speedLeft = (speed * (1 - floorBehind)) - arrivalsBefore;
		const before = workOfUrgent;
		workOfUrgent += work;
		arrivalsBefore += leastArrivalSpeed;
		return (workBefore, own, isArriving) => {
			const counted = workBefore + (isArriving ? own : 0);
			const overCredit = workBefore + own - credit;
			const byFloor = overCredit <= 0 ? counted / speed : overCredit / floorSpeed;
			const byUrgency = speedLeft > 0 ? (before + counted) / speedLeft : Infinity;
			return Math.min(byFloor, byUrgency);
		};
	});
}

/**
Returns the part of all service that a class gets at least.
*/
export function getFloor(arrivalSpeed: number, totalArrivals: number): number {
	return totalArrivals > 0 ? FLOOR_PART * arrivalSpeed / totalArrivals : 0;
}

/**
Lists the requests that are served too late by the plan.

@param classes Sorted by urgency.
*/
export function listMissing<Entry extends Place>(classes: ReadonlyArray<QueueClass<Entry>>, speed: number, now: number): ReadonlyArray<{readonly entry: Entry; readonly wait: number}> {
	const missing: Array<{readonly entry: Entry; readonly wait: number}> = [];
	const forecasts = createForecasts(classes, speed);
	for (const [index, {entries}] of classes.entries()) {
		const forecast = forecasts[index]!;
		let workBefore = 0;
		for (const entry of entries) {
			const wait = forecast(workBefore, entry.work, false);
			if (now + wait > entry.startBy) {
				missing.push({entry, wait});
			} else {
				// What is refused leaves its place to those behind it.
				workBefore += entry.work;
			}
		}
	}

	return missing;
}

/**
Generates the requests that get the next slots, in their order, as long as the caller asks for more. The classes may change meanwhile.

@param classes Sorted by urgency.
@yields The next request.
*/
export function * generateNext<Entry extends Place>(classes: ReadonlyArray<QueueClass<Entry>>, limit: number): Generator<Entry, void> {
	const totalArrivals = classes.reduce((sum, {arrivalSpeed}) => sum + arrivalSpeed, 0);
	const cursors = classes.filter(({entries}) => entries.length > 0).map(({entries, credit, arrivalSpeed}) => ({
		entries: entries.slice(0, limit), next: 0, credit, floor: getFloor(arrivalSpeed, totalArrivals),
	}));
	for (let count = 0; count < limit; count++) {
		const first = cursors.find(({entries, next}) => next < entries.length);
		const cursor = cursors.find(({entries, next, credit}) => next < entries.length && credit >= entries[next]!.work) ?? first;
		if (cursor === undefined) {
			return;
		}

		const entry = cursor.entries[cursor.next]!;
		cursor.next++;
		for (const other of cursors) {
			other.credit = other === cursor ? Math.max(0, other.credit - entry.work) : other.credit + (entry.work * other.floor);
		}

		yield entry;
	}
}
