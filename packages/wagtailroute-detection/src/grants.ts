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
export function eject(
	tracked: states.Tracked,
	context: Pick<phases.Context, 'now' | 'random' | 'point'>,
): phases.Change {
	const {phase} = tracked;
	if (phase.kind !== 'serving' && phase.kind !== 'requested') {
		return {tracked, effects: []};
	}

	const isForgiven = context.now - phase.since > constants.FORGIVE_MILLISECONDS;
	const ejections = isForgiven ? 1 : tracked.ejections + 1;
	return {tracked: phases.startEjection(tracked, ejections, context), effects: []};
}

/**
Takes a re-admission.
*/
export function readmit(tracked: states.Tracked, now: number): phases.Change {
	if (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested') {
		return {tracked, effects: []};
	}

	return {
		tracked: {...tracked, phase: {kind: 'serving', since: now, heldUntil: now}, standing: states.EMPTY_STANDING},
		effects: tracked.phase.kind === 'ejected' ? [] : [{kind: 'end-trial', upstream: tracked.upstream.id}],
	};
}

/**
Takes the refusal of an ejection: this host prefers other upstreams for a while, and asks again after it.
*/
export function refuse(tracked: states.Tracked, until: number): phases.Change {
	if (tracked.phase.kind !== 'requested') {
		return {tracked, effects: []};
	}

	return {
		tracked: {...tracked, phase: {kind: 'serving', since: tracked.phase.since, heldUntil: until}},
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
export function discount(tracked: states.Tracked, count: number): states.Tracked {
	const withdraw = (statistics: symptoms.Statistics): symptoms.Statistics => ({
		...statistics,
		errors: symptoms.withdrawFailures(statistics.errors, 'errors', count, tracked.normalRates.errors),
	});
	const {pooled, own, outside} = tracked.standing;
	return {
		...tracked,
		windows: windows.discountFailures(tracked.windows, count),
		standing: {
			pooled: withdraw(pooled),
			own: withdraw(own),
			outside: new Map(outside.entries().map(([group, statistics]) => [group, withdraw(statistics)])),
		},
	};
}
