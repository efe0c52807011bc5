/**
Collects evidence from the requests that this host sends. Runs for every request, so it counts in mutable tables held in
a closure; it stays deterministic, since times are passed in.

A request in flight counts too: an upstream that hangs answers nothing, and waiting for the timeouts would let it keep
all its slots for seconds. So a request that is already much older than requests of the service usually get is reported
as it stands.
*/
import type * as core from 'wagtailroute-core';
import {createAlerts} from './alerts.ts';
import * as constants from './constants.ts';
import * as counting from './counts.ts';
import * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';
import {createUsual} from './usual.ts';

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
	/**
	Returns what should be told now: all that was seen, at each multiple of `quietMilliseconds`;
	before that the upstreams with urgent evidence, and the alerted ones each `SUMMARY_MILLISECONDS`. Undefined when nothing
	is due.
	*/
	readonly takeDue: (now: number, quietMilliseconds: number) => summaries.Summary | undefined;
	/**
	Takes what another host told, to be alerted by it.
	*/
	readonly hear: (summary: summaries.Summary, now: number) => void;
};

/**
Creates the evidence of a host. `epoch` must differ from that of the host's earlier lives.
*/
export function createEvidence({host, failureDomain, epoch}: {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
}): Evidence {
	const counts = new Map<core.UpstreamId, counting.Counts>();
	const inFlight = new Set<Ticket>();
	const usual = createUsual();
	let sequence = 0;
	let takenAt = -Infinity;
	let wholeAt = -Infinity;
	let lateBucket = Infinity;
	const alerts = createAlerts();
	let overdueMilliseconds = Infinity;

	const getCounts = (upstream: core.UpstreamId): counting.Counts => {
		const present = counts.get(upstream) ?? counting.createCounts();
		counts.set(upstream, present);
		return present;
	};

	const record = (upstream: core.UpstreamId, result: summaries.Result, reported: number, milliseconds: number): void => {
		if (result === 'cancelled') {
			return;
		}

		const present = getCounts(upstream);
		counting.countResult(present, result, !alerts.isAlerted(upstream, takenAt));
		if (result !== 'success') {
			return;
		}

		usual.add(milliseconds);
		if (reported === 0) {
			counting.countLatency(present, latencies.getBucket(milliseconds));
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
			const present = getCounts(ticket.upstream);
			counting.countLatency(present, latencies.getBucket(age));
			present.urgent++;
		}
	};

	const isUrgent = (now: number): boolean => {
		if (now - takenAt < constants.URGENT_SUMMARY_MILLISECONDS) {
			return false;
		}

		reportOverdue(now);
		return counts.values().some(({urgent}) => urgent >= constants.URGENT_COUNT);
	};

	const hear = (summary: summaries.Summary, now: number): void => {
		alerts.hear(summary, bucket => bucket > lateBucket, now);
	};

	const take = (now: number, isTaken: (upstream: core.UpstreamId, seen: counting.Counts) => boolean): summaries.Summary | undefined => {
		takenAt = now;
		const chosen = [...counts].filter(([id, seen]) => isTaken(id, seen));
		if (chosen.length === 0) {
			return undefined;
		}

		for (const [id] of chosen) {
			counts.delete(id);
		}

		sequence++;
		const summary = {
			host,
			failureDomain,
			epoch,
			sequence,
			upstreams: chosen.map(([id, seen]) => counting.writeSummary(id, seen)),
		};
		hear(summary, now);
		return summary;
	};

	const takeWhole = (now: number): summaries.Summary | undefined => {
		reportOverdue(now);
		wholeAt = now;
		overdueMilliseconds = usual.takeQuantile(now);
		lateBucket = overdueMilliseconds === Infinity ? Infinity : latencies.getBucket(overdueMilliseconds * constants.OVERDUE_RATIOS[0]);
		return take(now, () => true);
	};

	const takePart = (now: number): summaries.Summary | undefined =>
		take(now, (id, {urgent}) => urgent >= constants.URGENT_COUNT || alerts.isAlerted(id, now));

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
		isUrgent,
		hear,
		takeSummary: takeWhole,
		takeDue(now, quietMilliseconds) {
			// All services of a host become due together, so that one message can tell of them.
			if (Math.floor(now / quietMilliseconds) !== Math.floor(wholeAt / quietMilliseconds)) {
				return takeWhole(now);
			}

			const isPartDue = alerts.isAny(now) && now - takenAt >= constants.SUMMARY_MILLISECONDS;
			return isPartDue || isUrgent(now) ? takePart(now) : undefined;
		},
	};
}
