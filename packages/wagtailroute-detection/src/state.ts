/**
State, events and effects of detection for one service on one host.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as groups from './groups.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as summaries from './summaries.ts';
import * as symptoms from './symptoms.ts';
import * as windows from './windows.ts';

/**
An upstream as announced.
*/
export type Upstream = {
	readonly id: core.UpstreamId;
	readonly state: 'serving' | 'draining';
	/**
	Monotonic time in milliseconds at which its ramp began; absent when it is warm.
	*/
	readonly rampStartedAt?: number;
};

/**
Where an upstream stands. `requested` and `readmitting` wait for the grantor.
*/
export type Phase =
	| ServingPhase
	| {readonly kind: 'requested'; readonly since: number}
	| {readonly kind: 'ejected'; readonly until: number}
	| {readonly kind: 'trial'; readonly good: number}
	| {readonly kind: 'readmitting'; readonly since: number};

/**
In service. `foundAt` is set while a finding lasts; nothing is asked for before `heldUntil`.
*/
export type ServingPhase = {
	readonly kind: 'serving';
	readonly since: number;
	readonly nextRequestAt: number;
	readonly findingSince?: number;
};

/**
Evidence against an upstream: of all hosts, of this host alone, and of the hosts outside each group.
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
No evidence.
*/
export const EMPTY_UPSTREAM_EVIDENCE: UpstreamEvidence = {
	pooled: symptoms.EMPTY_EVIDENCE,
	own: symptoms.EMPTY_EVIDENCE,
	outside: new Map(),
};

/**
Steering of this host alone: since when it looks as if only this host can't reach the upstream, until when it steers
away, and how often it did in a row.
*/
export type Steering = {
	readonly suspectedAt: number | undefined;
	readonly steeringUntil: number;
	readonly consecutiveCount: number;
};

/**
What is known of one upstream.
*/
export type TrackedUpstream = {
	readonly upstream: Upstream;
	readonly phase: Phase;
	readonly windows: windows.Windows;
	readonly evidence: UpstreamEvidence;
	/**
	Rates that counted as normal in the last tick.
	*/
	readonly normalRates: Readonly<Record<symptoms.Symptom, number>>;
	/**
	Ejections in a row: sets the wait before the next trial.
	*/
	readonly ejections: number;
	/**
	Whether this host steers away by itself.
	*/
	readonly steering: Steering;
	/**
	What the health endpoint says. It lags or misleads, so it only orders requests that evidence calls for.
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
	Latest summary of each host that a tick took in; those in `pending` are later.
	*/
	readonly lastSummaries: ReadonlyMap<core.HostId, ReceivedSummary>;
	/**
	Groups of the hosts in `received`.
	*/
	readonly membership: groups.GroupMembership;
	readonly lastTickAt: number | undefined;
	/**
	What was reported and still holds: each is reported once.
	*/
	readonly reported: {readonly isSharedCause: boolean; readonly isSelfFault: boolean};
};

/**
Latest summary of a host.
*/
export type ReceivedSummary = {
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly sequence: number;
	readonly receivedAt: number;
};

/**
Creates the state of a host that has seen nothing.
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
		steering: {suspectedAt: undefined, steeringUntil: now, consecutiveCount: 0},
		isReportedHealthy: true,
	};
}

/**
Whether the upstream is still warming up: its latency is no evidence, and neither are rare errors.
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
Windows of the upstreams that are in service and warm: those that others are compared with.
*/
export function getPeerWindows(upstreams: ReadonlyMap<core.UpstreamId, TrackedUpstream>, now: number): ReadonlyMap<core.UpstreamId, windows.Windows> {
	const inService = upstreams.values().filter(tracked =>
		tracked.upstream.state === 'serving'
		&& (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested')
		&& !isRamping(tracked, now));
	return new Map(inService.map(tracked => [tracked.upstream.id, tracked.windows]));
}
