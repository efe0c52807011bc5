/**
Effects of the grantor's decisions, and of withdrawn failures, on the record of an upstream.
*/
import * as constants from './constants.ts';
import * as phases from './phases.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';
import * as windows from './windows.ts';

/**
Applies an ejection that was granted to this or another host.
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
Applies a re-admission.
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
Applies the refusal of an ejection: this host prefers other upstreams until the given time, and then may request the
ejection again.
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
Withdraws failures that were caused by a request and not by the upstream, from the windows and the evidence.
*/
export function withdrawUpstreamFailures(tracked: states.TrackedUpstream, count: number): states.TrackedUpstream {
	const withdraw = (evidenceBySymptom: symptoms.EvidenceBySymptom): symptoms.EvidenceBySymptom => ({
		...evidenceBySymptom,
		errors: symptoms.withdrawFailures(evidenceBySymptom.errors, 'errors', count, tracked.normalRates.errors),
	});
	const {pooled, own, outside} = tracked.evidence;
	return {
		...tracked,
		windows: windows.withdrawFailures(tracked.windows, count),
		evidence: {
			pooled: withdraw(pooled),
			own: withdraw(own),
			outside: new Map(outside.entries().map(([group, evidenceBySymptom]) => [group, withdraw(evidenceBySymptom)])),
		},
	};
}
