/**
Retries and hedges under a budget, and the outcome of every failure of a request.
*/
export {
	countRequest,
	createRetryBudget,
	hasRetry,
	type RetryBudget,
	takeRetry,
} from './budget.ts';
export {MAX_ATTEMPTS, RETRY_HEADER} from './constants.ts';
export {
	decideRetry,
	type FailedSend,
	getBackoff,
	getRetryAfterSeconds,
	type GiveUpReason,
	type RetryDecision,
} from './decisions.ts';
export {
	createLatencyHistogram,
	getHedgeDelay,
	getLatencyQuantile,
	type LatencyHistogram,
	recordLatency,
} from './hedging.ts';
export {
	type BytesSent,
	getRequestFailure,
	getSendOutcome,
	mergeOutcomes,
	REQUEST_FAILURES,
	type RequestFailureMeaning,
	type RequestFailureKind,
	type RequestStage,
} from './request-failures.ts';
