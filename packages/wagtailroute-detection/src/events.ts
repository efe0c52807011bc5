/**
Events and effects of detection.
*/
import type * as core from 'wagtailroute-core';
import type * as operatingPoints from './operating-points.ts';
import type * as states from './state.ts';
import type * as summaries from './summaries.ts';
import type * as symptoms from './symptoms.ts';

/**
What detection is told. `ejected` and `readmitted` are the grantor's decisions, in its order; `refused` answers a request
of this host. An upstream that is new in `upstreams-changed` counts as in service: tell `ejected` again for those that the
grantor holds ejected, such as one whose lease ran out and came back.
*/
export type Event =
	| {readonly kind: 'summary'; readonly summary: summaries.Summary}
	| {readonly kind: 'tick'}
	| {readonly kind: 'upstreams-changed'; readonly upstreams: readonly states.Upstream[]}
	| {readonly kind: 'ejected'; readonly upstream: core.UpstreamId}
	| {readonly kind: 'readmitted'; readonly upstream: core.UpstreamId}
	| {
		readonly kind: 'refused';
		readonly upstream: core.UpstreamId;
		readonly reason: 'floor' | 'unreachable';
	}
	| {readonly kind: 'health-hint'; readonly upstream: core.UpstreamId; readonly isHealthy: boolean}
	| {readonly kind: 'discount'; readonly upstream: core.UpstreamId; readonly count: number}
	| {readonly kind: 'configured'; readonly operatingPoint: operatingPoints.OperatingPointName};

/**
Why an ejection is asked for, for operators and logs.
*/
export type Finding = {
	readonly symptom: symptoms.Symptom;
	/**
	Evidence and what it had to reach, in nats.
	*/
	readonly evidence: number;
	readonly threshold: number;
	/**
	Rate of the symptom over about the last second, and the rate that counted as normal.
	*/
	readonly rate: number;
	readonly normalRate: number;
	/**
	Hosts that sent it requests lately.
	*/
	readonly hosts: number;
	/**
	Median latencies of the upstream and of its peers in milliseconds, over about the last second.
	*/
	readonly medianMilliseconds: number;
	readonly peersMedianMilliseconds: number;
};

/**
What is to be done. `request-ejection` and `request-readmission` go to the grantor. `steer-away` is a preference of this
host until the given time: the upstream still takes work when no other has room. `report-shared` and `report-self` tell
operators that many upstreams look sick together, or that this host's own network is at fault.
*/
export type Effect =
	| {readonly kind: 'request-ejection'; readonly upstream: core.UpstreamId; readonly finding: Finding}
	| {readonly kind: 'request-readmission'; readonly upstream: core.UpstreamId}
	| {readonly kind: 'start-trial'; readonly upstream: core.UpstreamId}
	| {readonly kind: 'end-trial'; readonly upstream: core.UpstreamId}
	| {
		readonly kind: 'steer-away';
		readonly upstream: core.UpstreamId;
		readonly until: number;
		readonly cause: 'path' | 'refused';
	}
	| {readonly kind: 'report-shared'; readonly suspects: readonly core.UpstreamId[]}
	| {readonly kind: 'report-self'; readonly unreachable: readonly core.UpstreamId[]};

/**
Transition of detection.
*/
export type Transition = core.Transition<states.DetectionState, Effect>;
