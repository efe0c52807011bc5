/**
Conclusions from the evidence about one upstream: suspects, findings and path faults.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as groups from './groups.ts';
import * as latencies from './latencies.ts';
import type * as measurements from './measurement.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as events from './events.ts';
import type * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Returns the evidence in nats that an upstream is sick for hosts of all groups: the pooled evidence, bounded by that of the
hosts outside each group. A group is ignored while the hosts outside it send too few requests.
*/
export function getConfirmedEvidence(
	{evidence, windows}: states.TrackedUpstream,
	symptom: symptoms.Symptom,
	membership: groups.GroupMembership,
): number {
	let confirmed = symptoms.getStrongestEvidence(evidence.pooled[symptom]);
	if (confirmed === 0) {
		return 0;
	}

	for (const [group, outsideEvidence] of evidence.outside) {
		const requests = countRequests(windows.requests, host => groups.isOutside(membership, host, group));
		if (requests >= constants.MIN_OUTSIDE_REQUESTS) {
			confirmed = Math.min(confirmed, symptoms.getStrongestEvidence(outsideEvidence[symptom]) / constants.MIN_OUTSIDE_EVIDENCE_FRACTION);
		}
	}

	return confirmed;
}

/**
Returns whether there is enough evidence for the upstream to count as a suspect, half that of an ejection.
*/
export function isSuspect(
	tracked: states.TrackedUpstream,
	point: operatingPoints.OperatingPoint,
	membership: groups.GroupMembership,
): boolean {
	const minEvidence = point.threshold * constants.SUSPECT_EVIDENCE_FRACTION;
	return symptoms.SYMPTOMS.some(symptom =>
		symptoms.getStrongestEvidence(tracked.evidence.pooled[symptom]) >= minEvidence
		&& getConfirmedEvidence(tracked, symptom, membership) >= minEvidence);
}

/**
Returns the finding that justifies an ejection, if any symptom does.
*/
export function getFinding(
	tracked: states.TrackedUpstream,
	point: operatingPoints.OperatingPoint,
	measurement: measurements.Measurement,
): events.Finding | undefined {
	const symptom = symptoms.SYMPTOMS.find(candidate =>
		symptoms.getStrongestEvidence(tracked.evidence.pooled[candidate]) >= point.threshold
		&& getConfirmedEvidence(tracked, candidate, measurement.membership) >= point.threshold
		&& isShortRateElevated(tracked, candidate)
		&& isSlowdownLargeEnough(tracked, candidate, point, measurement));
	return symptom === undefined ? undefined : createFinding(tracked, symptom, point, measurement);
}

// A slow path is left to the selection of upstreams, which takes this host's own latencies into account.
const PATH_SYMPTOMS: readonly symptoms.Symptom[] = ['errors', 'stalls'];

/**
Returns whether the latest requests still show the symptom. Evidence of slowness outlasts the pause of a healthy server by
about a second, and without this check the server would be ejected after its recovery.
*/
export function isInstantRateElevated({windows, normalRates}: states.TrackedUpstream, symptom: symptoms.Symptom): boolean {
	if (symptom === 'errors') {
		return true;
	}

	const minRate = Math.min(constants.MAX_REQUIRED_INSTANT_RATE, normalRates[symptom] * constants.INSTANT_RATE_RATIO);
	const {count, bad} = windows.instant[symptom];
	return bad >= count * minRate;
}

/**
Returns whether this host alone can't reach the upstream while the others do.
*/
export function isPathFault(
	{evidence, windows}: states.TrackedUpstream,
	host: core.HostId,
	point: operatingPoints.OperatingPoint,
	membership: groups.GroupMembership,
): boolean {
	return PATH_SYMPTOMS.some(symptom => {
		// A broken path fails nearly all requests, so only the last alternative counts. With a milder one, each host would
		// steer away from a sick upstream by itself, and no evidence would be left to eject it.
		if (evidence.own[symptom].at(-1)! < point.steeringThreshold) {
			return false;
		}

		const otherRequests = countRequests(windows.requests, other => other !== host);
		const outside = membership.groups
			.filter(group => !groups.isOutside(membership, host, group))
			.map(group => symptoms.getStrongestEvidence((evidence.outside.get(group) ?? symptoms.EMPTY_EVIDENCE)[symptom]));
		return otherRequests >= constants.MIN_OUTSIDE_REQUESTS
			&& Math.min(...outside) < point.threshold * constants.MAX_HEALTHY_OUTSIDE_FRACTION;
	});
}

function isShortRateElevated({windows, normalRates}: states.TrackedUpstream, symptom: symptoms.Symptom): boolean {
	return symptoms.getRate(windows.short.samples[symptom]) >= normalRates[symptom] * constants.SHORT_RATE_RATIO;
}

// The median must also exceed the peers' by a minimum ratio: many slightly slow requests are evidence, but no reason to
// eject.
function isSlowdownLargeEnough(
	tracked: states.TrackedUpstream,
	symptom: symptoms.Symptom,
	point: operatingPoints.OperatingPoint,
	measurement: measurements.Measurement,
): boolean {
	return symptom !== 'slowness'
		|| getMedian(tracked) >= measurement.getPeersMedian(tracked.upstream.id) * point.minSlownessRatio;
}

function createFinding(
	tracked: states.TrackedUpstream,
	symptom: symptoms.Symptom,
	point: operatingPoints.OperatingPoint,
	measurement: measurements.Measurement,
): events.Finding {
	return {
		symptom,
		evidence: getConfirmedEvidence(tracked, symptom, measurement.membership),
		threshold: point.threshold,
		rate: symptoms.getRate(tracked.windows.short.samples[symptom]),
		normalRate: tracked.normalRates[symptom],
		hosts: tracked.windows.requests.size,
		medianMilliseconds: getMedian(tracked),
		peersMedianMilliseconds: measurement.getPeersMedian(tracked.upstream.id),
	};
}

function getMedian({windows}: states.TrackedUpstream): number {
	return latencies.getQuantile(windows.short.latencies, 0.5);
}

function countRequests(requests: ReadonlyMap<core.HostId, number>, isCounted: (host: core.HostId) => boolean): number {
	let total = 0;
	for (const [host, count] of requests) {
		total += isCounted(host) ? count : 0;
	}

	return total;
}
