/**
Moves an idempotent request whose answer is overdue to another target.

Without it, each read sent to an upstream that hangs with open connections ends with its deadline, although another upstream would
answer in a third of that time, and the upstream is detected two seconds later. Once the answer is overdue, another target is asked
for, and the first attempt is aborted only when one is granted: where all are busy, the request stays and may still be answered.
*/
import * as utils from 'wagtailroute-utils';
import type {Attempt} from './attempts.ts';
import {MOVE_TIMEOUT_MILLISECONDS} from './constants.ts';
import type * as failures from './failures.ts';
import type * as ports from './ports.ts';

/**
Code of an attempt that was aborted because the request moves to another target.
*/
export const MOVED_CODE = 'MOVED';

/**
Options of a watch over one attempt.
*/
export type OverdueWatchOptions = {
	readonly attempt: Attempt;
	/**
	Milliseconds after which the answer is overdue.
	*/
	readonly overdueMilliseconds: number;
	/**
	Asks for another target, at once or after a wait.
	*/
	readonly choose: () => ports.Target | ports.PendingTarget | undefined;
	/**
	Releases a target that was granted too late to be used.
	*/
	readonly releaseTarget: (target: ports.Target) => void;
	readonly onDefect: ports.TrafficPorts['onDefect'];
};

/**
A watch over one attempt.
*/
export type OverdueWatch = {
	/**
	Stops the watch when the answer begins or the attempt has ended: the request is not moved afterwards.
	*/
	readonly end: () => void;
	/**
	Returns the target to which the request moves; undefined when it was not moved.
	*/
	readonly getNextTarget: () => ports.Target | undefined;
};

/**
Starts a watch. It aborts the attempt with `MOVED_CODE` when the request moves.
*/
export function startOverdueWatch({
	attempt, overdueMilliseconds, choose, releaseTarget, onDefect,
}: OverdueWatchOptions): OverdueWatch {
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
		utils.runDetached(requestMove, onDefect);
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
