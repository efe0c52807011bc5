/**
Detection of sick upstreams from the traffic of all hosts that carry a service, and the floor that bounds ejections.
*/
export {
	createDetection,
	type Detection,
	type Phase,
	type Tracked,
	type Upstream,
} from './state.ts';
export type {
	Effect,
	Event,
	Finding,
	Transition,
} from './events.ts';
export {stepDetection} from './detection.ts';
export {decodeUpstreams, encodeUpstreams} from './codec.ts';
export {createEvidence, type Evidence, type Ticket} from './evidence.ts';
export {
	FAILURE_KINDS,
	type FailureKind,
	type Result,
	type Summary,
	type UpstreamSummary,
} from './summaries.ts';
export {
	getEjectionAllowance,
	getRequiredUpstreams,
	type HealthyFloor,
	isGrantAllowed,
	type Population,
} from './floor.ts';
export {OPERATING_POINTS, type OperatingPoint, type OperatingPointName} from './operating-points.ts';
export {type Symptom} from './symptoms.ts';
export {getTickMilliseconds} from './activity.ts';
export {
	QUIET_SUMMARY_MILLISECONDS,
	QUIET_TICK_MILLISECONDS,
	SUMMARY_MILLISECONDS,
	TICK_MILLISECONDS,
} from './constants.ts';
