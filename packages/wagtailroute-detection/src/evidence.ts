/**
Collects evidence from the requests that this host sends. Runs for every request, so it counts in mutable tables held in
a closure; it stays deterministic, since times are passed in.

A request in flight counts too: an upstream that hangs answers nothing, and waiting for the timeouts would let it keep
all its slots for seconds. So a request that is already much older than requests of the service usually get is reported
as it stands.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';

/**
A request in flight. Only `evidence` reads it.
*/
export type Ticket = {
	readonly upstream: core.UpstreamId;
	readonly startedAt: number;
	/**
	How many overdue ages were reported.
	*/
	reported: number;
};

/**
Evidence of one host about the upstreams of one service.
*/
export type Evidence = {
	/**
	Starts to watch a request.
	*/
	readonly begin: (upstream: core.UpstreamId, now: number) => Ticket;
	/**
	Records how a request ended. Call it once for each ticket.
	*/
	readonly end: (ticket: Ticket, result: summaries.Result, now: number) => void;
	/**
	Records a request that was not watched.
	*/
	readonly record: (upstream: core.UpstreamId, result: summaries.Result, latencyMilliseconds: number) => void;
	/**
	Whether the next summary should not wait for its period.
	*/
	readonly isUrgent: (now: number) => boolean;
	/**
	Returns what was seen since the last summary and starts over; undefined when nothing was.
	*/
	readonly takeSummary: (now: number) => summaries.Summary | undefined;
};

type Counts = {
	successes: number;
	failures: Partial<Record<summaries.FailureKind, number>>;
	sheds: number;
	latencies: Map<number, number>;
	urgent: number;
};

/**
Creates the evidence of a host. `epoch` must differ from that of the host's earlier lives.
*/
export function createEvidence({host, failureDomain, epoch}: {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
}): Evidence {
	const counts = new Map<core.UpstreamId, Counts>();
	const inFlight = new Set<Ticket>();
	const usual = createUsual();
	let sequence = 0;
	let takenAt = -Infinity;
	let overdueMilliseconds = Infinity;

	const getCounts = (upstream: core.UpstreamId): Counts => {
		const existing = counts.get(upstream);
		if (existing !== undefined) {
			return existing;
		}

		const created: Counts = {
			successes: 0, failures: {}, sheds: 0, latencies: new Map(), urgent: 0,
		};
		counts.set(upstream, created);
		return created;
	};

	const countLatency = (upstream: core.UpstreamId, milliseconds: number): void => {
		const bucket = latencies.getBucket(milliseconds);
		const byBucket = getCounts(upstream).latencies;
		byBucket.set(bucket, (byBucket.get(bucket) ?? 0) + 1);
	};

	const record = (upstream: core.UpstreamId, result: summaries.Result, reported: number, milliseconds: number): void => {
		if (result === 'cancelled') {
			return;
		}

		const recorder = RECORDERS[result] as (counts: Counts, result: Recorded) => void;
		recorder(getCounts(upstream), result);
		if (result !== 'success') {
			return;
		}

		usual.add(milliseconds);
		if (reported === 0) {
			countLatency(upstream, milliseconds);
		}
	};

	const reportOverdue = (now: number): void => {
		for (const ticket of inFlight) {
			const ratio = constants.OVERDUE_RATIOS[ticket.reported];
			const age = now - ticket.startedAt;
			if (ratio === undefined || age <= overdueMilliseconds * ratio) {
				continue;
			}

			ticket.reported++;
			countLatency(ticket.upstream, age);
			getCounts(ticket.upstream).urgent++;
		}
	};

	return {
		begin(upstream, now) {
			const ticket = {upstream, startedAt: now, reported: 0};
			inFlight.add(ticket);
			return ticket;
		},
		end(ticket, result, now) {
			inFlight.delete(ticket);
			record(ticket.upstream, result, ticket.reported, now - ticket.startedAt);
		},
		record(upstream, result, latencyMilliseconds) {
			record(upstream, result, 0, latencyMilliseconds);
		},
		isUrgent(now) {
			if (now - takenAt < constants.URGENT_SUMMARY_MILLISECONDS) {
				return false;
			}

			reportOverdue(now);
			return counts.values().some(({urgent}) => urgent >= constants.URGENT_COUNT);
		},
		takeSummary(now) {
			reportOverdue(now);
			takenAt = now;
			overdueMilliseconds = usual.takeQuantile();
			if (counts.size === 0) {
				return undefined;
			}

			sequence++;
			const taken = [...counts].map(([id, seen]) => writeSummary(id, seen));
			counts.clear();
			return {
				host,
				failureDomain,
				epoch,
				sequence,
				upstreams: taken,
			};
		},
	};
}

function countFailure(counts: Counts, kind: summaries.FailureKind): void {
	counts.failures[kind] = (counts.failures[kind] ?? 0) + 1;
	counts.urgent++;
}

type Recorded = Exclude<summaries.Result, 'cancelled'>;

const RECORDERS: {readonly [Kind in Recorded]: (counts: Counts, result: Kind) => void} = {
	success(counts) {
		counts.successes++;
	},
	shed(counts) {
		counts.sheds++;
	},
	connect: countFailure,
	reset: countFailure,
	status: countFailure,
	truncated: countFailure,
	timeout: countFailure,
};

function writeSummary(id: core.UpstreamId, counts: Counts): summaries.UpstreamSummary {
	return {
		id,
		successes: counts.successes,
		failures: counts.failures,
		sheds: counts.sheds,
		latencies: [...counts.latencies].flat(),
	};
}

type Usual = {
	readonly add: (milliseconds: number) => void;
	readonly takeQuantile: () => number;
};

// Share of the older samples that each summary keeps: a window of about 20 summaries.
const USUAL_DECAY = 0.95;

const USUAL_QUANTILE = 0.9;

// Latencies of this host over all upstreams of the service, decaying with each summary.
function createUsual(): Usual {
	let usual = [...latencies.EMPTY_HISTOGRAM];
	return {
		add(milliseconds) {
			usual[latencies.getBucket(milliseconds)]!++;
		},
		takeQuantile() {
			if (latencies.getTotal(usual) < constants.MINIMUM_PEER_SAMPLES) {
				return Infinity;
			}

			const quantile = latencies.getQuantile(usual, USUAL_QUANTILE);
			usual = usual.map(count => count * USUAL_DECAY);

			return quantile;
		},
	};
}
