/**
Events and effects of detection.
*/
import type * as core from 'wagtailroute-core';
import type * as operatingPoints from './operating-points.ts';
import type * as states from './state.ts';
import type * as summaries from './summaries.ts';
import type * as symptoms from './symptoms.ts';

/**
Input of detection. `ejected` and `readmitted` are the grantor's decisions, in its order; `refused` answers a request of
this host. `discount` withdraws failures that a request caused and not the upstream. An upstream that is new in
`upstreams-changed` counts as in service: send `ejected` again for each one that the grantor keeps ejected, such as one
whose lease ran out and came back.
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
Reason of an ejection request, for operators and logs.
*/
export type Finding = {
	readonly symptom: symptoms.Symptom;
	/**
	Evidence against the upstream and the threshold that it reached, in nats.
	*/
	readonly evidence: number;
	readonly threshold: number;
	/**
	Fraction of requests with the symptom over about the last second, and the fraction that counted as normal.
	*/
	readonly rate: number;
	readonly normalRate: number;
	/**
	Number of hosts that recently sent requests to the upstream.
	*/
	readonly hosts: number;
	/**
	Median latencies of the upstream and of its peers in milliseconds, over about the last second.
	*/
	readonly medianMilliseconds: number;
	readonly peersMedianMilliseconds: number;
};

/**
Output of detection. `request-ejection` and `request-readmission` go to the grantor. `steer-away` is a preference of this
host until the given time: the upstream still gets work when no other has room. `report-shared` and `report-self` inform
operators that many upstreams look sick at once, or that this host's own network is at fault.
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
State after an event, and the effects to carry out.
*/
export type Transition = core.Transition<states.DetectionState, Effect>;
