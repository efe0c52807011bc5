/**
State of detection for one service on one host.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as groups from './groups.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as summaries from './summaries.ts';
import * as symptoms from './symptoms.ts';
import * as windows from './windows.ts';

/**
An announced upstream.
*/
export type Upstream = {
	readonly id: core.UpstreamId;
	readonly state: 'serving' | 'draining';
	/**
	Monotonic time in milliseconds at which its ramp-up began; absent for a warm upstream.
	*/
	readonly rampStartedAt?: number;
};

/**
Phase of an upstream. `requested` and `readmitting` wait for the grantor's decision. `good` is the number of successful trial
requests, less the penalties for bad ones.
*/
export type Phase =
	| ServingPhase
	| {readonly kind: 'requested'; readonly since: number}
	| {readonly kind: 'ejected'; readonly until: number}
	| {readonly kind: 'trial'; readonly good: number}
	| {readonly kind: 'readmitting'; readonly since: number};

/**
In service. `findingSince` is set while a finding lasts; no ejection is requested before `nextRequestAt`.
*/
export type ServingPhase = {
	readonly kind: 'serving';
	readonly since: number;
	readonly nextRequestAt: number;
	readonly findingSince?: number;
};

/**
Evidence against an upstream: pooled over all hosts, of this host alone (`own`), and of the hosts outside each group.
*/
export type UpstreamEvidence = {
	readonly pooled: symptoms.EvidenceBySymptom;
	readonly own: symptoms.EvidenceBySymptom;
	/**
	Empty while there is no pooled evidence.
	*/
	readonly outside: ReadonlyMap<groups.HostGroup, symptoms.EvidenceBySymptom>;
};

/**
No evidence in any scope.
*/
export const EMPTY_UPSTREAM_EVIDENCE: UpstreamEvidence = {
	pooled: symptoms.EMPTY_EVIDENCE,
	own: symptoms.EMPTY_EVIDENCE,
	outside: new Map(),
};

/**
Steering of this host away from an upstream: since when only this host seems unable to reach the upstream, until when it
steers away, and how many consecutive times it did.
*/
export type Steering = {
	readonly suspectedAt: number | undefined;
	readonly until: number;
	readonly consecutiveCount: number;
};

/**
Everything that detection knows about one upstream.
*/
export type TrackedUpstream = {
	readonly upstream: Upstream;
	readonly phase: Phase;
	readonly windows: windows.Windows;
	readonly evidence: UpstreamEvidence;
	/**
	Rates of symptoms that counted as normal when evidence was last added.
	*/
	readonly normalRates: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Number of consecutive ejections; determines the time before the next trial.
	*/
	readonly ejections: number;
	readonly steering: Steering;
	/**
	Latest answer of the health endpoint. It may be late or wrong, so it only affects the order of ejection requests.
	*/
	readonly isReportedHealthy: boolean;
};

/**
What one host knows about the upstreams of one service.
*/
export type DetectionState = {
	readonly host: core.HostId;
	readonly operatingPoint: operatingPoints.OperatingPointName;
	readonly upstreams: ReadonlyMap<core.UpstreamId, TrackedUpstream>;
	/**
	Summaries since the last tick.
	*/
	readonly pending: readonly summaries.Summary[];
	/**
	Latest summary of each host that a tick processed; those in `pending` are later.
	*/
	readonly lastSummaries: ReadonlyMap<core.HostId, ReceivedSummary>;
	/**
	Groups of the hosts in `lastSummaries`.
	*/
	readonly membership: groups.GroupMembership;
	readonly lastTickAt: number | undefined;
	/**
	Conditions that were reported and still hold: each is reported once.
	*/
	readonly reported: {readonly isSharedCause: boolean; readonly isSelfFault: boolean};
};

/**
What is kept of the latest summary of a host.
*/
export type ReceivedSummary = {
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly sequence: number;
	readonly receivedAt: number;
};

/**
Creates the state of a host without any upstream or evidence.
*/
export function createDetectionState({host, operatingPoint}: {
	readonly host: core.HostId;
	readonly operatingPoint: operatingPoints.OperatingPointName;
}): DetectionState {
	return {
		host,
		operatingPoint,
		upstreams: new Map(),
		pending: [],
		lastSummaries: new Map(),
		membership: groups.EMPTY_MEMBERSHIP,
		lastTickAt: undefined,
		reported: {isSharedCause: false, isSelfFault: false},
	};
}

/**
Creates the record of an upstream that was just announced.
*/
export function createTrackedUpstream(upstream: Upstream, now: number): TrackedUpstream {
	return {
		upstream,
		phase: {kind: 'serving', since: now, nextRequestAt: now},
		windows: windows.EMPTY_WINDOWS,
		evidence: EMPTY_UPSTREAM_EVIDENCE,
		normalRates: {errors: 0, slowness: 0, stalls: 0},
		ejections: 0,
		steering: {suspectedAt: undefined, until: now, consecutiveCount: 0},
		isReportedHealthy: true,
	};
}

/**
Returns whether the upstream is still warming up: neither its latency nor rare errors are evidence.
*/
export function isRamping({upstream}: TrackedUpstream, now: number): boolean {
	return upstream.rampStartedAt !== undefined && now - upstream.rampStartedAt < constants.RAMP_DURATION_MILLISECONDS;
}

/**
Applies a change to each upstream.
*/
export function mapUpstreams(
	upstreams: ReadonlyMap<core.UpstreamId, TrackedUpstream>,
	change: (tracked: TrackedUpstream) => TrackedUpstream,
): ReadonlyMap<core.UpstreamId, TrackedUpstream> {
	return new Map(upstreams.entries().map(([id, tracked]) => [id, change(tracked)]));
}

/**
Returns the windows of the upstreams that others are compared with: those in service and warm.
*/
export function getPeerWindows(upstreams: ReadonlyMap<core.UpstreamId, TrackedUpstream>, now: number): ReadonlyMap<core.UpstreamId, windows.Windows> {
	const inService = upstreams.values().filter(tracked =>
		tracked.upstream.state === 'serving'
		&& (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested')
		&& !isRamping(tracked, now));
	return new Map(inService.map(tracked => [tracked.upstream.id, tracked.windows]));
}
