/**
Whether anything stands out in a service. While nothing does, steps and summaries can come less often: work follows the
change.
*/
import * as constants from './constants.ts';
import * as operatingPoints from './operating-points.ts';
import type * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Returns the recommended time from the last tick to the next one, in milliseconds. The short one when there are failures to
weigh, evidence has gathered, or a phase waits for requests or answers.
*/
export function getTickIntervalMilliseconds(state: states.DetectionState): number {
	const least = operatingPoints.OPERATING_POINTS[state.operatingPoint].threshold * constants.ACTIVE_EVIDENCE_FRACTION;
	const isActive = hasFailures(state.pending) || state.upstreams.values().some(tracked => isUpstreamActive(tracked, least));
	return isActive ? constants.TICK_INTERVAL_MILLISECONDS : constants.QUIET_TICK_INTERVAL_MILLISECONDS;
}

function hasFailures(pending: states.DetectionState['pending']): boolean {
	return pending.some(({upstreams}) => upstreams.some(({failures}) => Object.keys(failures).length > 0));
}

function isUpstreamActive({phase, evidence, steering}: states.TrackedUpstream, least: number): boolean {
	const isWaiting = phase.kind === 'serving' ? phase.findingSince !== undefined : phase.kind !== 'ejected';
	return isWaiting
		|| steering.suspectedAt !== undefined
		|| symptoms.SYMPTOMS.some(symptom => symptoms.getStrongestEvidence(evidence.pooled[symptom]) >= least
			|| symptoms.getStrongestEvidence(evidence.own[symptom]) >= least);
}
