/**
Detection of sick upstreams of one service, on each host that carries it: a pure state machine.

Every host gets the summaries of all, so all come to about the same conclusion; each may ask the grantor, which grants an
ejection once and keeps the floor for the service as a whole. Without a grantor nothing is ejected: the hosts only prefer
other upstreams.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import * as grants from './grants.ts';
import * as measuring from './measuring.ts';
import * as operatingPoints from './operating-points.ts';
import * as phases from './phases.ts';
import type * as events from './events.ts';
import * as groups from './groups.ts';
import * as states from './state.ts';
import * as steering from './steering.ts';

type Handlers = {
	readonly [Kind in events.Event['kind']]: (
		state: states.Detection,
		event: Extract<events.Event, {kind: Kind}>,
		circumstances: core.Circumstances,
	) => events.Transition;
};

const HANDLERS: Handlers = {
	summary(state, {summary}) {
		const before = state.pending.findLast(({host}) => host === summary.host) ?? state.received.get(summary.host);
		// A summary that comes again, or late, would count its requests twice.
		const isKnown = before?.epoch === summary.epoch && before.sequence >= summary.sequence;
		return settle(isKnown ? state : {...state, pending: [...state.pending, summary]});
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
		grants.eject(tracked, {...circumstances, point: operatingPoints.OPERATING_POINTS[state.operatingPoint]})),
	readmitted: (state, event, {now}) => changeTracked(state, event.upstream, tracked => grants.readmit(tracked, now)),
	refused: (state, {upstream}, {now}) => changeTracked(state, upstream, tracked =>
		grants.refuse(tracked, now + operatingPoints.OPERATING_POINTS[state.operatingPoint].denialMilliseconds)),
	'health-hint': (state, {upstream, isHealthy}) => changeTracked(state, upstream, tracked => ({
		tracked: {...tracked, isReportedHealthy: isHealthy},
		effects: [],
	})),
	discount: (state, {upstream, count}) => changeTracked(state, upstream, tracked => ({
		tracked: grants.discount(tracked, count),
		effects: [],
	})),
	configured: (state, {operatingPoint}) => settle({...state, operatingPoint}),
};

/**
Advances detection by one event.
*/
export const stepDetection: core.Step<states.Detection, events.Event, events.Effect> = (state, event, circumstances) => {
	const handler = HANDLERS[event.kind] as (
		state: states.Detection,
		event: events.Event,
		circumstances: core.Circumstances,
	) => events.Transition;
	return handler(state, event, circumstances);
};

function settle(state: states.Detection): events.Transition {
	return {state, effects: []};
}

function changeTracked(
	state: states.Detection,
	id: core.UpstreamId,
	change: (tracked: states.Tracked) => phases.Change,
): events.Transition {
	const before = state.upstreams.get(id);
	if (before === undefined) {
		return settle(state);
	}

	const {tracked, effects} = change(before);
	return {state: {...state, upstreams: new Map(state.upstreams).set(id, tracked)}, effects};
}

function tick(state: states.Detection, {now, random}: core.Circumstances): events.Transition {
	const point = operatingPoints.OPERATING_POINTS[state.operatingPoint];
	const known = receive(state, now);
	const measurement = measuring.measure(known, now);
	const suspects = getSuspects(measurement, point);
	const isShared = suspects.length > getSharedLimit(measurement.upstreams);
	const effects: events.Effect[] = isShared ? [{kind: 'report-shared', suspects}] : [];
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
			...known,
			upstreams: steered.upstreams,
			pending: [],
			tickedAt: now,
			reported: {isShared, isSelf: steered.isSelfFault},
		},
		effects: orderEffects(dropReported([...effects, ...steered.effects], state.reported), upstreams),
	};
}

// Reports go to operators: one when it begins, not one for each tick.
function dropReported(
	effects: readonly events.Effect[],
	{isShared, isSelf}: states.Detection['reported'],
): readonly events.Effect[] {
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
	effects: readonly events.Effect[],
	upstreams: ReadonlyMap<core.UpstreamId, states.Tracked>,
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

// Notes the hosts of the pending summaries, and forgets those that are silent: a host that left must not stay in the
// groups, it would make a group look as if it had hosts outside. Groups are formed anew only when the hosts change.
function receive(state: states.Detection, now: number): states.Detection {
	const received = new Map(state.received);
	let isChanged = false;
	for (const {host, failureDomain, epoch, sequence} of state.pending) {
		isChanged ||= received.get(host)?.failureDomain !== failureDomain;
		received.set(host, {
			failureDomain, epoch, sequence, at: now,
		});
	}

	for (const [host, {at}] of received) {
		if (!(now - at > constants.SILENCE_MILLISECONDS)) {
			continue;
		}

		received.delete(host);
		isChanged = true;
	}

	const domains = (): groups.Hosts => new Map(received.entries().map(([host, {failureDomain}]) => [host, failureDomain]));
	return {...state, received, membership: isChanged ? groups.getMembership(domains()) : state.membership};
}
