/**
Copies of a host's counts, as other hosts hold them.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import type {BucketRow} from './ring.ts';

/**
Counts of one service.
*/
export type ServiceCopy = {
	readonly service: core.ServiceName;
	/**
	Days of the objective's window.
	*/
	readonly windowDays: number;
	/**
	Rows for the five-minute buckets.
	*/
	readonly middle: readonly BucketRow[];
	/**
	Rows for the hour buckets.
	*/
	readonly coarse: readonly BucketRow[];
};

/**
Counts of all services.
*/
export type Copy = readonly ServiceCopy[];

/**
Returns the days of a window within the bounds of an objective.
*/
export function limitDays(days: number): number {
	return Math.min(constants.MAXIMUM_WINDOW_DAYS, Math.max(1, days));
}
