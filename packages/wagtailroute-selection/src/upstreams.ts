/**
The upstreams as the choice sees them: what the caller declares, and what this host measured.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
`in`: takes work. `trial`: ejected, but gets a small share to show whether it recovered. `ejected`: takes none.
*/
export type Admission = 'in' | 'trial' | 'ejected';

/**
An upstream as announced, with what detection decided about it.
*/
export type Upstream = {
	readonly id: core.UpstreamId;
	readonly failureDomain: core.FailureDomain;
	/**
	Requests it runs at a time, over all hosts.
	*/
	readonly slots: number;
	readonly state: 'serving' | 'draining';
	readonly admission: Admission;
	/**
	This host alone should avoid it (a path fault): chosen only when no other upstream has room.
	*/
	readonly avoided?: boolean;
	/**
	Monotonic time in milliseconds at which its ramp began; absent when it is warm.
	*/
	readonly rampStartedAt?: number;
};

/**
How a request ended at an upstream, as far as the choice cares. `shed` is a 503 with the outcome not-run.
*/
export type Result = 'success' | 'failure' | 'shed' | 'cancelled';

/**
Mutable record of one upstream: measured by this host.
*/
export type Entry = {
	declared: Upstream;
	ownedSlots: number;
	outstanding: number;
	latency: number;
	latencyAt: number;
	/**
	Whether the last request that ended here failed.
	*/
	hasFailed: boolean;
	shedsInRow: number;
	/**
	Slots that others held at the last shed, and when that was.
	*/
	foreign: number;
	shedAt: number;
};

/**
Creates the record of an upstream not seen before.
*/
export function createEntry(declared: Upstream): Entry {
	return {
		declared,
		ownedSlots: declared.slots,
		outstanding: 0,
		latency: constants.INITIAL_LATENCY_MILLISECONDS,
		latencyAt: 0,
		hasFailed: false,
		shedsInRow: 0,
		foreign: 0,
		shedAt: 0,
	};
}

/**
Estimated cost of one more request: requests in flight, this host's and those of others as far as a shed showed them,
more where this host has no free slot of its own; times how much slower than usual the upstream is.
*/
export function getCost(entry: Entry, now: number, usualMilliseconds: number): number {
	const slowness = Math.max(1, getEstimate(entry, now) / (usualMilliseconds * constants.SLOW_RATIO));
	const borrowing = entry.outstanding < entry.ownedSlots ? 0 : constants.BORROWING_COST;
	return (entry.outstanding + 1 + borrowing + getForeign(entry, now, usualMilliseconds)) * slowness;
}

// The estimate decays also while no request is sent. What goes wrong otherwise: where the others are idle, each host sends a
// failing upstream one request and then none for ever. A healthy one that failed once stays without work, and of a sick one
// the hosts see too little to eject it, so that each learns of it at its own cost.
function getEstimate({latency, latencyAt, hasFailed}: Entry, now: number): number {
	const decay = hasFailed ? constants.FAILURE_DECAY_MILLISECONDS : constants.IDLE_DECAY_MILLISECONDS;
	return latency * Math.exp((latencyAt - now) / decay);
}

const FORGOTTEN_SLOTS = 0.2;

// A shed shows that all slots were busy. This host knows its own part; the others' part is taken to end over time, more
// slowly after each shed in a row, so that an upstream that sheds all the time isn't asked all the time.
function getForeign({foreign, shedAt, shedsInRow}: Entry, now: number, usualMilliseconds: number): number {
	if (foreign === 0) {
		return 0;
	}

	const inRow = Math.min(shedsInRow, constants.SHED_CEILING);
	const decay = usualMilliseconds * constants.SHED_DECAY_RATIO * inRow;
	const left = foreign * Math.exp((shedAt - now) / decay);
	return left < FORGOTTEN_SLOTS ? 0 : left;
}

/**
Share of its normal traffic that an upstream may have, in [0, 1].
*/
export function getShare(entry: Entry, now: number): number {
	const {admission, rampStartedAt} = entry.declared;
	if (admission === 'trial') {
		return constants.TRIAL_SHARE;
	}

	if (rampStartedAt === undefined) {
		return 1;
	}

	const progress = (now - rampStartedAt) / constants.RAMP_MILLISECONDS;
	return Math.min(1, Math.max(constants.RAMP_FLOOR, progress));
}

type Ending = {
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly usualMilliseconds: number;
};

const ENDINGS: Readonly<Record<Result, (entry: Entry, ending: Ending) => void>> = {
	success(entry, ending) {
		entry.shedsInRow = 0;
		entry.foreign = 0;
		entry.hasFailed = false;
		observeLatency(entry, ending.latencyMilliseconds, ending.now);
	},
	failure(entry, ending) {
		const slow = Math.max(entry.latency, ending.usualMilliseconds * constants.SLOW_RATIO);
		const penalised = Math.max(ending.latencyMilliseconds, slow * constants.FAILURE_PENALTY);
		entry.hasFailed = true;
		observeLatency(entry, penalised, ending.now);
	},
	shed(entry, ending) {
		entry.shedsInRow++;
		entry.foreign = Math.max(0, entry.declared.slots - entry.outstanding);
		entry.shedAt = ending.now;
	},
	cancelled() {
		// The caller went away: this says nothing about the upstream.
	},
};

/**
Takes the end of a request into the record.
*/
export function observeEnd(entry: Entry, result: Result, ending: Ending): void {
	entry.outstanding = Math.max(0, entry.outstanding - 1);
	ENDINGS[result](entry, ending);
}

// Peak-EWMA: a rise counts at once, a fall only over the decay time, since a slow server costs more than a missed fast one.
function observeLatency(entry: Entry, sample: number, now: number): void {
	const bounded = Math.min(sample, constants.LATENCY_CEILING_MILLISECONDS);
	const weight = Math.exp((entry.latencyAt - now) / constants.LATENCY_DECAY_MILLISECONDS);
	const decayed = (entry.latency * weight) + (bounded * (1 - weight));
	entry.latency = Math.max(bounded, decayed);
	entry.latencyAt = now;
}
