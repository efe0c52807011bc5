/**
The way of a request: from a caller through this host to a backend server and back.
*/
export {
	answerFailure, answerJson, createProblem, type Problem,
} from './answers.ts';
export {
	createRequestFailure,
	type RequestFailure,
	type RequestFailureKind,
	type Telling,
	TELLINGS,
} from './failures.ts';
export type {
	AdmissionRequest,
	AttemptEnding,
	AttemptReport,
	ClaimAnswer,
	ClaimRequest,
	GuardAnswer,
	RequestNote,
	ServicePort,
	Settlement,
	StoredAnswer,
	Target,
	TrafficPorts,
} from './ports.ts';
export {openTrafficServer, type TrafficServer} from './traffic.ts';
export type {Connections} from './connections.ts';
