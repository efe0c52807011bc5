/**
Whether a failed request is sent to another upstream, and what its caller is told when not.
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
	getRequestFailure,
	getSendOutcome,
	mergeOutcomes,
	type RequestFailureKind,
} from './request-failures.ts';

/**
What is known when a send has failed.
*/
export type FailedSend = {
	readonly requestClass: core.RequestClass;
	/**
	Whether the request holds the record of an idempotency key.
	*/
	readonly isKeyed: boolean;
	readonly failure: RequestFailureKind;
	/**
	Bytes of the request handed to the upstream's connection in this send.
	*/
	readonly sent: BytesSent;
	/**
	Sends made, this one included.
	*/
	readonly attempts: number;
	/**
	Sends of one request at most.
	*/
	readonly attemptsMost: number;
	/**
	Upstreams promise that a request they shed never runs.
	*/
	readonly isShedPromise?: boolean;
	/**
	Merged outcome of the sends before this one, `not-run` when there were none.
	*/
	readonly earlierOutcome: core.Outcome;
	/**
	Time left to the caller's deadline, in ms.
	*/
	readonly remainingMilliseconds: number;
	/**
	Time that an answer usually takes, in ms.
	*/
	readonly usualMilliseconds: number;
	readonly hasBudget: boolean;
	/**
	Whether the request came marked as a resend by another tier.
	*/
	readonly isResendOfTier: boolean;
	/**
	Whether the body is still at hand, whole, and any claim may still be used.
	*/
	readonly canSendAgain: boolean;
};

/**
Why a request is not sent again.
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
The decision. `outcome` is that of all sends so far; on `retry` it is carried on as `earlierOutcome`.
*/
export type RetryDecision =
	| {readonly kind: 'retry'; readonly delayMilliseconds: number; readonly outcome: core.Outcome}
	| {readonly kind: 'give-up'; readonly reason: GiveUpReason; readonly outcome: core.Outcome};

type Check = readonly [reason: GiveUpReason, applies: (send: FailedSend, delay: number) => boolean];

// In the order in which they are named to operators: what must not be sent again comes before what may not.
const CHECKS: readonly Check[] = [
	['not-retriable', ({failure}) => !getRequestFailure(failure).isRetriable],
	['may-have-run', send => !IS_SAFE[send.requestClass](send)],
	['cannot-send-again', ({canSendAgain}) => !canSendAgain],
	['attempts-used', ({attempts, attemptsMost}) => attempts >= attemptsMost],
	['tier-retries', ({isResendOfTier}) => isResendOfTier],
	['deadline', ({remainingMilliseconds, usualMilliseconds}, delay) => remainingMilliseconds < delay + usualMilliseconds],
	['budget', ({hasBudget}) => !hasBudget],
];

// A non-idempotent request without a key is not sent a second time when the upstream says that it did not run it, unless
// upstreams promise that: no record would stop it from running twice. With no byte sent the next send is the first.
const IS_SAFE: Readonly<Record<core.RequestClass, (send: FailedSend) => boolean>> = {
	read: () => true,
	idempotent: () => true,
	'non-idempotent': isSurelyNotRun,
	upload: isSurelyNotRun,
};

function isSurelyNotRun({failure, sent, isKeyed, isShedPromise = false, earlierOutcome}: FailedSend): boolean {
	return earlierOutcome === 'not-run'
		&& getSendOutcome(failure, sent) === 'not-run'
		&& (isKeyed || isShedPromise || sent === 'none');
}

/**
Decides what follows a failed send.
*/
export function decideRetry(send: FailedSend, random: () => number): RetryDecision {
	const outcome = mergeOutcomes(send.earlierOutcome, getSendOutcome(send.failure, send.sent));
	const delayMilliseconds = getBackoff(send.attempts, random);
	const check = CHECKS.find(([, applies]) => applies(send, delayMilliseconds));
	return check === undefined
		? {kind: 'retry', delayMilliseconds, outcome}
		: {kind: 'give-up', reason: check[0], outcome};
}

/**
Returns the delay before a retry in ms: uniform below a bound that doubles with each send, so that hosts which saw the
same failure do not send again at the same moment.
*/
export function getBackoff(attempts: number, random: () => number): number {
	const bound = Math.min(MAX_BACKOFF_MILLISECONDS, BASE_BACKOFF_MILLISECONDS * (2 ** (attempts - 1)));
	return random() * bound;
}

/**
Returns the advice of `Retry-After` in whole seconds: when the cause may be over, spread so that callers do not come back
together. `expectedMilliseconds` is when a resend may be served, 0 when nothing is known.
*/
export function getRetryAfterSeconds(expectedMilliseconds: number, random: () => number): number {
	const expected = Math.ceil(expectedMilliseconds / 1000);
	const least = Math.min(MAX_RETRY_AFTER_SECONDS / 2, Math.max(MIN_RETRY_AFTER_SECONDS, expected));
	return least + Math.floor(random() * (least + 1));
}
