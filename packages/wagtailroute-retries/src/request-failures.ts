/**
Every point at which a request can fail, and what its caller is told.

What can go wrong: a caller is told `not-run` of a booking that was made, and books again. So `not-run` stands only where
nothing was sent that a backend server could run, or where the backend server itself says that it did not run it. Where
bytes were sent and no whole answer came, the outcome is `unknown`, whatever is likely.
*/
import type * as core from 'wagtailroute-core';

/**
How far a request had come. Up to `connecting` no byte of it can have reached a backend server.
*/
export type RequestStage =
	| 'receiving'
	| 'claiming'
	| 'queueing'
	| 'connecting'
	| 'sending'
	| 'waiting'
	| 'answering';

/**
What is known of the bytes of the request that were handed to a connection. A write that was started counts as `some`,
whether or not it was acknowledged.
*/
export type BytesSent = 'none' | 'some' | 'unknown';

/**
What a failure means.
*/
export type RequestFailure = {
	readonly stage: RequestStage;
	/**
	What the caller is told when bytes were or may have been sent. With none sent it is always `not-run`.
	*/
	readonly outcome: Exclude<core.Outcome, 'ran'>;
	/**
	HTTP status of the answer, where one can still be given.
	*/
	readonly status: number;
	/**
	Error type of RFC 9209 in `Proxy-Status`.
	*/
	readonly proxyStatus: string;
	/**
	Whether another upstream may do better.
	*/
	readonly isRetriable: boolean;
	/**
	Whether the answer advises when to send again.
	*/
	readonly hasRetryAfter: boolean;
	/**
	Whether it is the upstream's doing: evidence for detection. A shed is counted apart.
	*/
	readonly isUpstreamFault: boolean;
};

type Traits = Partial<RequestFailure>;

function refuse(stage: RequestStage, status: number, proxyStatus: string, traits: Traits = {}): RequestFailure {
	return {
		stage,
		outcome: 'not-run',
		status,
		proxyStatus,
		isRetriable: false,
		hasRetryAfter: false,
		isUpstreamFault: false,
		...traits,
	};
}

function lose(stage: RequestStage, status: number, proxyStatus: string, traits: Traits = {}): RequestFailure {
	return {
		stage, outcome: 'unknown', status, proxyStatus, isRetriable: true, hasRetryAfter: false, isUpstreamFault: true, ...traits,
	};
}

const LATER: Traits = {hasRetryAfter: true};
const UPSTREAM: Traits = {isRetriable: true, hasRetryAfter: true, isUpstreamFault: true};
const NOT_OURS: Traits = {isRetriable: false, isUpstreamFault: false};

