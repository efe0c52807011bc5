/**
The way of a request: from a caller through this host to a backend server and back.
*/
export {
	answerFailure, answerJson, createProblem, createProxyStatus, isFullyRead, type Problem,
} from './answers.ts';
export {
	createRequestFailure,
	type RequestFailure,
	type RequestFailureKind,
} from './failures.ts';
export type {
	AdmissionRequest,
	AttemptEnding,
	AttemptReport,
	ClaimAnswer,
	ChoiceRequest,
	ClaimRequest,
	CrashGuard,
	LostAttempt,
	RouteMatch,
	AdmissionRelease,
	ReleaseEnding,
	RequestLimits,
	RequestReport,
	RetryPort,
	RoutedRequest,
	ServicePort,
	Settlement,
	StoredAnswer,
	Target,
	RoutesPort,
	TrafficPorts,
	TrialAnswer,
	TrialEnding,
	TrialRequest,
	UpstreamAdvertisement,
	PendingAdmission,
	PendingTarget,
} from './ports.ts';
export {type AnswerKind, type Dialect, DEFAULT_DIALECT} from './dialect.ts';
export {
	HOP_BY_HOP_HEADERS, getConnectionOptions, type HeaderFields, type RequestHeaderOptions,
} from './headers.ts';
export type {CallerRequest} from './requests.ts';
export {openTrafficServer, type TrafficServer} from './traffic.ts';
export type {ConnectionPools} from './connections.ts';
export {MOVE_TIMEOUT_MILLISECONDS} from './constants.ts';
export {
	createPacer,
	createPacers,
	type Pacer,
	type Pacers,
} from './pacing.ts';
