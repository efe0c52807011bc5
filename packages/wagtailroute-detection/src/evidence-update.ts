/**
Update of the evidence: compares each upstream with its peers, and adds the samples of a tick to the evidence pooled over
all hosts, that of this host alone, and that of the hosts outside each group.
*/
import type * as core from 'wagtailroute-core';
import * as baselines from './baselines.ts';
import * as constants from './constants.ts';
import type * as groups from './groups.ts';
import type * as operatingPoints from './operating-points.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Samples of one upstream by the host that reported them.
*/
export type SamplesByHost = ReadonlyMap<core.HostId, symptoms.Samples>;

/**
Input of the update besides the upstreams.
*/
export type UpdateContext = {
	readonly host: core.HostId;
	readonly point: operatingPoints.OperatingPoint;
	readonly samples: ReadonlyMap<core.UpstreamId, SamplesByHost>;
	readonly membership: groups.GroupMembership;
	readonly now: number;
};

/**
Adds the samples of a tick to the evidence.
*/
export function updateEvidence(
	upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>,
	context: UpdateContext,
): ReadonlyMap<core.UpstreamId, states.TrackedUpstream> {
	const peers = states.getPeerWindows(upstreams, context.now);
	const rateBaselines = symptoms.mapSymptoms(symptom => baselines.createRateBaseline(peers, symptom));
	const outsideGroups = context.membership.groups;
	return states.mapUpstreams(upstreams, tracked => {
		const byHost = context.samples.get(tracked.upstream.id);
		if (byHost === undefined || byHost.size === 0) {
			return tracked;
		}

		const normalRates = symptoms.mapSymptoms(symptom => Math.max(
			context.point.minNormalRates[symptom],
			context.point.peerRateFactor * rateBaselines[symptom](tracked.upstream.id),
		));
		return {
			...tracked,
			normalRates,
			evidence: addToEvidence(tracked, byHost, {context, normalRates, outsideGroups}),
		};
	});
}

type UpdateOptions = {
	readonly context: UpdateContext;
	readonly normalRates: states.TrackedUpstream['normalRates'];
	readonly outsideGroups: readonly groups.HostGroup[];
};

function addToEvidence(tracked: states.TrackedUpstream, byHost: SamplesByHost, options: UpdateOptions): states.UpstreamEvidence {
	const {context, outsideGroups} = options;
	const {pooled, own, outside} = tracked.evidence;
	const isCold = states.isRamping(tracked, context.now);
	const add = (evidenceBySymptom: symptoms.EvidenceBySymptom, added: symptoms.Samples): symptoms.EvidenceBySymptom =>
		addSamples(evidenceBySymptom, added, options, isCold);
	const all = symptoms.sumSamples(byHost.values());
	const nextPooled = add(pooled, all);
	const nextOwn = add(own, byHost.get(context.host) ?? symptoms.EMPTY_SAMPLES);
	// The usual case: no evidence against the upstream. Without pooled evidence, that of some of the hosts has no
	// consequence, so it is dropped and accumulates anew together with the pooled evidence.
	if (symptoms.isEmpty(nextPooled)) {
		return symptoms.isEmpty(nextOwn) ? states.EMPTY_UPSTREAM_EVIDENCE : {...states.EMPTY_UPSTREAM_EVIDENCE, own: nextOwn};
	}

	const byGroup = sumByGroup(byHost, context.membership);
	return {
		pooled: nextPooled,
		own: nextOwn,
		outside: new Map(outsideGroups.map(group => {
			const inside = byGroup.get(group);
			const added = inside === undefined ? all : symptoms.subtractSamples(all, inside);
			return [group, add(outside.get(group) ?? symptoms.EMPTY_EVIDENCE, added)];
		})),
	};
}

function sumByGroup(byHost: SamplesByHost, membership: groups.GroupMembership): ReadonlyMap<groups.HostGroup, symptoms.Samples> {
	const sums = new Map<groups.HostGroup, symptoms.Samples>();
	for (const [host, samples] of byHost) {
		for (const group of membership.byHost.get(host) ?? []) {
			const before = sums.get(group);
			sums.set(group, before === undefined ? samples : symptoms.sumSamples([before, samples]));
		}
	}

	return sums;
}

function addSamples(evidenceBySymptom: symptoms.EvidenceBySymptom, added: symptoms.Samples, options: UpdateOptions, isCold: boolean): symptoms.EvidenceBySymptom {
	const errors = addSymptom(evidenceBySymptom, added, 'errors', {options, isCold});
	const slowness = addSymptom(evidenceBySymptom, added, 'slowness', {options, isCold});
	const stalls = addSymptom(evidenceBySymptom, added, 'stalls', {options, isCold});
	const isSame = errors === evidenceBySymptom.errors && slowness === evidenceBySymptom.slowness && stalls === evidenceBySymptom.stalls;
	return isSame ? evidenceBySymptom : {errors, slowness, stalls};
}

function addSymptom(
	evidenceBySymptom: symptoms.EvidenceBySymptom,
	added: symptoms.Samples,
	symptom: symptoms.Symptom,
	{options, isCold}: {readonly options: UpdateOptions; readonly isCold: boolean},
): symptoms.SymptomEvidence {
	const {context: {point}, normalRates} = options;
	const next = symptoms.addSample(evidenceBySymptom[symptom], symptom, {
		sample: added[symptom],
		normalRate: normalRates[symptom],
		maxGain: point.threshold * point.maxGainFraction,
		maxEvidence: point.threshold * constants.MAX_EVIDENCE_RATIO,
	});
	return isCold ? next.map((value, index) => index === next.length - 1 ? value : 0) : next;
}
