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
import * as requestCounts from './request-counts.ts';
import * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';
import {createUsualLatency} from './usual-latency.ts';

/**
A request in flight. Only `evidence` reads it.
*/
export type InFlightRequest = {
	readonly upstream: core.UpstreamId;
	readonly startedAt: number;
	/**
	How many overdue ages were reported.
	*/
	overdueReports: number;
};

/**
Evidence of one host about the upstreams of one service.
*/
export type EvidenceCollector = {
	/**
	Starts to watch a request.
	*/
	readonly begin: (upstream: core.UpstreamId, now: number) => InFlightRequest;
	/**
	Records how a request ended. Call it once for each request.
	*/
	readonly end: (request: InFlightRequest, result: summaries.RequestResult, now: number) => void;
	/**
	Records a request that was not watched.
	*/
	readonly record: (upstream: core.UpstreamId, result: summaries.RequestResult, latencyMilliseconds: number) => void;
	/**
	Whether the next summary should not wait for its period.
	*/
	readonly hasUrgentEvidence: (now: number) => boolean;
	/**
	Returns what was seen since the last summary and starts over; undefined when nothing was.
	*/
	readonly collectSummary: (now: number) => summaries.Summary | undefined;
	/**
	Returns what should be told now: all that was seen, at each multiple of `quietMilliseconds`;
	before that the upstreams with urgent evidence, and the alerted ones each `SUMMARY_MILLISECONDS`. Undefined when nothing
	is due.
	*/
	readonly collectDueSummary: (now: number, quietMilliseconds: number) => summaries.Summary | undefined;
	/**
	Takes what another host told, to be alerted by it.
	*/
	readonly applySummary: (summary: summaries.Summary, now: number) => void;
};

/**
Creates the evidence of a host. `epoch` must differ from that of the host's earlier lives.
*/
export function createEvidenceCollector({host, failureDomain, epoch}: {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
}): EvidenceCollector {
	const counts = new Map<core.UpstreamId, requestCounts.RequestCounts>();
	const inFlightRequests = new Set<InFlightRequest>();
	const usualLatency = createUsualLatency();
	let sequence = 0;
	let lastSummaryAt = -Infinity;
	let lastFullSummaryAt = -Infinity;
	let overdueBucket = Infinity;
	const alerts = createAlerts();
	let overdueMilliseconds = Infinity;

	const getOrCreateCounts = (upstream: core.UpstreamId): requestCounts.RequestCounts => {
		const present = counts.get(upstream) ?? requestCounts.createRequestCounts();
		counts.set(upstream, present);
		return present;
	};

	const record = (upstream: core.UpstreamId, result: summaries.RequestResult, reported: number, milliseconds: number): void => {
		if (result === 'cancelled') {
			return;
		}

		const present = getOrCreateCounts(upstream);
		requestCounts.countResult(present, result, !alerts.isAlerted(upstream, lastSummaryAt));
		if (result !== 'success') {
			return;
		}

		usualLatency.add(milliseconds);
		if (reported === 0) {
			requestCounts.countLatency(present, latencies.getBucket(milliseconds));
		}
	};

	const reportOverdue = (now: number): void => {
		for (const request of inFlightRequests) {
			const ratio = constants.OVERDUE_RATIOS[request.overdueReports];
			const age = now - request.startedAt;
			if (ratio === undefined || age <= overdueMilliseconds * ratio) {
				continue;
			}

			request.overdueReports++;
			const present = getOrCreateCounts(request.upstream);
			requestCounts.countLatency(present, latencies.getBucket(age));
			present.urgentEvents++;
		}
	};

	const isUrgent = (now: number): boolean => {
		if (now - lastSummaryAt < constants.MIN_SUMMARY_INTERVAL_MILLISECONDS) {
			return false;
		}

		reportOverdue(now);
		return counts.values().some(({urgentEvents}) => urgentEvents >= constants.URGENT_EVENTS);
	};

	const applySummary = (summary: summaries.Summary, now: number): void => {
		alerts.applySummary(summary, bucket => bucket > overdueBucket, now);
	};

	const collect = (now: number, isSelected: (upstream: core.UpstreamId, seen: requestCounts.RequestCounts) => boolean): summaries.Summary | undefined => {
		lastSummaryAt = now;
		const selected = [...counts].filter(([id, seen]) => isSelected(id, seen));
		if (selected.length === 0) {
			return undefined;
		}

		for (const [id] of selected) {
			counts.delete(id);
		}

		sequence++;
		const summary = {
			host,
			failureDomain,
			epoch,
			sequence,
			upstreams: selected.map(([id, seen]) => requestCounts.createUpstreamSummary(id, seen)),
		};
		applySummary(summary, now);
		return summary;
	};

	const collectFullSummary = (now: number): summaries.Summary | undefined => {
		reportOverdue(now);
		lastFullSummaryAt = now;
		overdueMilliseconds = usualLatency.getQuantileAndDecay(now);
		overdueBucket = overdueMilliseconds === Infinity ? Infinity : latencies.getBucket(overdueMilliseconds * constants.OVERDUE_RATIOS[0]);
		return collect(now, () => true);
	};

	const collectPartialSummary = (now: number): summaries.Summary | undefined =>
		collect(now, (id, {urgentEvents}) => urgentEvents >= constants.URGENT_EVENTS || alerts.isAlerted(id, now));

	return {
		begin(upstream, now) {
			const request = {upstream, startedAt: now, overdueReports: 0};
			inFlightRequests.add(request);
			return request;
		},
		end(request, result, now) {
			inFlightRequests.delete(request);
			record(request.upstream, result, request.overdueReports, now - request.startedAt);
		},
		record(upstream, result, latencyMilliseconds) {
			record(upstream, result, 0, latencyMilliseconds);
		},
		hasUrgentEvidence: isUrgent,
		applySummary,
		collectSummary: collectFullSummary,
		collectDueSummary(now, quietMilliseconds) {
			// All services of a host become due together, so that one message can tell of them.
			if (Math.floor(now / quietMilliseconds) !== Math.floor(lastFullSummaryAt / quietMilliseconds)) {
				return collectFullSummary(now);
			}

			const isPartialSummaryDue = alerts.hasAlerts(now) && now - lastSummaryAt >= constants.ALERTED_SUMMARY_INTERVAL_MILLISECONDS;
			return isPartialSummaryDue || isUrgent(now) ? collectPartialSummary(now) : undefined;
		},
	};
}
