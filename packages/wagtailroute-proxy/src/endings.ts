/**
What follows from how far an attempt came: the evidence about its target, what the caller is told, and how a claimed key is
settled.
*/
import type * as core from 'wagtailroute-core';
import type {AttemptResult} from './attempts.ts';
import {OUTCOME_HEADER} from './constants.ts';
import type {RequestFailureKind} from './failures.ts';
import type {HeaderFields} from './headers.ts';
import {MOVED_CODE} from './overdue.ts';
import type {AttemptEnding, ReleaseEnding, Settlement} from './ports.ts';

const SHED_STATUS = 503;
const SERVER_ERROR_STATUS = 500;

/**
Codes with which a body was cut off by its sender, not by the target.
*/
const BODY_ERROR_CODES: ReadonlySet<string> = new Set(['BODY_CUT_OFF', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH']);

/**
Says whether an answer declares that its request was not run.
*/
export function isShedAnswer(status: number, headers: HeaderFields): boolean {
	return status === SHED_STATUS && readOutcome(headers) === 'not-run';
}

/**
Returns the outcome that a host of the fleet told. Anything unexpected counts as unknown.
*/
export function readOutcome(headers: HeaderFields): core.Outcome {
	const outcome = headers[OUTCOME_HEADER];
	return outcome === 'ran' || outcome === 'not-run' ? outcome : 'unknown';
}

/**
Returns the evidence that an attempt gives about its target, when nobody gave it up.
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
Says whether the target declared that it did not run the request.
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
Code of an attempt whose connection brought the answer to another request.
*/
export const FOREIGN_ANSWER_CODE = 'HPE_FOREIGN_ANSWER';

const MALFORMED_PATTERN = /^HPE_|^UND_ERR_(?:HEADERS_OVERFLOW|INVALID)/v;

/**
Returns the failure of an attempt that gave no whole answer to the caller.
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
Says whether the target may have died of the request: its connection was lost after the send, by nobody's will.
*/
export function isConnectionLost(result: AttemptResult): boolean {
	return (result.kind === 'lost' || result.kind === 'truncated') && !BODY_ERROR_CODES.has(result.code) && result.code !== MOVED_CODE;
}

const RESULT_DESCRIPTIONS: Readonly<Record<Exclude<AttemptResult['kind'], 'relayed'>, (target: string) => string>> = {
	'not-sent': target => `Nothing was sent to ${target}.`,
	lost: target => `${target} was lost after the request was sent.`,
	truncated: target => `${target} was lost in the midst of its answer.`,
	discarded: target => `${target} did not serve the request.`,
};

/**
Describes, for people, an attempt that gave no answer to the caller.
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
	// A deadline that the caller chose too short says nothing of load: callers could shrink the limit for all others.
	impatience: 'failed',
	'server-error': 'failed',
	'connect-error': 'failed',
	reset: 'failed',
	truncated: 'failed',
	cancelled: 'failed',
};

/**
Returns what the last attempt of a request says of load.
*/
export function getReleaseEnding(ending: AttemptEnding | undefined): ReleaseEnding {
	return ending === undefined ? 'failed' : RELEASE_ENDINGS[ending];
}

/**
Returns how a claimed key is settled after the last attempt. `ran` takes a whole answer: a key settled earlier could never
be answered, and one settled as not-run too easily would run twice.
*/
export function getSettlement(result: AttemptResult | undefined, wasSent: boolean): Settlement {
	return result?.kind === 'relayed' ? {outcome: 'ran', answer: result.answer} : {outcome: wasSent ? 'unknown' : 'not-run'};
}
