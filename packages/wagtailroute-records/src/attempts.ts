/**
One attempt to run a request with an idempotency key, as a state machine on the host that serves the caller.

A host may freeze between claim and send, while its record becomes `unknown`, and send when it resumes. Therefore a claim may
be used only within its validity, measured by the host's monotonic clock from before it sent the claim. A host that abandons
a claim settles `not-run`, since the grant may still arrive, and never sends the request afterwards.
*/
import type * as core from 'wagtailroute-core';
import type {ClaimResult, Settlement, StoredAnswer} from './claims.ts';

/**
State of an attempt. `askedAt` is when the claim was sent, in ms of the host's monotonic clock.
*/
export type AttemptState =
	| {readonly kind: 'claiming'; readonly askedAt: number}
	| {readonly kind: 'sending'}
	| {readonly kind: 'ended'};

/**
Events of an attempt. `claim-failed`: no result of the claim in time, or no quorum. `upstream-failed`: the request ended
without a complete answer; `wasRun` is `not-run` only if the upstream cannot have run it.
*/
export type AttemptEvent =
	| {readonly kind: 'claim-answered'; readonly result: ClaimResult}
	| {readonly kind: 'claim-failed'}
	| {readonly kind: 'answer-completed'; readonly answer?: StoredAnswer}
	| {readonly kind: 'upstream-failed'; readonly wasRun: 'not-run' | 'unknown'};

/**
Effects that the host carries out. `tell` answers the caller: with `answer` where there is one, otherwise with the outcome
alone. `answer-relayed` needs no further answer.
*/
export type AttemptEffect =
	| {readonly kind: 'send'; readonly token: number}
	| {readonly kind: 'settle'; readonly ending: Settlement['ending']}
	| {readonly kind: 'tell'; readonly outcome: core.Outcome; readonly reason: AttemptReason; readonly answer?: StoredAnswer};

/**
Reason of the outcome. `answer-relayed`: the caller has received the upstream's own answer. `answer-not-kept`: the request
ran, but its answer was not stored. `claim-too-late`: the grant arrived after its validity.
*/
export type AttemptReason =
	| 'answer-relayed'
	| 'stored-answer'
	| 'answer-not-kept'
	| 'already-running'
	| 'earlier-unknown'
	| 'key-mismatch'
	| 'claim-refused'
	| 'claim-failed'
	| 'claim-too-late'
	| 'upstream-failed';

/**
Creates an attempt before its claim is sent. `now` must be read before sending, in ms of the host's monotonic clock.
*/
export function createAttempt(now: number): AttemptState {
	return {kind: 'claiming', askedAt: now};
}

type AttemptTransition = core.Transition<AttemptState, AttemptEffect>;

type Handler<Kind extends AttemptEvent['kind']> = {
	/**
	The state in which the event is handled. In any other state it is late and changes nothing.
	*/
	readonly state: AttemptState['kind'];
	readonly handle: (event: Extract<AttemptEvent, {kind: Kind}>, elapsed: number) => AttemptTransition;
};

const HANDLERS: {readonly [Kind in AttemptEvent['kind']]: Handler<Kind>} = {
	'claim-answered': {
		state: 'claiming',
		handle: ({result}, elapsed) => result.kind === 'granted'
			? handleGranted(result, elapsed)
			: endAttempt(createUngrantedEffect(result)),
	},
	'claim-failed': {
		state: 'claiming',
		handle: () => endAttempt(createSettleEffect({kind: 'not-run'}), createAnswerEffect('not-run', 'claim-failed')),
	},
	'answer-completed': {
		state: 'sending',
		handle: ({answer}) => endAttempt(createSettleEffect({kind: 'ran', answer}), createAnswerEffect('ran', 'answer-relayed')),
	},
	'upstream-failed': {
		state: 'sending',
		handle: ({wasRun}) => endAttempt(createSettleEffect({kind: wasRun}), createAnswerEffect(wasRun, 'upstream-failed')),
	},
};

/**
Advances an attempt by one event. `now` is in ms of the host's monotonic clock.
*/
export const stepAttempt: core.Step<AttemptState, AttemptEvent, AttemptEffect> = (state, event, {now}) => {
	const handler = HANDLERS[event.kind] as Handler<AttemptEvent['kind']>;
	if (handler.state !== state.kind) {
		return {state, effects: []};
	}

	const askedAt = state.kind === 'claiming' ? state.askedAt : now;
	return handler.handle(event, now - askedAt);
};

function handleGranted({token, validityMilliseconds}: Granted, elapsed: number): AttemptTransition {
	return elapsed < validityMilliseconds
		? {state: {kind: 'sending'}, effects: [{kind: 'send', token}]}
		: endAttempt(createSettleEffect({kind: 'not-run'}), createAnswerEffect('not-run', 'claim-too-late'));
}

type Granted = Extract<ClaimResult, {kind: 'granted'}>;
type Ungranted = Exclude<ClaimResult, {kind: 'granted'}>;

function createUngrantedEffect(result: Ungranted): AttemptEffect {
	if (result.kind === 'ran') {
		return result.answer === undefined
			? createAnswerEffect('ran', 'answer-not-kept')
			: {...createAnswerEffect('ran', 'stored-answer'), answer: result.answer};
	}

	const [outcome, reason] = UNGRANTED_ANSWERS[result.kind];
	return createAnswerEffect(outcome, reason);
}

// For a resend during a running execution the outcome is `unknown`: the execution may still complete.
const UNGRANTED_ANSWERS: Readonly<Record<Exclude<Ungranted['kind'], 'ran'>, readonly [core.Outcome, AttemptReason]>> = {
	running: ['unknown', 'already-running'],
	unknown: ['unknown', 'earlier-unknown'],
	mismatch: ['not-run', 'key-mismatch'],
	refused: ['not-run', 'claim-refused'],
};

function createAnswerEffect(outcome: core.Outcome, reason: AttemptReason): Extract<AttemptEffect, {kind: 'tell'}> {
	return {kind: 'tell', outcome, reason};
}

function createSettleEffect(ending: Settlement['ending']): AttemptEffect {
	return {kind: 'settle', ending};
}

function endAttempt(...effects: AttemptEffect[]): AttemptTransition {
	return {state: {kind: 'ended'}, effects};
}

/**
HTTP status codes of outcomes without a relayed or stored answer.
*/
export const ATTEMPT_STATUS_CODES: Readonly<Record<Exclude<AttemptReason, 'answer-relayed' | 'stored-answer'>, number>> = {
	'answer-not-kept': 409,
	'already-running': 409,
	'earlier-unknown': 409,
	'key-mismatch': 422,
	'claim-refused': 503,
	'claim-failed': 503,
	'claim-too-late': 503,
	'upstream-failed': 502,
};