/**
All failures by kind.
*/
export const REQUEST_FAILURES = {
	// Refused as it came.
	'bad-request': refuse('receiving', 400, 'http_request_error'),
	'no-route': refuse('receiving', 404, 'destination_not_found'),
	'method-not-allowed': refuse('receiving', 405, 'http_request_denied'),
	'loop-detected': refuse('receiving', 508, 'proxy_loop_detected'),
	'body-too-large': refuse('receiving', 413, 'http_request_error'),
	'body-cut-by-caller': refuse('receiving', 400, 'http_request_error'),
	'body-stalled': refuse('receiving', 408, 'http_request_error'),
	'key-missing': refuse('receiving', 400, 'http_request_denied'),
	'key-invalid': refuse('receiving', 400, 'http_request_denied'),
	'host-draining': refuse('receiving', 503, 'proxy_internal_response', LATER),
	'request-quarantined': refuse('receiving', 503, 'http_request_denied', LATER),
	'cancelled-before-send': refuse('receiving', 499, 'proxy_internal_response'),
	'internal-error-before-send': refuse('receiving', 500, 'proxy_internal_error', LATER),
	// The record of an idempotency key.
	'key-mismatch': refuse('claiming', 422, 'http_request_denied'),
	'key-running': lose('claiming', 409, 'proxy_internal_response', {...NOT_OURS, ...LATER}),
	'key-unknown': lose('claiming', 409, 'proxy_internal_response', NOT_OURS),
	'records-unreachable': refuse('claiming', 503, 'proxy_internal_response', LATER),
	'records-full': refuse('claiming', 503, 'proxy_internal_response', LATER),
	'claim-too-late': refuse('claiming', 503, 'proxy_internal_response', LATER),
	'trial-busy': refuse('claiming', 503, 'proxy_internal_response', LATER),
	// Admission.
	'over-rate': refuse('queueing', 429, 'connection_limit_reached', LATER),
	'over-share': refuse('queueing', 429, 'connection_limit_reached', LATER),
	'queue-full': refuse('queueing', 503, 'connection_limit_reached', LATER),
	'queue-too-long': refuse('queueing', 503, 'connection_limit_reached', LATER),
	'deadline-before-send': refuse('queueing', 504, 'http_response_timeout', LATER),
	'no-upstream': refuse('queueing', 503, 'destination_unavailable', LATER),
	// A connection to an upstream.
	'connect-refused': refuse('connecting', 502, 'connection_refused', UPSTREAM),
	'connect-timeout': refuse('connecting', 504, 'connection_timeout', UPSTREAM),
	'connect-unreachable': refuse('connecting', 502, 'destination_ip_unroutable', UPSTREAM),
	'connection-closed-unused': refuse('connecting', 502, 'connection_terminated', {isRetriable: true, hasRetryAfter: true}),
	'upstream-shed': refuse('waiting', 503, 'destination_unavailable', {isRetriable: true, hasRetryAfter: true}),
	// Bytes are under way.
	'upload-cut-by-caller': lose('sending', 400, 'http_request_error', NOT_OURS),
	'upload-stalled': lose('sending', 408, 'http_request_error', NOT_OURS),
	'upload-too-large': lose('sending', 413, 'http_request_error', NOT_OURS),
	'upload-cut-by-upstream': lose('sending', 502, 'connection_terminated'),
	'write-timeout': lose('sending', 504, 'connection_write_timeout'),
	'reset-before-answer': lose('waiting', 502, 'connection_terminated'),
	'upstream-crashed': lose('waiting', 502, 'connection_terminated'),
	'answer-timeout': lose('waiting', 504, 'http_response_timeout'),
	'answer-malformed': lose('waiting', 502, 'http_protocol_error'),
	'cancelled-after-send': lose('waiting', 499, 'proxy_internal_response', NOT_OURS),
	'internal-error-after-send': lose('waiting', 500, 'proxy_internal_error', NOT_OURS),
	// The answer has begun: the status is gone to the caller, whose connection is cut instead of ended as if whole.
	'answer-cut': lose('answering', 502, 'http_response_incomplete'),
	'answer-stalled': lose('answering', 504, 'connection_read_timeout'),
	'answer-too-large': lose('answering', 502, 'http_response_body_size', {isRetriable: false}),
	'answer-cut-by-caller': lose('answering', 499, 'proxy_internal_response', NOT_OURS),
} as const satisfies Readonly<Record<string, RequestFailure>>;

/**
Name of a point at which a request can fail.
*/
export type RequestFailureKind = keyof typeof REQUEST_FAILURES;

/**
Returns what a failure means.
*/
export function getRequestFailure(kind: RequestFailureKind): RequestFailure {
	return REQUEST_FAILURES[kind];
}

// Failures that speak of another execution of the same key: sending nothing now does not make it `not-run`.
const OF_ANOTHER_EXECUTION: ReadonlySet<RequestFailureKind> = new Set(['key-running', 'key-unknown']);

// Failures by which a backend server itself says that it did not run what it got.
const TOLD_BY_UPSTREAM: ReadonlySet<RequestFailureKind> = new Set(['upstream-shed']);

/**
Returns the outcome of one send. A failure of a stage in which nothing is sent proves nothing once bytes were sent.
*/
export function getSendOutcome(kind: RequestFailureKind, sent: BytesSent): Exclude<core.Outcome, 'ran'> {
	if (OF_ANOTHER_EXECUTION.has(kind)) {
		return 'unknown';
	}

	return sent === 'none' || TOLD_BY_UPSTREAM.has(kind) ? 'not-run' : 'unknown';
}

/**
Returns the outcome of a request from those of its sends: one send that may have run makes it `unknown`, whatever became
of later ones.
*/
export function mergeOutcomes(earlier: core.Outcome, latest: core.Outcome): core.Outcome {
	return OUTCOME_ORDER[earlier] >= OUTCOME_ORDER[latest] ? earlier : latest;
}

const OUTCOME_ORDER: Readonly<Record<core.Outcome, number>> = {'not-run': 0, unknown: 1, ran: 2};
