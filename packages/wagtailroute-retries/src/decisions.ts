/**
Decides whether a failed attempt is retried at another upstream, and the delays of retries by the proxy and by callers.
*/
import type * as core from 'wagtailroute-core';
import {
	BASE_BACKOFF_MILLISECONDS,
	MAX_BACKOFF_MILLISECONDS,
	MAX_RETRY_AFTER_SECONDS,
	MIN_RETRY_AFTER_SECONDS,
} from './constants.ts';
import {
	type BytesSent,
	getFailureDefinition,
	getAttemptOutcome,
	mergeOutcomes,
	type RequestFailureKind,
} from './request-failures.ts';

/**
What is known about a request when one of its attempts has failed.
*/
export type FailedAttempt = {
	readonly requestClass: core.RequestClass;
	/**
	Whether the request holds the claim of an idempotency key.
	*/
	readonly isKeyed: boolean;
	readonly failure: RequestFailureKind;
	/**
	Whether bytes of the request were written to the upstream's connection in this attempt.
	*/
	readonly sent: BytesSent;
	/**
	Attempts made, including this one.
	*/
	readonly attempts: number;
	/**
	Maximum attempts of one request.
	*/
	readonly maxAttempts: number;
	/**
	Whether upstreams guarantee that a request they shed never runs. False when absent.
	*/
	readonly isShedPromise?: boolean;
	/**
	Merged outcome of the attempts before this one; `not-run` when there were none.
	*/
	readonly earlierOutcome: core.Outcome;
	/**
	Time until the caller's deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Usual latency of an answer.
	*/
	readonly usualMilliseconds: number;
	readonly hasBudget: boolean;
	/**
	Whether the request arrived as a retry made by another tier.
	*/
	readonly isTierRetry: boolean;
	/**
	Whether the whole body is still buffered and any idempotency claim is still valid.
	*/
	readonly canResend: boolean;
};

/**
Why a request is not retried.
*/
export type GiveUpReason =
	| 'not-retriable'
	| 'may-have-run'
	| 'cannot-send-again'
	| 'attempts-used'
	| 'tier-retries'
	| 'deadline'
	| 'budget';

/**
The decision. `outcome` is the merged outcome of all attempts so far; after a `retry` it is the `earlierOutcome` of the
next attempt.
*/
export type RetryDecision =
	| {readonly kind: 'retry'; readonly delayMilliseconds: number; readonly outcome: core.Outcome}
	| {readonly kind: 'give-up'; readonly reason: GiveUpReason; readonly outcome: core.Outcome};

type GiveUpRule = readonly [reason: GiveUpReason, applies: (attempt: FailedAttempt, delay: number) => boolean];

// The first rule that applies gives the reason shown to operators. Rules of safety come before limits.
const GIVE_UP_RULES: readonly GiveUpRule[] = [
	['not-retriable', ({failure}) => !getFailureDefinition(failure).isRetriable],
	['may-have-run', attempt => !IS_SAFE_TO_RETRY[attempt.requestClass](attempt)],
	['cannot-send-again', ({canResend}) => !canResend],
	['attempts-used', ({attempts, maxAttempts}) => attempts >= maxAttempts],
	['tier-retries', ({isTierRetry}) => isTierRetry],
	['deadline', ({remainingMilliseconds, usualMilliseconds}, delay) => remainingMilliseconds < delay + usualMilliseconds],
	['budget', ({hasBudget}) => !hasBudget],
];

// A non-idempotent request without a key is not retried after an upstream reports that it did not run it, unless upstreams
// guarantee this: no idempotency record would prevent a second execution. When no byte was sent, the retry is safe.
const IS_SAFE_TO_RETRY: Readonly<Record<core.RequestClass, (attempt: FailedAttempt) => boolean>> = {
	read: () => true,
	idempotent: () => true,
	'non-idempotent': isNonIdempotentRetrySafe,
	upload: isNonIdempotentRetrySafe,
};

function isNonIdempotentRetrySafe({failure, sent, isKeyed, isShedPromise = false, earlierOutcome}: FailedAttempt): boolean {
	return earlierOutcome === 'not-run'
		&& getAttemptOutcome(failure, sent) === 'not-run'
		&& (isKeyed || isShedPromise || sent === 'none');
}

/**
Decides whether a failed attempt is retried, and after which delay.
*/
export function decideRetry(attempt: FailedAttempt, random: () => number): RetryDecision {
	const outcome = mergeOutcomes(attempt.earlierOutcome, getAttemptOutcome(attempt.failure, attempt.sent));
	const delayMilliseconds = getBackoff(attempt.attempts, random);
	const rule = GIVE_UP_RULES.find(([, applies]) => applies(attempt, delayMilliseconds));
	return rule === undefined
		? {kind: 'retry', delayMilliseconds, outcome}
		: {kind: 'give-up', reason: rule[0], outcome};
}

/**
Returns the delay before a retry, in milliseconds: exponential backoff with full jitter, so that hosts which saw the same
failure do not retry at the same moment.
*/
export function getBackoff(attempts: number, random: () => number): number {
	const bound = Math.min(MAX_BACKOFF_MILLISECONDS, BASE_BACKOFF_MILLISECONDS * (2 ** (attempts - 1)));
	return random() * bound;
}

/**
Returns the value of `Retry-After` in whole seconds, with random spread so that callers do not all retry together.

@param expectedMilliseconds Time after which a retry may be served; 0 when unknown.
*/
export function getRetryAfterSeconds(expectedMilliseconds: number, random: () => number): number {
	const expectedSeconds = Math.ceil(expectedMilliseconds / 1000);
	const minSeconds = Math.min(MAX_RETRY_AFTER_SECONDS / 2, Math.max(MIN_RETRY_AFTER_SECONDS, expectedSeconds));
	return minSeconds + Math.floor(random() * (minSeconds + 1));
}
