/**
How loaded this host is: the busier of its loop and its link, whose load weighs more.
*/
import type * as utils from 'wagtailroute-utils';
import {
	LINK_LOAD_FACTOR,
	LOAD_INTERVAL_MILLISECONDS,
	LOAD_DECREASE_WEIGHT,
	MILLISECONDS_PER_SECOND,
} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Measures the load again and again.
*/
export type LoadMeter = {
	/**
	Returns the part of what the host can do that is in use, 0 and up.
	*/
	readonly getLoad: () => number;
	readonly teardown: utils.Teardown;
};

/**
What is measured.
*/
export type LoadMeterOptions = {
	/**
	Milliseconds so far in which the loop was at work.
	*/
	readonly getBusyMilliseconds: () => number;
	/**
	Bytes so far in each direction of the link.
	*/
	readonly getBytes: () => number;
	/**
	What the link carries in each direction.
	*/
	readonly linkBytesPerSecond: number;
	readonly onMeasured: () => void;
};

/**
Starts measuring.
*/
export function startLoadMeter(context: FleetContext, options: LoadMeterOptions): LoadMeter {
	const {now} = context;
	const sample = () => ({at: now(), busy: options.getBusyMilliseconds(), bytes: options.getBytes()});
	let last = sample();
	let load = 0;
	const measure = () => {
		const next = sample();
		const milliseconds = Math.max(1, next.at - last.at);
		const busy = (next.busy - last.busy) / milliseconds;
		const sent = (next.bytes - last.bytes) * MILLISECONDS_PER_SECOND / milliseconds / options.linkBytesPerSecond;
		const current = Math.max(busy, sent * LINK_LOAD_FACTOR);
		// Growth counts at once: callers keep an answer for seconds.
		load = current > load ? current : (load * (1 - LOAD_DECREASE_WEIGHT)) + (current * LOAD_DECREASE_WEIGHT);
		last = next;
		options.onMeasured();
	};

	context.metrics.registerGauge('load', () => load);
	return {
		getLoad: () => load,
		teardown: context.repeat(LOAD_INTERVAL_MILLISECONDS, measure),
	};
}
