/**
Counts resends against a retry budget afterwards, from the times at which callers sent requests and resends reached upstreams.
*/
import type {BudgetSettings} from './budget.ts';

/**
Times in milliseconds, in any order.
*/
export type AuditedTimes = {
	/**
	When callers sent their requests of a service.
	*/
	readonly requests: readonly number[];
	/**
	When attempts beyond the first of a request reached an upstream of the service.
	*/
	readonly resends: readonly number[];
};

/**
A window of the budget.
*/
export type BudgetWindow = {
	readonly resends: number;
	readonly allowed: number;
};

/**
Returns the window that exceeds the budget most, or comes closest to it. Of the requests of the window itself, of the window before it and of the one half a window before it,
the most count.
*/
export function findWorstWindow({requests, resends}: AuditedTimes, {ratio, extra, windowMilliseconds}: BudgetSettings): BudgetWindow {
	const sortedRequests = sort(requests);
	const sortedResends = sort(resends);
	let worst: BudgetWindow = {resends: 0, allowed: extra};
	for (const start of sortedResends.flatMap(at => [at, at - windowMilliseconds])) {
		const earning = [0, windowMilliseconds / 2, windowMilliseconds].map(earlier => countBetween(sortedRequests, start - earlier, windowMilliseconds));
		const window: BudgetWindow = {
			resends: countBetween(sortedResends, start, windowMilliseconds), allowed: (ratio * Math.max(...earning)) + extra,
		};
		worst = getExcess(window) > getExcess(worst) ? window : worst;
	}

	return worst;
}

/**
Returns the resends beyond what a window allows; negative within it.
*/
export function getExcess({resends, allowed}: BudgetWindow): number {
	return resends - allowed;
}

function sort(times: readonly number[]): readonly number[] {
	return times.toSorted((left, right) => left - right);
}

/**
Counts the times of a window, both ends included.
*/
function countBetween(times: readonly number[], start: number, milliseconds: number): number {
	return findFirst(times, time => time > start + milliseconds) - findFirst(times, time => time >= start);
}

/**
Returns the index of the first time that the condition holds for, by binary search; the number of times when it holds for none.
*/
function findFirst(times: readonly number[], holds: (time: number) => boolean): number {
	let from = 0;
	let to = times.length;
	while (from < to) {
		const middle = Math.floor((from + to) / 2);
		[from, to] = holds(times[middle]!) ? [from, middle] : [middle + 1, to];
	}

	return from;
}
