/**
Collection of evidence from the requests that this host sends. It runs for every request, so it counts in mutable tables
held in a closure. It is deterministic, since times are passed in.

Requests in flight count too: a hanging upstream answers nothing, and waiting for the timeouts would let it keep all its
slots for seconds. A request that is already much older than usual is therefore reported as overdue, with its present age
as its latency.
*/
import type * as core from 'wagtailroute-core';
import {createAlerts} from './alerts.ts';
import * as constants from './constants.ts';
import * as requestCounts from './request-counts.ts';
import * as latencies from './latencies.ts';
import type * as summaries from './summaries.ts';
import {createUsualLatency} from './usual-latency.ts';

/**
A request in flight, as a handle for the caller; only the collector reads its properties.
*/
export type InFlightRequest = {
	readonly upstream: core.UpstreamId;
	readonly startedAt: number;
	/**
	How many of the `OVERDUE_RATIOS` were reported.
	*/
	overdueReports: number;
};

/**
Collector of one host's evidence about the upstreams of one service.
*/
export type EvidenceCollector = {
	/**
	Records the start of a request.
	*/
	readonly begin: (upstream: core.UpstreamId, now: number) => InFlightRequest;
	/**
	Records the result of a request. Call it once for each handle.
	*/
	readonly end: (request: InFlightRequest, result: summaries.RequestResult, now: number) => void;
	/**
	Records a completed request whose start was not recorded.
	*/
	readonly record: (upstream: core.UpstreamId, result: summaries.RequestResult, latencyMilliseconds: number) => void;
	/**
	Returns whether there is evidence that should not wait for the next regular summary.
	*/
	readonly hasUrgentEvidence: (now: number) => boolean;
	/**
	Returns a summary of all upstreams since their last one, and resets the counts; undefined without requests.
	*/
	readonly collectSummary: (now: number) => summaries.Summary | undefined;
	/**
	Returns the summary that is due now: of all upstreams, at each multiple of `quietMilliseconds`; in between, of those with
	urgent evidence, and of the alerted ones every `ALERTED_SUMMARY_INTERVAL_MILLISECONDS`. Undefined when none is due.
	*/
	readonly collectDueSummary: (now: number, quietMilliseconds: number) => summaries.Summary | undefined;
	/**
	Applies a summary of another host, which may alert this host to upstreams.
	*/
	readonly applySummary: (summary: summaries.Summary, now: number) => void;
};

/**
Creates the collector of a host. `epoch` must differ from those of the host's earlier starts.
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
	let usualMilliseconds = Infinity;

	const getOrCreateCounts = (upstream: core.UpstreamId): requestCounts.RequestCounts => {
		const upstreamCounts = counts.get(upstream) ?? requestCounts.createRequestCounts();
		counts.set(upstream, upstreamCounts);
		return upstreamCounts;
	};

	const record = (upstream: core.UpstreamId, result: summaries.RequestResult, overdueReports: number, milliseconds: number): void => {
		if (result === 'cancelled') {
			return;
		}

		const upstreamCounts = getOrCreateCounts(upstream);
		requestCounts.countResult(upstreamCounts, result, !alerts.isAlerted(upstream, lastSummaryAt));
		if (result !== 'success') {
			return;
		}

		usualLatency.add(milliseconds);
		if (overdueReports === 0) {
			requestCounts.countLatency(upstreamCounts, latencies.getBucket(milliseconds));
		}
	};

	const reportOverdue = (now: number): void => {
		for (const request of inFlightRequests) {
			const ratio = constants.OVERDUE_RATIOS[request.overdueReports];
			const age = now - request.startedAt;
			if (ratio === undefined || age <= usualMilliseconds * ratio) {
				continue;
			}

			request.overdueReports++;
			const upstreamCounts = getOrCreateCounts(request.upstream);
			requestCounts.countLatency(upstreamCounts, latencies.getBucket(age));
			upstreamCounts.urgentEvents++;
		}
	};

	const hasUrgentEvidence = (now: number): boolean => {
		if (now - lastSummaryAt < constants.MIN_SUMMARY_INTERVAL_MILLISECONDS) {
			return false;
		}

		reportOverdue(now);
		return counts.values().some(({urgentEvents}) => urgentEvents >= constants.URGENT_EVENTS);
	};

	const applySummary = (summary: summaries.Summary, now: number): void => {
		alerts.applySummary(summary, bucket => bucket > overdueBucket, now);
	};

	const collect = (now: number, isSelected: (upstream: core.UpstreamId, upstreamCounts: requestCounts.RequestCounts) => boolean): summaries.Summary | undefined => {
		lastSummaryAt = now;
		const selected = [...counts].filter(([id, upstreamCounts]) => isSelected(id, upstreamCounts));
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
			upstreams: selected.map(([id, upstreamCounts]) => requestCounts.createUpstreamSummary(id, upstreamCounts)),
		};
		applySummary(summary, now);
		return summary;
	};

	const collectFullSummary = (now: number): summaries.Summary | undefined => {
		reportOverdue(now);
		lastFullSummaryAt = now;
		usualMilliseconds = usualLatency.getQuantileAndDecay(now);
		overdueBucket = usualMilliseconds === Infinity ? Infinity : latencies.getBucket(usualMilliseconds * constants.OVERDUE_RATIOS[0]);
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
		hasUrgentEvidence,
		applySummary,
		collectSummary: collectFullSummary,
		collectDueSummary(now, quietMilliseconds) {
			// All services of a host become due together, so that one message can hold their summaries.
			if (Math.floor(now / quietMilliseconds) !== Math.floor(lastFullSummaryAt / quietMilliseconds)) {
				return collectFullSummary(now);
			}

			const isPartialSummaryDue = alerts.hasAlerts(now) && now - lastSummaryAt >= constants.ALERTED_SUMMARY_INTERVAL_MILLISECONDS;
			return isPartialSummaryDue || hasUrgentEvidence(now) ? collectPartialSummary(now) : undefined;
		},
	};
}
