/**
What the grantor's decisions, and evidence withdrawn later, do to the record of an upstream.
*/
import * as constants from './constants.ts';
import * as phases from './phases.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';
import * as windows from './windows.ts';

/**
Takes an ejection that was granted, to this host or another.
*/
export function applyEjection(
	tracked: states.TrackedUpstream,
	context: Pick<phases.PhaseContext, 'now' | 'random' | 'point'>,
): phases.PhaseChange {
	const {phase} = tracked;
	if (phase.kind !== 'serving' && phase.kind !== 'requested') {
		return {tracked, effects: []};
	}

	const isCountReset = context.now - phase.since > constants.EJECTION_COUNT_RESET_MILLISECONDS;
	const ejections = isCountReset ? 1 : tracked.ejections + 1;
	return {tracked: phases.startEjection(tracked, ejections, context), effects: []};
}

/**
Takes a re-admission.
*/
export function applyReadmission(tracked: states.TrackedUpstream, now: number): phases.PhaseChange {
	if (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested') {
		return {tracked, effects: []};
	}

	return {
		tracked: {...tracked, phase: {kind: 'serving', since: now, nextRequestAt: now}, evidence: states.EMPTY_UPSTREAM_EVIDENCE},
		effects: tracked.phase.kind === 'ejected' ? [] : [{kind: 'end-trial', upstream: tracked.upstream.id}],
	};
}

/**
Takes the refusal of an ejection: this host prefers other upstreams for a while, and asks again after it.
*/
export function applyRefusal(tracked: states.TrackedUpstream, until: number): phases.PhaseChange {
	if (tracked.phase.kind !== 'requested') {
		return {tracked, effects: []};
	}

	return {
		tracked: {...tracked, phase: {kind: 'serving', since: tracked.phase.since, nextRequestAt: until}},
		effects: [{
			kind: 'steer-away',
			upstream: tracked.upstream.id,
			until,
			cause: 'refused',
		}],
	};
}

/**
Withdraws failures that a request caused and not the upstream.
*/
export function withdrawUpstreamFailures(tracked: states.TrackedUpstream, count: number): states.TrackedUpstream {
	const withdraw = (statistics: symptoms.EvidenceBySymptom): symptoms.EvidenceBySymptom => ({
		...statistics,
		errors: symptoms.withdrawFailures(statistics.errors, 'errors', count, tracked.normalRates.errors),
	});
	const {pooled, own, outside} = tracked.evidence;
	return {
		...tracked,
		windows: windows.withdrawFailures(tracked.windows, count),
		evidence: {
			pooled: withdraw(pooled),
			own: withdraw(own),
			outside: new Map(outside.entries().map(([group, statistics]) => [group, withdraw(statistics)])),
		},
	};
}
