/**
The way of a request: from a caller through this host to a backend server and back.
*/
export {
	answerFailure, answerJson, createProblem, createProxyStatus, isReadWhole, type Problem,
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
	Guard,
	Loss,
	Match,
	Release,
	ReleaseEnding,
	RequestLimits,
	RequestNote,
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
	WaitingPlace,
	WaitingTarget,
} from './ports.ts';
export {type AnswerKind, type Dialect, OWN_DIALECT} from './dialect.ts';
export {
	CONNECTION_HEADERS, getNamedByConnection, type HeaderFields, type Passage,
} from './headers.ts';
export type {CallerRequest} from './requests.ts';
export {openTrafficServer, type TrafficServer} from './traffic.ts';
export type {Connections} from './connections.ts';
export {MOVE_MILLISECONDS} from './constants.ts';
export {
	createPace,
	createPaces,
	type Pace,
	type Paces,
} from './pace.ts';
