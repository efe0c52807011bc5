/**
Detection of sick upstreams from the traffic of all hosts that carry a service, and the floor that limits ejections.
*/
export {
	createDetectionState,
	type DetectionState,
	type Phase,
	type TrackedUpstream,
	type Upstream,
} from './state.ts';
export type {
	Effect,
	Event,
	Finding,
	Transition,
} from './events.ts';
export {stepDetection} from './detection.ts';
export {decodeUpstreamSummaries, encodeUpstreamSummaries} from './codec.ts';
export {createEvidenceCollector, type EvidenceCollector, type InFlightRequest} from './evidence-collector.ts';
export {
	FAILURE_KINDS,
	type FailureKind,
	type RequestResult,
	type Summary,
	type UpstreamSummary,
} from './summaries.ts';
export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	isEjectionAllowed,
	type UpstreamCounts,
} from './floor.ts';
export {OPERATING_POINTS, type OperatingPoint, type OperatingPointName} from './operating-points.ts';
export {type Symptom} from './symptoms.ts';
export {getTickIntervalMilliseconds} from './tick-interval.ts';
export {
	QUIET_SUMMARY_INTERVAL_MILLISECONDS,
	QUIET_TICK_INTERVAL_MILLISECONDS,
	ALERTED_SUMMARY_INTERVAL_MILLISECONDS,
	TICK_INTERVAL_MILLISECONDS,
} from './constants.ts';
