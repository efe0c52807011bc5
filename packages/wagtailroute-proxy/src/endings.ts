/**
Derives from the result of an attempt the evidence about its target, the failure that the caller is told, and the settlement of a
claimed idempotency key.
*/
import type * as core from 'wagtailroute-core';
import type {AttemptResult} from './attempts.ts';
import {OUTCOME_HEADER} from './constants.ts';
import type {RequestFailureKind} from './failures.ts';
import type {HeaderFields} from './headers.ts';
import {MOVED_CODE} from './overdue.ts';
import type {
	AttemptEnding,
	ReleaseEnding,
	Settlement,
	TrialEnding,
} from './ports.ts';

const SHED_STATUS = 503;
const SERVER_ERROR_STATUS = 500;

/**
Error codes of a request body that was cut off by the caller, not by the target.
*/
const BODY_ERROR_CODES: ReadonlySet<string> = new Set(['BODY_CUT_OFF', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH']);

/**
Returns whether an answer states that its request was not run.
*/
export function isShedAnswer(status: number, headers: HeaderFields): boolean {
	return status === SHED_STATUS && readOutcome(headers) === 'not-run';
}

/**
Returns the outcome stated by another host of the fleet. Anything unexpected counts as unknown.
*/
export function readOutcome(headers: HeaderFields): core.Outcome {
	const outcome = headers[OUTCOME_HEADER];
	return outcome === 'ran' || outcome === 'not-run' ? outcome : 'unknown';
}

/**
Returns the evidence that an attempt gives about its target. For attempts of requests that were not aborted.
*/
export function getAttemptEnding(result: AttemptResult): AttemptEnding {
	if (result.kind === 'relayed' || result.kind === 'discarded') {
		return isShedResult(result) ? getShedEnding(result) : getAnsweredEnding(result.status);
	}

	if (result.kind !== 'truncated' && result.code === MOVED_CODE) {
		return 'overdue';
	}

	return isBodyCutOff(result) ? 'cancelled' : UNANSWERED_ENDINGS[result.kind];
}

function getAnsweredEnding(status: number): AttemptEnding {
	return status >= SERVER_ERROR_STATUS ? 'server-error' : 'success';
}

const UNANSWERED_ENDINGS: Readonly<Record<'not-sent' | 'lost' | 'truncated', AttemptEnding>> = {
	'not-sent': 'connect-error',
	lost: 'reset',
	truncated: 'truncated',
};

function isBodyCutOff(result: AttemptResult): boolean {
	return result.kind === 'lost' && BODY_ERROR_CODES.has(result.code);
}

function getShedEnding(result: AttemptResult): AttemptEnding {
	return result.kind === 'discarded' && result.isMisdirected === true ? 'misdirected' : 'shed';
}

/**
Returns whether the target stated that it did not run the request.
*/
function isShedResult(result: AttemptResult): boolean {
	return result.kind === 'discarded' && result.isShed;
}

const FAILURES_BY_CODE: ReadonlyMap<string, RequestFailureKind> = new Map([
	['CLAIM_EXPIRED', 'idempotency-claim-expired'],
	['TRIAL_EXPIRED', 'trial-busy'],
	['ECONNREFUSED', 'connect-refused'],
	['UND_ERR_CONNECT_TIMEOUT', 'connect-timeout'],
]);

/**
Code of an attempt at an upstream to whose address no connection can be opened.
*/
export const UNCONNECTABLE_CODE = 'ADDRESS_UNCONNECTABLE';

/**
Code of an attempt that received the answer to another request.
*/
export const FOREIGN_ANSWER_CODE = 'HPE_FOREIGN_ANSWER';

/**
Code of an attempt that received a response whose status line or header section can't be relayed.
*/
export const UNRELAYABLE_HEAD_CODE = 'HPE_UNRELAYABLE_HEAD';

const MALFORMED_PATTERN = /^HPE_|^UND_ERR_(?:HEADERS_OVERFLOW|INVALID)/v;

/**
Returns the failure of an attempt whose answer was not relayed whole.
*/
export function getFailureKind(result: Exclude<AttemptResult, {kind: 'relayed'}>, hasCrashed: boolean): RequestFailureKind {
	if (result.kind === 'discarded') {
		return result.isShed ? 'upstream-shed' : 'upstream-error';
	}

	if (result.kind === 'not-sent') {
		return FAILURES_BY_CODE.get(result.code) ?? 'connect-unreachable';
	}

	if (isBodyCutOff(result)) {
		return 'body-cut-off';
	}

	if (result.kind === 'truncated') {
		return 'answer-cut';
	}

	if (MALFORMED_PATTERN.test(result.code)) {
		return 'answer-malformed';
	}

	return hasCrashed ? 'upstream-crashed' : 'upstream-lost';
}

/**
Returns whether the target may have crashed: its connection was lost after the request was sent, and neither a cut-off
request body nor a move to another target was the cause.
*/
export function isConnectionLost(result: AttemptResult): boolean {
	return (result.kind === 'lost' || result.kind === 'truncated') && !BODY_ERROR_CODES.has(result.code) && result.code !== MOVED_CODE;
}

/**
Returns what an attempt tells of a request that may crash backend servers. A request that was shed has not run, so it has survived nothing.
*/
export function getTrialEnding(result: AttemptResult): TrialEnding {
	if (result.kind === 'not-sent' || isShedResult(result)) {
		return 'not-sent';
	}

	return result.kind === 'relayed' || result.kind === 'discarded' ? 'completed' : 'lost';
}

const RESULT_DESCRIPTIONS: Readonly<Record<Exclude<AttemptResult['kind'], 'relayed'>, (target: string) => string>> = {
	'not-sent': target => `Nothing was sent to ${target}.`,
	lost: target => `${target} was lost after the request was sent.`,
	truncated: target => `${target} was lost in the midst of its answer.`,
	discarded: target => `${target} did not serve the request.`,
};

/**
Returns the detail that the caller is told of an attempt whose answer was not relayed whole.
*/
export function describeResult(result: Exclude<AttemptResult, {kind: 'relayed'}>, target: string): string {
	return RESULT_DESCRIPTIONS[result.kind](target);
}

const RELEASE_ENDINGS: Readonly<Record<AttemptEnding, ReleaseEnding>> = {
	success: 'completed',
	shed: 'overloaded',
	misdirected: 'failed',
	timeout: 'overloaded',
	overdue: 'overloaded',
	// A short deadline set by the caller is no evidence of load: callers could otherwise shrink the limit for all others.
	impatience: 'failed',
	'server-error': 'failed',
	'connect-error': 'failed',
	reset: 'failed',
	truncated: 'failed',
	cancelled: 'failed',
};

/**
Returns the result of a request for admission control, by the ending of its last attempt.
*/
export function getReleaseEnding(ending: AttemptEnding | undefined): ReleaseEnding {
	return ending === undefined ? 'failed' : RELEASE_ENDINGS[ending];
}

/**
Returns the settlement of a claimed key after the last attempt. `ran` requires a whole answer: a key settled earlier could never
be answered, and a key settled as `not-run` although the request was sent could run twice.
*/
export function getSettlement(result: AttemptResult | undefined, wasSent: boolean): Settlement {
	return result?.kind === 'relayed' ? {outcome: 'ran', answer: result.answer} : {outcome: wasSent ? 'unknown' : 'not-run'};
}
