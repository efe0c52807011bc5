/**
One attempt to run a keyed request, on the host that serves its caller.

What can go wrong: a host is frozen between claim and send, its record is moved on meanwhile, and it sends when it wakes.
So a claim may be used only within its validity, measured by the host's own monotonic clock from before it asked. A host
that gives a claim up says so to the cell, whose answer may still be under way: it settles `not-run`, and never sends
after that.
*/
import type * as core from 'wagtailroute-core';
import type {ClaimResult, Settlement, StoredAnswer} from './claims.ts';

/**
Where an attempt stands.
*/
export type AttemptState =
	| {readonly kind: 'claiming'; readonly askedAt: number}
	| {readonly kind: 'sending'}
	| {readonly kind: 'ended'};

/**
What happens to an attempt. `claim-failed`: no answer to the claim in time, or no quorum. `upstream-failed`: the request
ended without a whole answer; `wasRun` says what is known.
*/
export type AttemptEvent =
	| {readonly kind: 'claim-answered'; readonly result: ClaimResult}
	| {readonly kind: 'claim-failed'}
	| {readonly kind: 'answer-completed'; readonly answer?: StoredAnswer}
	| {readonly kind: 'upstream-failed'; readonly wasRun: 'not-run' | 'unknown'};

/**
What the host does. `tell` answers the caller; for `ran` without an answer to give, only the fact that it ran.
*/
export type AttemptEffect =
	| {readonly kind: 'send'; readonly token: number}
	| {readonly kind: 'settle'; readonly ending: Settlement['ending']}
	| {readonly kind: 'tell'; readonly outcome: core.Outcome; readonly reason: AttemptReason; readonly answer?: StoredAnswer};

/**
Why a caller is told an outcome. `answer-relayed`: the caller has received the upstream's own answer.
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
Creates an attempt that is about to ask. `now` is read before the claim is sent, in ms of the host's monotonic clock.
*/
export function createAttempt(now: number): AttemptState {
	return {kind: 'claiming', askedAt: now};
}

type AttemptTransition = core.Transition<AttemptState, AttemptEffect>;

type Handler<Kind extends AttemptEvent['kind']> = {
	/**
	The state in which the event means something; in any other it is late and changes nothing.
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
Advances an attempt.
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

// A running execution is `unknown` to the caller that sends again: it may run to its end.
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
Status codes with which an attempt that was not relayed is answered. A stored answer has its own.
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

