/**
Interval between ticks. While nothing stands out in a service, ticks are less frequent, which saves processor time.
*/
import * as constants from './constants.ts';
import * as operatingPoints from './operating-points.ts';
import type * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Returns the recommended time from the last tick to the next one, in milliseconds: the short interval when there are new
failures or sufficient evidence, or a phase waits for requests or answers.
*/
export function getTickIntervalMilliseconds(state: states.DetectionState): number {
	const minEvidence = operatingPoints.OPERATING_POINTS[state.operatingPoint].threshold * constants.ACTIVE_EVIDENCE_FRACTION;
	const isActive = hasFailures(state.pending) || state.upstreams.values().some(tracked => isUpstreamActive(tracked, minEvidence));
	return isActive ? constants.TICK_INTERVAL_MILLISECONDS : constants.QUIET_TICK_INTERVAL_MILLISECONDS;
}

function hasFailures(pending: states.DetectionState['pending']): boolean {
	return pending.some(({upstreams}) => upstreams.some(({failures}) => Object.keys(failures).length > 0));
}

function isUpstreamActive({phase, evidence, steering}: states.TrackedUpstream, minEvidence: number): boolean {
	const isWaiting = phase.kind === 'serving' ? phase.findingSince !== undefined : phase.kind !== 'ejected';
	return isWaiting
		|| steering.suspectedAt !== undefined
		|| symptoms.SYMPTOMS.some(symptom => symptoms.getStrongestEvidence(evidence.pooled[symptom]) >= minEvidence
			|| symptoms.getStrongestEvidence(evidence.own[symptom]) >= minEvidence);
}
