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
	readonly heldUntil: number;
	readonly foundAt?: number;
};

/**
Evidence against an upstream: of all hosts, of this host alone, and of the hosts outside each group.
*/
export type Standing = {
	readonly pooled: symptoms.Statistics;
	readonly own: symptoms.Statistics;
	/**
	Empty while there is no pooled evidence.
	*/
	readonly outside: ReadonlyMap<groups.Group, symptoms.Statistics>;
};

/**
No evidence.
*/
export const EMPTY_STANDING: Standing = {
	pooled: symptoms.EMPTY_STATISTICS,
	own: symptoms.EMPTY_STATISTICS,
	outside: new Map(),
};

/**
Steering of this host alone: since when it looks as if only this host can't reach the upstream, until when it steers
away, and how often it did in a row.
*/
export type Steering = {
	readonly suspectedAt: number | undefined;
	readonly until: number;
	readonly count: number;
};

/**
What is known of one upstream.
*/
export type Tracked = {
	readonly upstream: Upstream;
	readonly phase: Phase;
	readonly windows: windows.Windows;
	readonly standing: Standing;
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
State of detection.
*/
export type Detection = {
	readonly host: core.HostId;
	readonly operatingPoint: operatingPoints.OperatingPointName;
	readonly upstreams: ReadonlyMap<core.UpstreamId, Tracked>;
	/**
	Summaries since the last tick.
	*/
	readonly pending: readonly summaries.Summary[];
	/**
	Latest summary of each host that a tick took in; those in `pending` are later.
	*/
	readonly received: ReadonlyMap<core.HostId, Reception>;
	/**
	Groups of the hosts in `received`.
	*/
	readonly membership: groups.Membership;
	readonly tickedAt: number | undefined;
	/**
	What was reported and still holds: each is reported once.
	*/
	readonly reported: {readonly isShared: boolean; readonly isSelf: boolean};
};

/**
Latest summary of a host.
*/
export type Reception = {
	readonly failureDomain: core.FailureDomain;
	readonly epoch: number;
	readonly sequence: number;
	readonly at: number;
};

/**
Creates the state of a host that has seen nothing.
*/
export function createDetection({host, operatingPoint}: {
	readonly host: core.HostId;
	readonly operatingPoint: operatingPoints.OperatingPointName;
}): Detection {
	return {
		host,
		operatingPoint,
		upstreams: new Map(),
		pending: [],
		received: new Map(),
		membership: groups.NO_MEMBERSHIP,
		tickedAt: undefined,
		reported: {isShared: false, isSelf: false},
	};
}

/**
Creates the record of an upstream that was just announced.
*/
export function createTracked(upstream: Upstream, now: number): Tracked {
	return {
		upstream,
		phase: {kind: 'serving', since: now, heldUntil: now},
		windows: windows.EMPTY_WINDOWS,
		standing: EMPTY_STANDING,
		normalRates: {errors: 0, slowness: 0, stalls: 0},
		ejections: 0,
		steering: {suspectedAt: undefined, until: now, count: 0},
		isReportedHealthy: true,
	};
}

/**
Whether the upstream is still warming up: its latency is no evidence, and neither are rare errors.
*/
export function isRamping({upstream}: Tracked, now: number): boolean {
	return upstream.rampStartedAt !== undefined && now - upstream.rampStartedAt < constants.RAMP_MILLISECONDS;
}

/**
Applies a change to each upstream.
*/
export function mapTracked(
	upstreams: ReadonlyMap<core.UpstreamId, Tracked>,
	change: (tracked: Tracked) => Tracked,
): ReadonlyMap<core.UpstreamId, Tracked> {
	return new Map(upstreams.entries().map(([id, tracked]) => [id, change(tracked)]));
}

/**
Windows of the upstreams that are in service and warm: those that others are compared with.
*/
export function getPeers(upstreams: ReadonlyMap<core.UpstreamId, Tracked>, now: number): ReadonlyMap<core.UpstreamId, windows.Windows> {
	const inService = upstreams.values().filter(tracked =>
		tracked.upstream.state === 'serving'
		&& (tracked.phase.kind === 'serving' || tracked.phase.kind === 'requested')
		&& !isRamping(tracked, now));
	return new Map(inService.map(tracked => [tracked.upstream.id, tracked.windows]));
}
