/**
Exponentially decaying windows over what was seen of one upstream.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';
import * as symptoms from './symptoms.ts';

/**
Pooled window of one upstream.
*/
export type Window = {
	readonly samples: symptoms.Samples;
	readonly latencies: latencies.Histogram;
	/**
	Number of samples in `latencies`: asked for many times in each step.
	*/
	readonly latencyCount: number;
};

/**
Windows of one upstream: three lengths over all hosts, and the number of requests by host.
*/
export type Windows = {
	readonly instant: symptoms.Samples;
	readonly short: Window;
	readonly long: Window;
	readonly requests: ReadonlyMap<core.HostId, number>;
};

const EMPTY_WINDOW: Window = {samples: symptoms.EMPTY_SAMPLES, latencies: latencies.EMPTY_HISTOGRAM, latencyCount: 0};

/**
Windows that have seen nothing.
*/
export const EMPTY_WINDOWS: Windows = {
	instant: symptoms.EMPTY_SAMPLES,
	short: EMPTY_WINDOW, long: EMPTY_WINDOW, requests: new Map(),
};

// Below this many requests a host is dropped, so that hosts that left don't fill the table.
const MIN_HOST_REQUESTS = 0.01;

/**
Adds latencies, and lets those that were there decay by the elapsed time.
*/
export function addLatencies(windows: Windows, added: latencies.SparseHistogram, elapsed: number): Windows {
	const {count} = latencies.countSparseSamples(added, 0);
	const add = (window: Window, length: number): Window => {
		const decay = getDecay(elapsed, length);
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
Adds samples by host, and lets those that were there decay by the elapsed time.
*/
export function addSamples(
	windows: Windows,
	added: ReadonlyMap<core.HostId, symptoms.Samples>,
	elapsed: number,
): Windows {
	const pooled = symptoms.sumSamples(added.values());
	const add = (window: Window, length: number): Window => ({
		samples: symptoms.scaleAndAddAll(window.samples, getDecay(elapsed, length), pooled),
		latencies: window.latencies,
		latencyCount: window.latencyCount,
	});
	return {
		instant: symptoms.scaleAndAddAll(windows.instant, getDecay(elapsed, constants.INSTANT_WINDOW_MILLISECONDS), pooled),
		short: add(windows.short, constants.SHORT_WINDOW_MILLISECONDS),
		long: add(windows.long, constants.LONG_WINDOW_MILLISECONDS),
		requests: addRequests(windows.requests, added, elapsed),
	};
}

/**
Takes failures out of the windows, as far as they are there.
*/
export function withdrawFailures(windows: Windows, count: number): Windows {
	const discount = (samples: symptoms.Samples): symptoms.Samples => {
		const {errors} = samples;
		const taken = Math.min(count, errors.bad);
		return {...samples, errors: {count: errors.count - taken, bad: errors.bad - taken}};
	};

	return {
		instant: discount(windows.instant),
		short: {...windows.short, samples: discount(windows.short.samples)},
		long: {...windows.long, samples: discount(windows.long.samples)},
		requests: windows.requests,
	};
}

function getDecay(elapsed: number, length: number): number {
	return Math.exp(-elapsed / length);
}

function addRequests(
	requests: Windows['requests'],
	added: ReadonlyMap<core.HostId, symptoms.Samples>,
	elapsed: number,
): Windows['requests'] {
	const decay = getDecay(elapsed, constants.HOST_REQUESTS_WINDOW_MILLISECONDS);
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
