/**
The phases of an upstream: what each does at a tick, and how an ejection starts.
*/
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import type * as measurements from './measurement.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as events from './events.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Input of a phase at a tick.
*/
export type PhaseContext = {
	readonly now: number;
	readonly random: () => number;
	readonly point: operatingPoints.OperatingPoint;
	readonly measurement: measurements.Measurement;
	/**
	Whether so many upstreams look sick at once that the cause must be shared. Nothing is ejected then.
	*/
	readonly isSharedCause: boolean;
};

/**
Next record of an upstream, and the effects to carry out.
*/
export type PhaseChange = {
	readonly tracked: states.TrackedUpstream;
	readonly effects: readonly events.Effect[];
};

type Handlers = {
	readonly [Kind in states.Phase['kind']]: (
		tracked: states.TrackedUpstream,
		phase: Extract<states.Phase, {kind: Kind}>,
		context: PhaseContext,
	) => PhaseChange;
};

const HANDLERS: Handlers = {
	serving(tracked, phase, context) {
		if (tracked.upstream.state === 'draining' || context.now < phase.nextRequestAt) {
			return createChange(tracked);
		}

		const finding = findings.getFinding(tracked, context.point, context.measurement);
		if (finding === undefined) {
			return createChange(phase.findingSince === undefined ? tracked : {...tracked, phase: {...phase, findingSince: undefined}});
		}

		// Evidence gathered while all upstreams got worse says nothing about this one. Without the reset, it would eject a
		// healthy upstream as soon as the others recover.
		if (context.isSharedCause) {
			return createChange({...tracked, evidence: states.EMPTY_UPSTREAM_EVIDENCE});
		}

		const findingSince = phase.findingSince ?? context.now;
		const hasLasted = context.now - findingSince >= context.point.minFindingMilliseconds[finding.symptom];
		if (!hasLasted || !findings.isInstantRateElevated(tracked, finding.symptom)) {
			return createChange({...tracked, phase: {...phase, findingSince}});
		}

		return {
			tracked: {...tracked, phase: {kind: 'requested', since: context.now}},
			effects: [{kind: 'request-ejection', upstream: tracked.upstream.id, finding}],
		};
	},
	requested(tracked, phase, {now}) {
		const next: states.Phase = isGrantTimedOut(phase.since, now)
			? {kind: 'serving', since: phase.since, nextRequestAt: now}
			: phase;
		return createChange({...tracked, phase: next});
	},
	ejected(tracked, phase, {now}) {
		if (now < phase.until) {
			return createChange(tracked);
		}

		return {
			tracked: {...tracked, phase: {kind: 'trial', good: 0}, evidence: states.EMPTY_UPSTREAM_EVIDENCE},
			effects: [{kind: 'start-trial', upstream: tracked.upstream.id}],
		};
	},
	trial(tracked, phase, context) {
		const {id} = tracked.upstream;
		const evidence = getStrongestOfAllSymptoms(tracked.evidence.pooled);
		if (evidence >= context.point.threshold * constants.TRIAL_FAILURE_EVIDENCE_FRACTION) {
			return {
				tracked: startEjection(tracked, tracked.ejections + 1, context),
				effects: [{kind: 'end-trial', upstream: id}],
			};
		}

		const good = countGoodRequests(phase.good, context.measurement.getSamples(id));
		const hasRecovered = good >= context.point.requiredTrialSuccesses
			&& evidence < context.point.threshold * constants.READMISSION_EVIDENCE_FRACTION;
		return hasRecovered
			? requestReadmission(tracked, context.now)
			: createChange({...tracked, phase: {kind: 'trial', good}});
	},
	readmitting(tracked, phase, {now}) {
		return isGrantTimedOut(phase.since, now) ? requestReadmission(tracked, now) : createChange(tracked);
	},
};

/**
Advances an upstream at a tick.
*/
export function advancePhase(tracked: states.TrackedUpstream, context: PhaseContext): PhaseChange {
	const handler = HANDLERS[tracked.phase.kind] as (
		tracked: states.TrackedUpstream,
		phase: states.Phase,
		context: PhaseContext,
	) => PhaseChange;
	return handler(tracked, tracked.phase, context);
}

/**
Takes an upstream out of service until its next trial. The time doubles with each consecutive ejection, so that a flapping
upstream gets less and less work.
*/
export function startEjection(
	tracked: states.TrackedUpstream,
	ejections: number,
	{now, random, point}: Pick<PhaseContext, 'now' | 'random' | 'point'>,
): states.TrackedUpstream {
	const doubledMilliseconds = point.initialEjectionMilliseconds * (2 ** (ejections - 1));
	const ejectionMilliseconds = Math.min(point.maxEjectionMilliseconds, doubledMilliseconds);
	// The time is spread over 20%, so that the hosts don't start their trials in one burst.
	const until = now + (ejectionMilliseconds * (0.9 + (0.2 * random())));
	return {
		...tracked,
		phase: {kind: 'ejected', until},
		evidence: states.EMPTY_UPSTREAM_EVIDENCE,
		ejections,
	};
}

function requestReadmission(tracked: states.TrackedUpstream, now: number): PhaseChange {
	return {
		tracked: {...tracked, phase: {kind: 'readmitting', since: now}},
		effects: [{kind: 'request-readmission', upstream: tracked.upstream.id}],
	};
}

function createChange(tracked: states.TrackedUpstream): PhaseChange {
	return {tracked, effects: []};
}

function isGrantTimedOut(since: number, now: number): boolean {
	return now - since >= constants.GRANT_TIMEOUT_MILLISECONDS;
}

function countGoodRequests(before: number, {errors, slowness}: symptoms.Samples): number {
	const bad = errors.bad + slowness.bad;
	const good = Math.max(0, errors.count - bad);
	return Math.max(0, before + good - (bad * constants.TRIAL_FAILURE_PENALTY));
}

function getStrongestOfAllSymptoms(evidenceBySymptom: symptoms.EvidenceBySymptom): number {
	return Math.max(...symptoms.SYMPTOMS.map(symptom => symptoms.getStrongestEvidence(evidenceBySymptom[symptom])));
}
