/**
First half of a tick: adds the pending summaries to the windows and to the evidence against each upstream.
*/
import type * as core from 'wagtailroute-core';
import * as baselines from './baselines.ts';
import type * as groups from './groups.ts';
import * as latencies from './latencies.ts';
import * as observations from './observations.ts';
import * as operatingPoints from './operating-points.ts';
import * as states from './state.ts';
import * as symptoms from './symptoms.ts';
import * as evidenceUpdates from './evidence-update.ts';
import * as windows from './windows.ts';

/**
Result of the first half of a tick: the updated upstreams, and the peers' median latency in milliseconds for each.
*/
export type Measurement = {
	readonly upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>;
	readonly getPeersMedian: (upstream: core.UpstreamId) => number;
	/**
	Returns the samples of the upstream in this tick, added up over all hosts.
	*/
	readonly getSamples: (upstream: core.UpstreamId) => symptoms.Samples;
	readonly membership: groups.GroupMembership;
};

/**
Adds the pending summaries to the record of each upstream.
*/
export function measure(state: states.DetectionState, now: number): Measurement {
	const elapsedMilliseconds = now - (state.lastTickAt ?? now);
	const observed = observations.collectObservations(state.pending);
	const withLatencies = states.mapUpstreams(state.upstreams, tracked => ({
		...tracked,
		windows: windows.addLatencies(
			tracked.windows,
			states.isRamping(tracked, now)
				? []
				: observations.mergeLatencies(observed.get(tracked.upstream.id)),
			elapsedMilliseconds,
		),
	}));
	const baseline = baselines.createLatencyBaseline(states.getPeerWindows(withLatencies, now));
	const samples = new Map(withLatencies.values().map((tracked): [core.UpstreamId, evidenceUpdates.SamplesByHost] => {
		const {id} = tracked.upstream;
		const byHost = observed.get(id);
		const getLatencyLimits = () => states.isRamping(tracked, now) ? undefined : baseline.getLimits(id);
		return [id, byHost === undefined ? NO_SAMPLES : classify(byHost, getLatencyLimits(), baseline.isServiceSlow)];
	}));
	const withSamples = states.mapUpstreams(withLatencies, tracked => ({
		...tracked,
		windows: windows.addSamples(tracked.windows, samples.get(tracked.upstream.id)!, elapsedMilliseconds),
	}));
	const {membership} = state;
	return {
		upstreams: evidenceUpdates.updateEvidence(withSamples, {
			host: state.host,
			point: operatingPoints.OPERATING_POINTS[state.operatingPoint],
			samples,
			membership,
			now,
		}),
		getPeersMedian: id => latencies.getBucketUpperBound(baseline.getLimits(id)?.median ?? 0),
		getSamples: id => symptoms.sumSamples(samples.get(id)?.values() ?? []),
		membership,
	};
}

const NO_SAMPLES: evidenceUpdates.SamplesByHost = new Map();

function classify(
	byHost: ReadonlyMap<core.HostId, observations.Observation>,
	limits: baselines.LatencyLimits | undefined,
	isServiceSlow: boolean,
): evidenceUpdates.SamplesByHost {
	const samples = new Map<core.HostId, symptoms.Samples>();
	for (const [host, observation] of byHost) {
		samples.set(host, classifyObservation(observation, limits, isServiceSlow));
	}

	return samples;
}

function classifyObservation(
	{successes, failures, timeouts, latencies: histogram}: observations.Observation,
	limits: baselines.LatencyLimits | undefined,
	isServiceSlow: boolean,
): symptoms.Samples {
	// When the whole service is slow, timeouts come in bursts at one upstream after the other: the load causes them.
	const bad = isServiceSlow ? failures : failures + timeouts;
	const errors = {count: successes + bad, bad};
	if (limits === undefined) {
		return {...symptoms.EMPTY_SAMPLES, errors};
	}

	const {count, above} = latencies.countSparseSamples(histogram, limits.slow);
	return {
		errors,
		slowness: {count, bad: above},
		stalls: {count, bad: above === 0 ? 0 : latencies.countSparseSamples(histogram, limits.stalled).above},
	};
}
