/**
Detection of sick upstreams of one service, on each host that carries it: a pure state machine.

Every host gets the summaries of all, so all come to about the same conclusion; each may ask the grantor, which grants an
ejection once and keeps the floor for the service as a whole. Without a grantor nothing is ejected: the hosts only prefer
other upstreams.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import * as measuring from './measuring.ts';
import * as operatingPoints from './operating-points.ts';
import * as phases from './phases.ts';
import * as states from './state.ts';
import * as steering from './steering.ts';
import * as symptoms from './symptoms.ts';
import * as windows from './windows.ts';

type Handlers = {
	readonly [Kind in states.Event['kind']]: (
		state: states.Detection,
		event: Extract<states.Event, {kind: Kind}>,
		circumstances: core.Circumstances,
	) => states.Transition;
};

const HANDLERS: Handlers = {
	summary(state, {summary}, {now}) {
		const before = state.received.get(summary.host);
		// A summary that comes again, or late, would count its requests twice.
		if (before?.epoch === summary.epoch && before.sequence >= summary.sequence) {
			return settle(state);
		}

		const {host, failureDomain, epoch, sequence} = summary;
		const reception = {
			failureDomain,
			epoch,
			sequence,
			at: now,
		};
		return settle({
			...state,
			pending: [...state.pending, summary],
			received: new Map(state.received).set(host, reception),
		});
	},
	tick: (state, _event, circumstances) => tick(state, circumstances),
	'upstreams-changed'(state, {upstreams}, {now}) {
		const next = new Map(upstreams.map(upstream => {
			const before = state.upstreams.get(upstream.id);
			const tracked = before === undefined ? states.createTracked(upstream, now) : {...before, upstream};
			return [upstream.id, tracked];
		}));
		return settle({...state, upstreams: next});
	},
	ejected: (state, event, circumstances) => changeTracked(state, event.upstream, tracked =>
		eject(tracked, {...circumstances, point: operatingPoints.OPERATING_POINTS[state.operatingPoint]})),
	readmitted: (state, event, {now}) => changeTracked(state, event.upstream, tracked => readmit(tracked, now)),
	refused: refuse,
	'health-hint': (state, {upstream, isHealthy}) => changeTracked(state, upstream, tracked => ({
		tracked: {...tracked, isReportedHealthy: isHealthy},
		effects: [],
	})),
	discount: (state, {upstream, count}) => changeTracked(state, upstream, tracked => ({
		tracked: discount(tracked, count),
		effects: [],
	})),
	configured: (state, {operatingPoint}) => settle({...state, operatingPoint}),
};

/**
Advances detection by one event.
*/
export const stepDetection: core.Step<states.Detection, states.Event, states.Effect> = (state, event, circumstances) => {
	const handler = HANDLERS[event.kind] as (
		state: states.Detection,
		event: states.Event,
		circumstances: core.Circumstances,
	) => states.Transition;
	return handler(state, event, circumstances);
};

function settle(state: states.Detection): states.Transition {
	return {state, effects: []};
}

function changeTracked(
	state: states.Detection,
	id: core.UpstreamId,
	change: (tracked: states.Tracked) => phases.Change,
): states.Transition {
	const before = state.upstreams.get(id);
	if (before === undefined) {
		return settle(state);
	}

	const {tracked, effects} = change(before);
	return {state: {...state, upstreams: new Map(state.upstreams).set(id, tracked)}, effects};
}

function tick(state: states.Detection, {now, random}: core.Circumstances): states.Transition {
	const point = operatingPoints.OPERATING_POINTS[state.operatingPoint];
	const measurement = measuring.measure(state, now);
	const suspects = getSuspects(measurement, point);
	const isShared = suspects.length > getSharedLimit(measurement.upstreams);
	const effects: states.Effect[] = isShared ? [{kind: 'report-shared', suspects}] : [];
	const upstreams = new Map<core.UpstreamId, states.Tracked>();
	for (const [id, before] of measurement.upstreams) {
		const change = phases.advancePhase(before, {
			now,
			random,
			point,
			measurement,
			isShared,
		});
		upstreams.set(id, change.tracked);
		effects.push(...change.effects);
	}

	const {host} = state;
	const steered = steering.steer(upstreams, {
		host,
		point,
		membership: measurement.membership,
		now,
	});
	return {
		state: {
			...state,
			upstreams: steered.upstreams,
			pending: [],
			received: forgetSilentHosts(state.received, now),
			tickedAt: now,
			reported: {isShared, isSelf: steered.isSelfFault},
		},
		effects: orderEffects(dropReported([...effects, ...steered.effects], state.reported), upstreams),
	};
}

