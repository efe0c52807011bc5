/**
Alerts: upstreams that a host summarizes more often, because this or another host recently saw them fail or be slow.

A host that sees an upstream fail requests an ejection only when the other hosts' evidence agrees. Without alerts, that
evidence would arrive with their next regular summaries, a second or more later. A single failure alerts no host: at usual
error rates, all upstreams of a busy service would always be alerted.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import type * as summaries from './summaries.ts';

/**
Alerts of one service on one host.
*/
export type Alerts = {
	/**
	Applies a summary of any host. `isOverdue` returns whether requests in a latency bucket took several times the usual time.
	*/
	readonly applySummary: (summary: summaries.Summary, isOverdue: (bucket: number) => boolean, now: number) => void;
	readonly isAlerted: (upstream: core.UpstreamId, now: number) => boolean;
	/**
	Returns whether any upstream is alerted.
	*/
	readonly hasAlerts: (now: number) => boolean;
};

type Alert = {
	readonly weight: number;
	readonly updatedAt: number;
	readonly until: number;
};

/**
Creates alerts without any alerted upstream.
*/
export function createAlerts(): Alerts {
	const alerts = new Map<core.UpstreamId, Alert>();
	let alertedUntil = -Infinity;

	const addWeight = (upstream: core.UpstreamId, addedWeight: number, now: number): void => {
		const before = alerts.get(upstream);
		const decayedWeight = before === undefined ? 0 : before.weight * Math.exp((before.updatedAt - now) / constants.ALERT_WINDOW_MILLISECONDS);
		const weight = decayedWeight + addedWeight;
		const until = weight >= constants.ALERT_FAILURES ? now + constants.ALERT_DURATION_MILLISECONDS : before?.until ?? now;
		alerts.set(upstream, {weight, updatedAt: now, until});
		alertedUntil = Math.max(alertedUntil, until);
	};

	return {
		applySummary(summary, isOverdue, now) {
			for (const upstream of summary.upstreams) {
				const weight = getAlertWeight(upstream, isOverdue);
				if (weight > 0) {
					addWeight(upstream.id, weight, now);
				}
			}
		},
		isAlerted: (upstream, now) => (alerts.get(upstream)?.until ?? now) > now,
		hasAlerts: now => alertedUntil > now,
	};
}

function getAlertWeight({failures, latencies}: summaries.UpstreamSummary, isOverdue: (bucket: number) => boolean): number {
	let weight = 0;
	for (const count of Object.values(failures)) {
		weight += count;
	}

	for (let index = 0; index + 1 < latencies.length; index += 2) {
		weight += isOverdue(latencies[index]!) ? latencies[index + 1]! * constants.OVERDUE_ALERT_WEIGHT : 0;
	}

	return weight;
}
