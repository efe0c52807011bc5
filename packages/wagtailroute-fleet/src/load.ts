/**
The load of this host: the larger of the utilisation of its event loop and the weighted utilisation of its network link.
*/
import type * as utils from 'wagtailroute-utils';
import {
	LINK_LOAD_WEIGHT,
	LOAD_DECREASE_WEIGHT,
	LOAD_INTERVAL_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Measures the load periodically.
*/
export type LoadMeter = {
	/**
	Returns the used fraction of the host's capacity, 0 and up: because of its weight a busy link yields more than 1.
	*/
	readonly getLoad: () => number;
	readonly teardown: utils.Teardown;
};

/**
Sources of the measurement.
*/
export type LoadMeterOptions = {
	/**
	Returns the total milliseconds in which the event loop was active.
	*/
	readonly getBusyMilliseconds: () => number;
	/**
	Returns the total bytes transferred so far in each direction of the link.
	*/
	readonly getBytes: () => number;
	/**
	Capacity of the link in each direction.
	*/
	readonly linkBytesPerSecond: number;
	readonly onMeasured: () => void;
};

/**
Starts the measurements, and registers the load as a gauge.
*/
export function startLoadMeter(context: FleetContext, options: LoadMeterOptions): LoadMeter {
	const {now} = context;
	const sample = () => ({at: now(), busy: options.getBusyMilliseconds(), bytes: options.getBytes()});
	let last = sample();
	let load = 0;
	const measure = () => {
		const next = sample();
		const milliseconds = Math.max(1, next.at - last.at);
		const loopLoad = (next.busy - last.busy) / milliseconds;
		const linkLoad = (next.bytes - last.bytes) * MILLISECONDS_PER_SECOND / milliseconds / options.linkBytesPerSecond;
		const current = Math.max(loopLoad, linkLoad * LINK_LOAD_WEIGHT);
		// An increase counts at once: callers keep the directory's answer for seconds.
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
