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
	ClaimRequest,
	Guard,
	Loss,
	Release,
	ReleaseEnding,
	RequestNote,
	RetryPort,
	ServicePort,
	Settlement,
	StoredAnswer,
	Target,
	TrafficPorts,
	TrialAnswer,
	TrialEnding,
	TrialRequest,
	WaitingPlace,
} from './ports.ts';
export {openTrafficServer, type TrafficServer} from './traffic.ts';
export type {Connections} from './connections.ts';
