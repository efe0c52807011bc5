/**
Moves a request that may be repeated away from a target that leaves it unanswered.

What goes wrong without it: an upstream hangs while its connections stay open; each read sent there ends with its deadline, though
another upstream would have answered in a third of that time; and the upstream is found out two seconds later. So once an answer is
overdue, another place is asked for, and only when there is one is the first attempt given up: where all are busy, the request stays
where it is and may still be answered.
*/
import * as utils from 'wagtailroute-utils';
import type {Attempt} from './attempts.ts';
import {MOVE_TIMEOUT_MILLISECONDS} from './constants.ts';
import type * as failures from './failures.ts';
import type * as ports from './ports.ts';

/**
Code of an attempt that was given up because another target takes the request.
*/
export const MOVED_CODE = 'MOVED';

/**
What a watch needs.
*/
export type OverdueWatchOptions = {
	readonly attempt: Attempt;
	/**
	Milliseconds after which the answer is overdue.
	*/
	readonly overdueMilliseconds: number;
	/**
	Asks for another target.
	*/
	readonly choose: () => ports.Target | ports.PendingTarget | undefined;
	/**
	Gives a target back that is not needed any more.
	*/
	readonly releaseTarget: (target: ports.Target) => void;
};

/**
The watch over one attempt.
*/
export type OverdueWatch = {
	/**
	The answer begins, or the attempt has ended: nothing is moved from now on.
	*/
	readonly end: () => void;
	/**
	Returns the target that takes the request; undefined when it was not moved.
	*/
	readonly getNextTarget: () => ports.Target | undefined;
};

/**
Starts watching an attempt.
*/
export function startOverdueWatch({attempt, overdueMilliseconds, choose, releaseTarget}: OverdueWatchOptions): OverdueWatch {
	let nextTarget: ports.Target | undefined;
	let hasEnded = false;
	let cancel: () => void = () => undefined;

	const moveTo = (target: ports.Target | failures.RequestFailure | undefined) => {
		if (target === undefined || !('address' in target)) {
			return;
		}

		if (hasEnded) {
			releaseTarget(target);
			return;
		}

		nextTarget = target;
		hasEnded = true;
		attempt.abort(MOVED_CODE);
	};

	const requestMove = async () => {
		const chosen = choose();
		if (chosen !== undefined && 'result' in chosen) {
			cancel = chosen.cancel;
			const cancelWait = utils.schedule(MOVE_TIMEOUT_MILLISECONDS, cancel);
			const target = await chosen.result;
			cancelWait();
			moveTo(target);
		} else {
			moveTo(chosen);
		}
	};

	const timer = setTimeout(() => {
		void requestMove();
	}, overdueMilliseconds);
	return {
		end() {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			clearTimeout(timer);
			cancel();
		},
		getNextTarget: () => nextTarget,
	};
}
