/**
Weighs each upstream against its peers: adds the samples of a tick to the evidence of all hosts, of this host alone, and
of the hosts outside each group.
*/
import type * as core from 'wagtailroute-core';
import * as baselines from './baselines.ts';
import * as constants from './constants.ts';
import type * as groups from './groups.ts';
import type * as operatingPoints from './operating-points.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Samples of one upstream by the host that saw them.
*/
export type SamplesByHost = ReadonlyMap<core.HostId, symptoms.Samples>;

/**
What the weighing may know besides the upstreams.
*/
export type Context = {
	readonly host: core.HostId;
	readonly point: operatingPoints.OperatingPoint;
	readonly samples: ReadonlyMap<core.UpstreamId, SamplesByHost>;
	readonly membership: groups.Membership;
	readonly now: number;
};

/**
Adds the samples of a tick to the evidence.
*/
export function weigh(
	upstreams: ReadonlyMap<core.UpstreamId, states.Tracked>,
	context: Context,
): ReadonlyMap<core.UpstreamId, states.Tracked> {
	const peers = states.getPeers(upstreams, context.now);
	const rateBaselines = symptoms.mapSymptoms(symptom => baselines.createRateBaseline(peers, symptom));
	const outsideGroups = context.membership.groups;
	return states.mapTracked(upstreams, tracked => {
		const byHost = context.samples.get(tracked.upstream.id);
		if (byHost === undefined || byHost.size === 0) {
			return tracked;
		}

		const normalRates = symptoms.mapSymptoms(symptom => Math.max(
			context.point.normalRates[symptom],
			context.point.tolerance * rateBaselines[symptom](tracked.upstream.id),
		));
		return {
			...tracked,
			normalRates,
			standing: addToStanding(tracked, byHost, {context, normalRates, outsideGroups}),
		};
	});
}

type Weights = {
	readonly context: Context;
	readonly normalRates: states.Tracked['normalRates'];
	readonly outsideGroups: readonly groups.Group[];
};

function addToStanding(tracked: states.Tracked, byHost: SamplesByHost, weights: Weights): states.Standing {
	const {context, outsideGroups} = weights;
	const {pooled, own, outside} = tracked.standing;
	const isCold = states.isRamping(tracked, context.now);
	const add = (statistics: symptoms.Statistics, added: symptoms.Samples): symptoms.Statistics =>
		addSamples(statistics, added, weights, isCold);
	const all = symptoms.sumSamples(byHost.values());
	const nextPooled = add(pooled, all);
	const nextOwn = add(own, byHost.get(context.host) ?? symptoms.EMPTY_SAMPLES);
	// Most steps of most upstreams: nothing speaks against it. Without evidence of all hosts together, that of a part of them
	// asks for nothing, and it gathers anew with that of all.
	if (symptoms.isEmpty(nextPooled)) {
		return symptoms.isEmpty(nextOwn) ? states.EMPTY_STANDING : {...states.EMPTY_STANDING, own: nextOwn};
	}

	const byGroup = sumByGroup(byHost, context.membership);
	return {
		pooled: nextPooled,
		own: nextOwn,
		outside: new Map(outsideGroups.map(group => {
			const inside = byGroup.get(group);
			const added = inside === undefined ? all : symptoms.subtractSamples(all, inside);
			return [group, add(outside.get(group) ?? symptoms.EMPTY_STATISTICS, added)];
		})),
	};
}

function sumByGroup(byHost: SamplesByHost, membership: groups.Membership): ReadonlyMap<groups.Group, symptoms.Samples> {
	const sums = new Map<groups.Group, symptoms.Samples>();
	for (const [host, samples] of byHost) {
		for (const group of membership.byHost.get(host) ?? []) {
			const before = sums.get(group);
			sums.set(group, before === undefined ? samples : symptoms.sumSamples([before, samples]));
		}
	}

	return sums;
}

function addSamples(statistics: symptoms.Statistics, added: symptoms.Samples, weights: Weights, isCold: boolean): symptoms.Statistics {
	const errors = addSymptom(statistics, added, 'errors', {weights, isCold});
	const slowness = addSymptom(statistics, added, 'slowness', {weights, isCold});
	const stalls = addSymptom(statistics, added, 'stalls', {weights, isCold});
	const isSame = errors === statistics.errors && slowness === statistics.slowness && stalls === statistics.stalls;
	return isSame ? statistics : {errors, slowness, stalls};
}

function addSymptom(
	statistics: symptoms.Statistics,
	added: symptoms.Samples,
	symptom: symptoms.Symptom,
	{weights, isCold}: {readonly weights: Weights; readonly isCold: boolean},
): symptoms.Evidence {
	const {context: {point}, normalRates} = weights;
	const next = symptoms.addSample(statistics[symptom], symptom, {
		sample: added[symptom],
		normalRate: normalRates[symptom],
		gain: point.threshold * point.gainShare,
		ceiling: point.threshold * constants.CEILING_RATIO,
	});
	return isCold ? next.map((value, index) => index === next.length - 1 ? value : 0) : next;
}
