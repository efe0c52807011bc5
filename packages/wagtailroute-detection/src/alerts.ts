/**
Upstreams that a host tells of more often than in quiet times, because something was seen of them here or elsewhere.

What goes wrong without: a host that sees an upstream fail asks for an ejection only when the others' evidence agrees, and
theirs would come with their next regular summary, a second or more later. One failure is usual and alerts nobody: at usual
rates all upstreams of a busy service would be alerted at all times.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import type * as summaries from './summaries.ts';

/**
The alerts of one service on one host.
*/
export type Alerts = {
	/**
	Takes what a summary of any host tells. `isLate` says of a bucket whether requests in it took far too long.
	*/
	readonly applySummary: (summary: summaries.Summary, isOverdue: (bucket: number) => boolean, now: number) => void;
	readonly isAlerted: (upstream: core.UpstreamId, now: number) => boolean;
	/**
	Whether any upstream is alerted.
	*/
	readonly hasAlerts: (now: number) => boolean;
};

type Alert = {
	readonly weight: number;
	readonly updatedAt: number;
	readonly until: number;
};

/**
Creates alerts.
*/
export function createAlerts(): Alerts {
	const alerts = new Map<core.UpstreamId, Alert>();
	let lastAlertUntil = -Infinity;

	const addWeight = (upstream: core.UpstreamId, addedWeight: number, now: number): void => {
		const before = alerts.get(upstream);
		const decayedWeight = before === undefined ? 0 : before.weight * Math.exp((before.updatedAt - now) / constants.ALERT_WINDOW_MILLISECONDS);
		const weight = decayedWeight + addedWeight;
		const until = weight >= constants.ALERT_FAILURES ? now + constants.ALERT_DURATION_MILLISECONDS : before?.until ?? now;
		alerts.set(upstream, {weight, updatedAt: now, until});
		lastAlertUntil = Math.max(lastAlertUntil, until);
	};

	return {
		applySummary(summary, isOverdue, now) {
			for (const seen of summary.upstreams) {
				const weight = getAlertWeight(seen, isOverdue);
				if (weight > 0) {
					addWeight(seen.id, weight, now);
				}
			}
		},
		isAlerted: (upstream, now) => (alerts.get(upstream)?.until ?? now) > now,
		hasAlerts: now => lastAlertUntil > now,
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
