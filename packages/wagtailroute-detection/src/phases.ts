/**
What each phase of an upstream does at a tick, and at the grantor's decisions.
*/
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import type * as measuring from './measuring.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as events from './events.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
What a phase may know at a tick.
*/
export type Context = {
	readonly now: number;
	readonly random: () => number;
	readonly point: operatingPoints.OperatingPoint;
	readonly measurement: measuring.Measurement;
	/**
	So many upstreams look sick at once that the cause is shared: nothing is ejected.
	*/
	readonly isShared: boolean;
};

/**
Next record of an upstream, and what is to be done.
*/
export type Change = {
	readonly tracked: states.Tracked;
	readonly effects: readonly events.Effect[];
};

type Handlers = {
	readonly [Kind in states.Phase['kind']]: (
		tracked: states.Tracked,
		phase: Extract<states.Phase, {kind: Kind}>,
		context: Context,
	) => Change;
};

const HANDLERS: Handlers = {
	serving(tracked, phase, context) {
		if (tracked.upstream.state === 'draining' || context.now < phase.heldUntil) {
			return keep(tracked);
		}

		const finding = findings.getFinding(tracked, context.point, context.measurement);
		if (finding === undefined) {
			return keep(phase.foundAt === undefined ? tracked : {...tracked, phase: {...phase, foundAt: undefined}});
		}

		// Evidence gathered while all got worse says nothing about this one: without the reset it would eject a healthy
		// upstream as soon as the others recover.
		if (context.isShared) {
			return keep({...tracked, standing: states.EMPTY_STANDING});
		}

		const foundAt = phase.foundAt ?? context.now;
		const isLasting = context.now - foundAt >= context.point.dwellMilliseconds[finding.symptom];
		if (!isLasting || !findings.isCurrent(tracked, finding.symptom)) {
			return keep({...tracked, phase: {...phase, foundAt}});
		}

		return {
			tracked: {...tracked, phase: {kind: 'requested', since: context.now}},
			effects: [{kind: 'request-ejection', upstream: tracked.upstream.id, finding}],
		};
	},
	requested(tracked, phase, {now}) {
		const next: states.Phase = isOverdue(phase.since, now)
			? {kind: 'serving', since: phase.since, heldUntil: now}
			: phase;
		return keep({...tracked, phase: next});
	},
	ejected(tracked, phase, {now}) {
		if (now < phase.until) {
			return keep(tracked);
		}

		return {
			tracked: {...tracked, phase: {kind: 'trial', good: 0}, standing: states.EMPTY_STANDING},
			effects: [{kind: 'start-trial', upstream: tracked.upstream.id}],
		};
	},
	trial(tracked, phase, context) {
		const {id} = tracked.upstream;
		const evidence = getStrongestOfAll(tracked.standing.pooled);
		if (evidence >= context.point.threshold * constants.TRIAL_SHARE) {
			return {
				tracked: startEjection(tracked, tracked.ejections + 1, context),
				effects: [{kind: 'end-trial', upstream: id}],
			};
		}

		const good = countGood(phase.good, context.measurement.getSamples(id));
		const isRecovered = good >= context.point.trialRequests
			&& evidence < context.point.threshold * constants.READMISSION_SHARE;
		return isRecovered
			? requestReadmission(tracked, context.now)
			: keep({...tracked, phase: {kind: 'trial', good}});
	},
	readmitting(tracked, phase, {now}) {
		return isOverdue(phase.since, now) ? requestReadmission(tracked, now) : keep(tracked);
	},
};

/**
Advances an upstream at a tick.
*/
export function advancePhase(tracked: states.Tracked, context: Context): Change {
	const handler = HANDLERS[tracked.phase.kind] as (
		tracked: states.Tracked,
		phase: states.Phase,
		context: Context,
	) => Change;
	return handler(tracked, tracked.phase, context);
}

/**
Takes an upstream out of service until its next trial. The wait doubles with each ejection in a row, so that a flapping
upstream gets less and less work.
*/
export function startEjection(
	tracked: states.Tracked,
	ejections: number,
	{now, random, point}: Pick<Context, 'now' | 'random' | 'point'>,
): states.Tracked {
	const doubled = point.ejectionMilliseconds * (2 ** (ejections - 1));
	const wait = Math.min(point.ejectionCeilingMilliseconds, doubled);
	// Spread over 20%, so that the hosts don't start their trials in one burst.
	const until = now + (wait * (0.9 + (0.2 * random())));
	return {
		...tracked,
		phase: {kind: 'ejected', until},
		standing: states.EMPTY_STANDING,
		ejections,
	};
}

function requestReadmission(tracked: states.Tracked, now: number): Change {
	return {
		tracked: {...tracked, phase: {kind: 'readmitting', since: now}},
		effects: [{kind: 'request-readmission', upstream: tracked.upstream.id}],
	};
}

function keep(tracked: states.Tracked): Change {
	return {tracked, effects: []};
}

function isOverdue(since: number, now: number): boolean {
	return now - since >= constants.GRANT_TIMEOUT_MILLISECONDS;
}

function countGood(before: number, {errors, slowness}: symptoms.Samples): number {
	const bad = errors.bad + slowness.bad;
	const good = Math.max(0, errors.count - bad);
	return Math.max(0, before + good - (bad * constants.TRIAL_PENALTY));
}

function getStrongestOfAll(statistics: symptoms.Statistics): number {
	return Math.max(...symptoms.SYMPTOMS.map(symptom => symptoms.getStrongest(statistics[symptom])));
}
