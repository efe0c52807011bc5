/**
What follows from how far an attempt came: the evidence about its target, what the caller is told, and how a claimed key is
settled.
*/
import type * as core from 'wagtailroute-core';
import type {AttemptResult} from './attempts.ts';
import {OUTCOME_HEADER} from './constants.ts';
import {createRequestFailure, type RequestFailure, type RequestFailureKind} from './failures.ts';
import type {HeaderFields} from './headers.ts';
import type {AttemptEnding, Settlement} from './ports.ts';

const SHED_STATUS = 503;
const SERVER_ERROR_STATUS = 500;

/**
Codes with which a body was cut off by its sender, not by the target.
*/
const BODY_CODES: ReadonlySet<string> = new Set(['BODY_CUT_OFF', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH']);

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
export function getEnding(result: AttemptResult): AttemptEnding {
	if (result.kind === 'relayed' || result.kind === 'discarded') {
		return getAnsweredEnding(result.status, result.kind);
	}

	return isBodyCutOff(result) ? 'cancelled' : UNANSWERED_ENDINGS[result.kind];
}

function getAnsweredEnding(status: number, kind: 'relayed' | 'discarded'): AttemptEnding {
	if (kind === 'discarded' && status === SHED_STATUS) {
		return 'shed';
	}

	return status >= SERVER_ERROR_STATUS ? 'server-error' : 'success';
}

const UNANSWERED_ENDINGS: Readonly<Record<'not-sent' | 'lost' | 'truncated', AttemptEnding>> = {
	'not-sent': 'connect-error',
	lost: 'reset',
	truncated: 'truncated',
};

function isBodyCutOff(result: AttemptResult): boolean {
	return result.kind === 'lost' && BODY_CODES.has(result.code);
}

/**
Says whether a backend server may have run the request, or part of it, by this attempt.
*/
export function isPossiblyRun(result: AttemptResult): boolean {
	return result.kind === 'lost'
		|| result.kind === 'truncated'
		|| result.kind === 'relayed'
		|| (result.kind === 'discarded' && !isShedResult(result));
}

/**
Says whether the target declared that it did not run the request.
*/
export function isShedResult(result: AttemptResult): boolean {
	return result.kind === 'discarded' && result.status === SHED_STATUS && result.isShed;
}

/**
Describes an attempt that gave no answer to the caller.
*/
export function describeResult(result: Exclude<AttemptResult, {kind: 'relayed'}>, target: string): RequestFailure {
	const kind = getFailureKind(result);
	return createRequestFailure(kind, MESSAGES[result.kind](target));
}

function getFailureKind(result: Exclude<AttemptResult, {kind: 'relayed'}>): RequestFailureKind {
	if (result.kind === 'discarded') {
		return isShedResult(result) ? 'upstream-shed' : 'upstream-lost';
	}

	if (isBodyCutOff(result)) {
		return 'body-cut-off';
	}

	return result.kind === 'not-sent' ? 'upstream-unreachable' : 'upstream-lost';
}

const MESSAGES: Readonly<Record<'not-sent' | 'lost' | 'truncated' | 'discarded', (target: string) => string>> = {
	'not-sent': target => `${target} could not be reached, nothing was sent.`,
	lost: target => `${target} was lost after the request was sent.`,
	truncated: target => `${target} was lost in the midst of its answer.`,
	discarded: target => `${target} did not serve the request.`,
};

/**
Returns how a claimed key is settled after the last attempt. `ran` takes a whole answer: a key settled earlier could never
be answered, and one settled as not-run too easily would run twice.
*/
export function getSettlement(result: AttemptResult | undefined, wasSent: boolean): Settlement {
	return result?.kind === 'relayed' ? {outcome: 'ran', answer: result.answer} : {outcome: wasSent ? 'unknown' : 'not-run'};
}
