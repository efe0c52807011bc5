/**
Has the crash guard look into an attempt that stays unanswered for longer than usual.

The connections of a crashed server may stay open in silence. Without this, the crash would be noticed only when the request's deadline has passed, and not be told
from a slow answer even then.
*/
import type {Attempt, AttemptResult} from './attempts.ts';
import {MAX_UNANSWERED_MILLISECONDS} from './constants.ts';
import type {CrashGuard, UnansweredAttempt} from './ports.ts';

/**
Code of an attempt whose upstream was found to have crashed before it answered.
*/
export const CRASHED_CODE = 'UPSTREAM_CRASHED';

/**
Options of a watch over one attempt.
*/
export type UnansweredWatchOptions = {
	readonly attempt: Attempt;
	readonly guard: CrashGuard;
	readonly sent: Omit<UnansweredAttempt, 'onCrash'>;
	/**
	Milliseconds after which the answer is overdue, and which it usually takes.
	*/
	readonly overdueMilliseconds: number;
	readonly usualMilliseconds: number;
	readonly now: () => number;
};

/**
A watch over one attempt.
*/
export type UnansweredWatch = {
	/**
	Called when the answer begins.
	*/
	readonly recordAnswer: () => void;
	/**
	Called when the attempt has ended.

	@param isAborted The deadline of the request has passed, or its caller has left.
	*/
	readonly end: (result: AttemptResult, isAborted: boolean) => void;
};

/**
Starts a watch. It aborts the attempt with `CRASHED_CODE` when its upstream has crashed.
*/
export function startUnansweredWatch({
	attempt, guard, sent, overdueMilliseconds, usualMilliseconds, now,
}: UnansweredWatchOptions): UnansweredWatch {
	let recordAnswer: (() => void) | undefined;
	const inquire = () => {
		recordAnswer = guard.inquire?.({
			...sent,
			onCrash() {
				attempt.abort(CRASHED_CODE);
			},
		});
	};

	const timer = setTimeout(() => {
		if (attempt.isSent()) {
			inquire();
		}
	}, Math.min(overdueMilliseconds, MAX_UNANSWERED_MILLISECONDS));
	return {
		recordAnswer() {
			clearTimeout(timer);
			recordAnswer?.();
		},
		end({kind}, isAborted) {
			clearTimeout(timer);
			// The request may end before its answer is overdue.
			const isLate = isAborted && now() - sent.sentAt >= usualMilliseconds;
			if (kind === 'lost' && isLate && recordAnswer === undefined) {
				inquire();
			}
		},
	};
}
