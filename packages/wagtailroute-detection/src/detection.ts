/**
Detection of sick upstreams of one service: a pure state machine on each host that carries the service.

Every host receives the summaries of all, so all hosts reach about the same conclusions. Each may request an ejection from
the grantor, which grants it once and enforces the floor for the service as a whole. Without a grantor no upstream is
ejected: the hosts only prefer other upstreams.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import * as grants from './grants.ts';
import * as measurements from './measurement.ts';
import * as operatingPoints from './operating-points.ts';
import * as phases from './phases.ts';
import type * as events from './events.ts';
import * as groups from './groups.ts';
import * as states from './state.ts';
import * as steering from './steering.ts';

type Handlers = {
	readonly [Kind in events.Event['kind']]: (
		state: states.DetectionState,
		event: Extract<events.Event, {kind: Kind}>,
		circumstances: core.Circumstances,
	) => events.Transition;
};

const HANDLERS: Handlers = {
	summary(state, {summary}) {
		const before = state.pending.findLast(({host}) => host === summary.host) ?? state.lastSummaries.get(summary.host);
		// A summary that arrives twice must not count its requests twice. One that a later summary of the host has overtaken is
		// dropped with it.
		const isKnown = before?.epoch === summary.epoch && before.sequence >= summary.sequence;
		return createTransition(isKnown ? state : {...state, pending: [...state.pending, summary]});
	},
	tick: (state, _event, circumstances) => tick(state, circumstances),
	'upstreams-changed'(state, {upstreams}, {now}) {
		const next = new Map(upstreams.map(upstream => {
			const before = state.upstreams.get(upstream.id);
			const tracked = before === undefined ? states.createTrackedUpstream(upstream, now) : {...before, upstream};
			return [upstream.id, tracked];
		}));
		return createTransition({...state, upstreams: next});
	},
	ejected: (state, event, circumstances) => changeUpstream(state, event.upstream, tracked =>
		grants.applyEjection(tracked, {...circumstances, point: operatingPoints.OPERATING_POINTS[state.operatingPoint]})),
	readmitted: (state, event, {now}) => changeUpstream(state, event.upstream, tracked => grants.applyReadmission(tracked, now)),
	refused: (state, {upstream}, {now}) => changeUpstream(state, upstream, tracked =>
		grants.applyRefusal(tracked, now + operatingPoints.OPERATING_POINTS[state.operatingPoint].refusalBackoffMilliseconds)),
	'health-hint': (state, {upstream, isHealthy}) => changeUpstream(state, upstream, tracked => ({
		tracked: {...tracked, isReportedHealthy: isHealthy},
		effects: [],
	})),
	discount: (state, {upstream, count}) => changeUpstream(state, upstream, tracked => ({
		tracked: grants.withdrawUpstreamFailures(tracked, count),
		effects: [],
	})),
	configured: (state, {operatingPoint}) => createTransition({...state, operatingPoint}),
};

/**
Applies one event to the state of detection.
*/
export const stepDetection: core.Step<states.DetectionState, events.Event, events.Effect> = (state, event, circumstances) => {
	const handler = HANDLERS[event.kind] as (
		state: states.DetectionState,
		event: events.Event,
		circumstances: core.Circumstances,
	) => events.Transition;
	return handler(state, event, circumstances);
};

function createTransition(state: states.DetectionState): events.Transition {
	return {state, effects: []};
}

function changeUpstream(
	state: states.DetectionState,
	id: core.UpstreamId,
	change: (tracked: states.TrackedUpstream) => phases.PhaseChange,
): events.Transition {
	const before = state.upstreams.get(id);
	if (before === undefined) {
		return createTransition(state);
	}

	const {tracked, effects} = change(before);
	return {state: {...state, upstreams: new Map(state.upstreams).set(id, tracked)}, effects};
}

function tick(state: states.DetectionState, {now, random}: core.Circumstances): events.Transition {
	const point = operatingPoints.OPERATING_POINTS[state.operatingPoint];
	const withHosts = recordReceivedSummaries(state, now);
	const measurement = measurements.measure(withHosts, now);
	const suspects = getSuspects(measurement, point);
	const isSharedCause = suspects.length > getMaxSuspects(measurement.upstreams);
	const effects: events.Effect[] = isSharedCause ? [{kind: 'report-shared', suspects}] : [];
	const upstreams = new Map<core.UpstreamId, states.TrackedUpstream>();
	for (const [id, before] of measurement.upstreams) {
		const change = phases.advancePhase(before, {
			now,
			random,
			point,
			measurement,
			isSharedCause,
		});
		upstreams.set(id, change.tracked);
		effects.push(...change.effects);
	}

	const {host} = state;
	const steeringChange = steering.updateSteering(upstreams, {
		host,
		point,
		membership: measurement.membership,
		now,
	});
	return {
		state: {
			...withHosts,
			upstreams: steeringChange.upstreams,
			pending: [],
			lastTickAt: now,
			reported: {isSharedCause, isSelfFault: steeringChange.isSelfFault},
		},
		effects: orderEffects(dropRepeatedReports([...effects, ...steeringChange.effects], state.reported), upstreams),
	};
}

// A condition is reported to operators when it begins, not at each tick.
function dropRepeatedReports(
	effects: readonly events.Effect[],
	{isSharedCause, isSelfFault}: states.DetectionState['reported'],
): readonly events.Effect[] {
	return effects.filter(({kind}) => !(kind === 'report-shared' && isSharedCause) && !(kind === 'report-self' && isSelfFault));
}

function getSuspects(
	{upstreams, membership}: measurements.Measurement,
	point: operatingPoints.OperatingPoint,
): core.UpstreamId[] {
	return upstreams.values()
		.filter(tracked => tracked.phase.kind === 'serving' && findings.isSuspect(tracked, point, membership))
		.map(({upstream}) => upstream.id)
		.toArray();
}

function getMaxSuspects(upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>): number {
	const serving = upstreams.values().filter(({upstream}) => upstream.state === 'serving').toArray();
	return Math.max(1, Math.floor(serving.length * constants.SHARED_CAUSE_FRACTION));
}

// When the floor allows only some of the requested ejections, those with the most evidence should come first, and among
// equals those whose health endpoint reports a fault.
function orderEffects(
	effects: readonly events.Effect[],
	upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>,
): readonly events.Effect[] {
	const getRank = (effect: events.Effect): number => {
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

// Records the hosts of the pending summaries, and drops the silent ones: with a host that left, a group might seem to have
// hosts outside it. Groups are computed anew only when the hosts change.
function recordReceivedSummaries(state: states.DetectionState, now: number): states.DetectionState {
	const lastSummaries = new Map(state.lastSummaries);
	let isChanged = false;
	for (const {host, failureDomain, epoch, sequence} of state.pending) {
		isChanged ||= lastSummaries.get(host)?.failureDomain !== failureDomain;
		lastSummaries.set(host, {
			failureDomain, epoch, sequence, receivedAt: now,
		});
	}

	for (const [host, {receivedAt}] of lastSummaries) {
		if (!(now - receivedAt > constants.SILENT_HOST_MILLISECONDS)) {
			continue;
		}

		lastSummaries.delete(host);
		isChanged = true;
	}

	const getFailureDomains = (): groups.FailureDomains => new Map(lastSummaries.entries().map(([host, {failureDomain}]) => [host, failureDomain]));
	return {...state, lastSummaries, membership: isChanged ? groups.createMembership(getFailureDomains()) : state.membership};
}
