/**
Retry decisions, retry budget, hedging of reads, and the table of request failures with their outcomes.
*/
export {
	creditRequest,
	createRetryBudget,
	hasRetryToken,
	type RetryBudget,
	spendRetryToken,
} from './budget.ts';
export {MAX_ATTEMPTS, RETRY_HEADER} from './constants.ts';
export {
	decideRetry,
	type FailedAttempt,
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
	getAttemptOutcome,
	getFailureDefinition,
	mergeOutcomes,
	REQUEST_FAILURES,
	type RequestFailureDefinition,
	type RequestFailureKind,
	type RequestStage,
} from './request-failures.ts';
