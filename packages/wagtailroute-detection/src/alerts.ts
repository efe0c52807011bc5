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
	readonly hear: (summary: summaries.Summary, isLate: (bucket: number) => boolean, now: number) => void;
	readonly isAlerted: (upstream: core.UpstreamId, now: number) => boolean;
	/**
	Whether any upstream is alerted.
	*/
	readonly isAny: (now: number) => boolean;
};

type Alert = {
	readonly weight: number;
	readonly at: number;
	readonly until: number;
};

/**
Creates alerts.
*/
export function createAlerts(): Alerts {
	const alerts = new Map<core.UpstreamId, Alert>();
	let anyUntil = -Infinity;

	const note = (upstream: core.UpstreamId, added: number, now: number): void => {
		const before = alerts.get(upstream);
		const kept = before === undefined ? 0 : before.weight * Math.exp((before.at - now) / constants.ALERT_WINDOW_MILLISECONDS);
		const weight = kept + added;
		const until = weight >= constants.ALERT_COUNT ? now + constants.ALERT_MILLISECONDS : before?.until ?? now;
		alerts.set(upstream, {weight, at: now, until});
		anyUntil = Math.max(anyUntil, until);
	};

	return {
		hear(summary, isLate, now) {
			for (const seen of summary.upstreams) {
				const weight = weigh(seen, isLate);
				if (weight > 0) {
					note(seen.id, weight, now);
				}
			}
		},
		isAlerted: (upstream, now) => (alerts.get(upstream)?.until ?? now) > now,
		isAny: now => anyUntil > now,
	};
}

function weigh({failures, latencies}: summaries.UpstreamSummary, isLate: (bucket: number) => boolean): number {
	let weight = 0;
	for (const count of Object.values(failures)) {
		weight += count;
	}

	for (let index = 0; index + 1 < latencies.length; index += 2) {
		weight += isLate(latencies[index]!) ? latencies[index + 1]! * constants.LATE_WEIGHT : 0;
	}

	return weight;
}
