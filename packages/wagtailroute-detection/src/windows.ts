/**
Exponentially decaying windows over the requests of one upstream.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';
import * as symptoms from './symptoms.ts';

/**
Window over the requests of all hosts at one upstream.
*/
export type Window = {
	readonly samples: symptoms.Samples;
	readonly latencies: latencies.Histogram;
	/**
	Number of samples in `latencies`, kept because each tick reads it many times.
	*/
	readonly latencyCount: number;
};

/**
Windows of one upstream: three time constants over all hosts, and the decaying number of requests by host.
*/
export type Windows = {
	readonly instant: symptoms.Samples;
	readonly short: Window;
	readonly long: Window;
	readonly requests: ReadonlyMap<core.HostId, number>;
};

const EMPTY_WINDOW: Window = {samples: symptoms.EMPTY_SAMPLES, latencies: latencies.EMPTY_HISTOGRAM, latencyCount: 0};

/**
Windows without samples.
*/
export const EMPTY_WINDOWS: Windows = {
	instant: symptoms.EMPTY_SAMPLES,
	short: EMPTY_WINDOW, long: EMPTY_WINDOW, requests: new Map(),
};

// A host with fewer requests is dropped, so that the map doesn't fill up with hosts that left.
const MIN_HOST_REQUESTS = 0.01;

/**
Adds latencies, after the decay of the earlier ones over the elapsed milliseconds.
*/
export function addLatencies(windows: Windows, added: latencies.SparseHistogram, elapsedMilliseconds: number): Windows {
	const {count} = latencies.countSparseSamples(added, 0);
	const add = (window: Window, timeConstant: number): Window => {
		const decay = getDecay(elapsedMilliseconds, timeConstant);
		return {
			samples: window.samples,
			latencies: latencies.scaleAndAdd(window.latencies, decay, added),
			latencyCount: (window.latencyCount * decay) + count,
		};
	};

	return {
		instant: windows.instant,
		short: add(windows.short, constants.SHORT_WINDOW_MILLISECONDS),
		long: add(windows.long, constants.LONG_WINDOW_MILLISECONDS),
		requests: windows.requests,
	};
}

/**
Adds samples by host, after the decay of the earlier ones over the elapsed milliseconds.
*/
export function addSamples(
	windows: Windows,
	added: ReadonlyMap<core.HostId, symptoms.Samples>,
	elapsedMilliseconds: number,
): Windows {
	const pooled = symptoms.sumSamples(added.values());
	const add = (window: Window, timeConstant: number): Window => ({
		samples: symptoms.scaleAndAddAll(window.samples, getDecay(elapsedMilliseconds, timeConstant), pooled),
		latencies: window.latencies,
		latencyCount: window.latencyCount,
	});
	return {
		instant: symptoms.scaleAndAddAll(windows.instant, getDecay(elapsedMilliseconds, constants.INSTANT_WINDOW_MILLISECONDS), pooled),
		short: add(windows.short, constants.SHORT_WINDOW_MILLISECONDS),
		long: add(windows.long, constants.LONG_WINDOW_MILLISECONDS),
		requests: addRequests(windows.requests, added, elapsedMilliseconds),
	};
}

/**
Removes failures from the windows, at most as many as they hold.
*/
export function withdrawFailures(windows: Windows, count: number): Windows {
	const withdraw = (samples: symptoms.Samples): symptoms.Samples => {
		const {errors} = samples;
		const withdrawn = Math.min(count, errors.bad);
		return {...samples, errors: {count: errors.count - withdrawn, bad: errors.bad - withdrawn}};
	};

	return {
		instant: withdraw(windows.instant),
		short: {...windows.short, samples: withdraw(windows.short.samples)},
		long: {...windows.long, samples: withdraw(windows.long.samples)},
		requests: windows.requests,
	};
}

function getDecay(elapsedMilliseconds: number, timeConstant: number): number {
	return Math.exp(-elapsedMilliseconds / timeConstant);
}

function addRequests(
	requests: Windows['requests'],
	added: ReadonlyMap<core.HostId, symptoms.Samples>,
	elapsedMilliseconds: number,
): Windows['requests'] {
	const decay = getDecay(elapsedMilliseconds, constants.HOST_REQUESTS_WINDOW_MILLISECONDS);
	const next = new Map<core.HostId, number>();
	for (const [host, count] of requests) {
		if (count * decay > MIN_HOST_REQUESTS) {
			next.set(host, count * decay);
		}
	}

	for (const [host, samples] of added) {
		next.set(host, (next.get(host) ?? 0) + Math.max(samples.errors.count, samples.stalls.count));
	}

	return next;
}