// Reports go to operators: one when it begins, not one for each tick.
function dropReported(
	effects: readonly states.Effect[],
	{isShared, isSelf}: states.Detection['reported'],
): readonly states.Effect[] {
	return effects.filter(({kind}) => !(kind === 'report-shared' && isShared) && !(kind === 'report-self' && isSelf));
}

function getSuspects(
	{upstreams, membership}: measuring.Measurement,
	point: operatingPoints.OperatingPoint,
): core.UpstreamId[] {
	return upstreams.values()
		.filter(tracked => tracked.phase.kind === 'serving' && findings.isSuspect(tracked, point, membership))
		.map(({upstream}) => upstream.id)
		.toArray();
}

function getSharedLimit(upstreams: ReadonlyMap<core.UpstreamId, states.Tracked>): number {
	const serving = upstreams.values().filter(({upstream}) => upstream.state === 'serving').toArray();
	return Math.max(1, Math.floor(serving.length * constants.SHARED_SHARE));
}

// When the floor leaves room for some of the requests only, those with the most evidence should come first, and among
// equals those whose health endpoint agrees.
function orderEffects(
	effects: readonly states.Effect[],
	upstreams: ReadonlyMap<core.UpstreamId, states.Tracked>,
): readonly states.Effect[] {
	const getRank = (effect: states.Effect): number => {
		if (effect.kind !== 'request-ejection') {
			return Infinity;
		}

		const isReportedHealthy = upstreams.get(effect.upstream)?.isReportedHealthy ?? true;
		return Math.round(effect.finding.evidence) + (isReportedHealthy ? 0 : 0.5);
	};

	return effects.toSorted((left, right) => {
		const leftRank = getRank(left);
		const rightRank = getRank(right);
		return leftRank === rightRank ? 0 : rightRank - leftRank;
	});
}

// A host that left must not stay in the groups: it would make a group look as if it had hosts outside.
function forgetSilentHosts(received: states.Detection['received'], now: number): states.Detection['received'] {
	const isSilent = ({at}: states.Reception): boolean => now - at > constants.SILENCE_MILLISECONDS;
	return received.values().some(reception => isSilent(reception))
		? new Map([...received].filter(([, reception]) => !isSilent(reception)))
		: received;
}

function eject(
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

function readmit(tracked: states.Tracked, now: number): phases.Change {
	if (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested') {
		return {tracked, effects: []};
	}

	return {
		tracked: {...tracked, phase: {kind: 'serving', since: now, heldUntil: now}, standing: states.EMPTY_STANDING},
		effects: tracked.phase.kind === 'ejected' ? [] : [{kind: 'end-trial', upstream: tracked.upstream.id}],
	};
}

function refuse(
	state: states.Detection,
	event: Extract<states.Event, {kind: 'refused'}>,
	{now}: core.Circumstances,
): states.Transition {
	const {denialMilliseconds} = operatingPoints.OPERATING_POINTS[state.operatingPoint];
	const until = now + denialMilliseconds;
	return changeTracked(state, event.upstream, tracked => {
		if (tracked.phase.kind !== 'requested') {
			return {tracked, effects: []};
		}

		return {
			tracked: {...tracked, phase: {kind: 'serving', since: tracked.phase.since, heldUntil: until}},
			effects: [{
				kind: 'steer-away',
				upstream: event.upstream,
				until,
				cause: 'refused',
			}],
		};
	});
}

// Withdraws failures that a request caused and not the upstream.
function discount(tracked: states.Tracked, count: number): states.Tracked {
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
