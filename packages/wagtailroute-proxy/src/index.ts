/**
Reverse proxy: forwards requests of callers to backend servers, directly or through another host, and relays their answers.
*/
export {
	answerFailure, answerJson, createProblem, createProxyStatus, type Problem,
} from './answers.ts';
export {
	createRequestFailure,
	type RequestFailure,
	type RequestFailureKind,
} from './failures.ts';
export type {
	AdmissionRelease,
	AdmissionRequest,
	AttemptEnding,
	AttemptReport,
	ChoiceRequest,
	ClaimAnswer,
	ClaimRequest,
	CrashGuard,
	LostAttempt,
	PendingAdmission,
	PendingTarget,
	ReleaseEnding,
	ResponseSize,
	RequestLimits,
	RequestReport,
	RetryPort,
	RouteMatch,
	RoutedRequest,
	RoutesPort,
	ServicePort,
	Settlement,
	StoredAnswer,
	Target,
	TrafficPorts,
	TrialAnswer,
	TrialEnding,
	TrialRequest,
	UnansweredAttempt,
	UpstreamAdvertisement,
} from './ports.ts';
export {type AnswerKind, DEFAULT_DIALECT, type Dialect} from './dialect.ts';
export {
	getConnectionOptions, type HeaderFields, HOP_BY_HOP_HEADERS, type RequestHeaderOptions,
} from './headers.ts';
export type {RequestInProgress, WaitCause} from './request-progress.ts';
export type {CallerRequest} from './requests.ts';
export {FORWARDED_HEADER} from './constants.ts';
export {isFullyRead} from './remainder.ts';
export {
	openTrafficServer, type AbortScope, type TrafficServer, type TrafficServerOptions,
} from './traffic.ts';
export type {ConnectionPools} from './connections.ts';
export {MOVE_TIMEOUT_MILLISECONDS} from './constants.ts';
export {
	createPacer,
	createPacers,
	type Pacer,
	type Pacers,
} from './pacing.ts';
export {
	createUpstreamProbe, type ProbedUpstream, type ProbeResult, type UpstreamProbe,
} from './upstream-probe.ts';
