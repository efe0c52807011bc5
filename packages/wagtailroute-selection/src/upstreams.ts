/**
State of each upstream for the choice: what is announced and decided about it, and what this host has measured.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
`in`: receives requests. `trial`: ejected, but receives a small share of its traffic to show whether it has recovered.
`ejected`: receives no requests.
*/
export type EjectionState = 'in' | 'trial' | 'ejected';

/**
An upstream as announced, with the decisions of detection about it.
*/
export type Upstream = {
	readonly id: core.UpstreamId;
	readonly failureDomain: core.FailureDomain;
	/**
	Number of requests that the upstream runs concurrently, from all hosts.
	*/
	readonly slots: number;
	readonly state: 'serving' | 'draining';
	readonly ejectionState: EjectionState;
	/**
	Whether only this host should avoid it, because of a fault on the network path. Chosen only when no other upstream has a
	free slot.
	*/
	readonly isAvoided?: boolean;
	/**
	Monotonic time in milliseconds at which the upstream began to ramp up; absent when it is warm.
	*/
	readonly rampStartedAt?: number;
};

/**
How a request ended at an upstream. `shed`: a 503 with the outcome `not-run`.
*/
export type RequestResult = 'success' | 'failure' | 'shed' | 'cancelled';

/**
Mutable state of one upstream, measured by this host.
*/
export type TrackedUpstream = {
	declared: Upstream;
	ownedSlots: number;
	/**
	Requests that this host has in flight at the upstream.
	*/
	outstanding: number;
	/**
	Peak-EWMA estimate of the latency.
	*/
	latencyMilliseconds: number;
	latencyUpdatedAt: number;
	/**
	Whether the last request that ended at the upstream failed.
	*/
	hasFailed: boolean;
	shedsInRow: number;
	/**
	Slots that other hosts used at the last shed.
	*/
	slotsUsedByOthers: number;
	/**
	Monotonic time of the last shed, in milliseconds.
	*/
	shedAt: number;
};

/**
Creates the state of a new upstream.
*/
export function createTrackedUpstream(declared: Upstream): TrackedUpstream {
	return {
		declared,
		ownedSlots: declared.slots,
		outstanding: 0,
		latencyMilliseconds: constants.INITIAL_LATENCY_MILLISECONDS,
		latencyUpdatedAt: 0,
		hasFailed: false,
		shedsInRow: 0,
		slotsUsedByOthers: 0,
		shedAt: 0,
	};
}

/**
Estimates the cost of one more request: the requests in flight of this host and, as far as sheds showed them, of others, plus
{@link constants.BORROWED_SLOT_COST} when this host has no free slot of its own; multiplied by how much slower than usual the
upstream is.
*/
export function estimateCost(tracked: TrackedUpstream, now: number, usualMilliseconds: number): number {
	const slowness = Math.max(1, getDecayedLatency(tracked, now) / (usualMilliseconds * constants.SLOW_LATENCY_RATIO));
	const borrowedSlotCost = tracked.outstanding < tracked.ownedSlots ? 0 : constants.BORROWED_SLOT_COST;
	return (tracked.outstanding + 1 + borrowedSlotCost + estimateSlotsUsedByOthers(tracked, now, usualMilliseconds)) * slowness;
}

// The estimate decays also while no request is sent. Otherwise, when the other upstreams are idle, each host would send a
// failing upstream one request and then none: a healthy upstream that failed once would stay without requests, and for a
// faulty one detection would get too little evidence to eject it, so that each host would lose a request to it.
function getDecayedLatency({latencyMilliseconds, latencyUpdatedAt, hasFailed}: TrackedUpstream, now: number): number {
	const decay = hasFailed ? constants.FAILURE_DECAY_MILLISECONDS : constants.IDLE_DECAY_MILLISECONDS;
	return latencyMilliseconds * Math.exp((latencyUpdatedAt - now) / decay);
}

// Estimates of slots used by others below this count as 0.
const MIN_COUNTED_SLOTS = 0.2;

// A shed shows that all slots were busy. The slots that this host did not use are assumed to become free over time, more slowly
// with each consecutive shed, so that an upstream that sheds constantly is not tried constantly.
function estimateSlotsUsedByOthers({slotsUsedByOthers, shedAt, shedsInRow}: TrackedUpstream, now: number, usualMilliseconds: number): number {
	if (slotsUsedByOthers === 0) {
		return 0;
	}

	const countedSheds = Math.min(shedsInRow, constants.MAX_COUNTED_SHEDS);
	const decay = usualMilliseconds * constants.SHED_DECAY_RATIO * countedSheds;
	const remaining = slotsUsedByOthers * Math.exp((shedAt - now) / decay);
	return remaining < MIN_COUNTED_SLOTS ? 0 : remaining;
}

/**
Returns the fraction of its normal traffic that an upstream may receive, in [0, 1].
*/
export function getTrafficShare(tracked: TrackedUpstream, now: number): number {
	const {ejectionState, rampStartedAt} = tracked.declared;
	if (ejectionState === 'trial') {
		return constants.TRIAL_SHARE;
	}

	if (rampStartedAt === undefined) {
		return 1;
	}

	const progress = (now - rampStartedAt) / constants.RAMP_MILLISECONDS;
	return Math.min(1, Math.max(constants.MIN_RAMP_SHARE, progress));
}

type EndSample = {
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly usualMilliseconds: number;
};

const RESULT_HANDLERS: Readonly<Record<RequestResult, (tracked: TrackedUpstream, ended: EndSample) => void>> = {
	success(tracked, ended) {
		tracked.shedsInRow = 0;
		tracked.slotsUsedByOthers = 0;
		tracked.hasFailed = false;
		recordLatency(tracked, ended.latencyMilliseconds, ended.now);
	},
	failure(tracked, ended) {
		const slow = Math.max(tracked.latencyMilliseconds, ended.usualMilliseconds * constants.SLOW_LATENCY_RATIO);
		const penalised = Math.max(ended.latencyMilliseconds, slow * constants.FAILURE_LATENCY_FACTOR);
		tracked.hasFailed = true;
		recordLatency(tracked, penalised, ended.now);
	},
	shed(tracked, ended) {
		tracked.shedsInRow++;
		tracked.slotsUsedByOthers = Math.max(0, tracked.declared.slots - tracked.outstanding);
		tracked.shedAt = ended.now;
	},
	cancelled() {
		// The caller cancelled the request: this says nothing about the upstream.
	},
};

/**
Updates the state of an upstream with the end of a request.
*/
export function recordEnd(tracked: TrackedUpstream, result: RequestResult, ended: EndSample): void {
	tracked.outstanding = Math.max(0, tracked.outstanding - 1);
	RESULT_HANDLERS[result](tracked, ended);
}

// Peak EWMA: the estimate rises to a higher sample at once and falls over the decay time, because sending to a slow upstream
// costs more than not sending to a fast one.
function recordLatency(tracked: TrackedUpstream, sample: number, now: number): void {
	const bounded = Math.min(sample, constants.MAX_LATENCY_MILLISECONDS);
	const weight = Math.exp((tracked.latencyUpdatedAt - now) / constants.LATENCY_DECAY_MILLISECONDS);
	const decayed = (tracked.latencyMilliseconds * weight) + (bounded * (1 - weight));
	tracked.latencyMilliseconds = Math.max(bounded, decayed);
	tracked.latencyUpdatedAt = now;
}
