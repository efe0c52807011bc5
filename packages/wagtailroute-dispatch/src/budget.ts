/**
The budget of resends to one service, over all hosts that ask this dispatcher: in any window, resends stay below a part of the
requests and a fixed number more.

What goes wrong without it: an upstream slows down, its requests are sent again, the others slow down under the added load,
and resends multiply until nothing is served.
*/
import {BUDGET_SLICE_MILLISECONDS} from './constants.ts';
import type {Policy} from './policy.ts';
import {createRecentCounts} from './recent-counts.ts';

/**
Bounds of the budget.
*/
export type BudgetSettings = {
	/**
	Resends for each request.
	*/
	readonly ratio: number;
	/**
	Resends in a window beyond that.
	*/
	readonly extra: number;
	readonly windowMilliseconds: number;
};

/**
The budget of a service.
*/
export type Budget = {
	readonly countRequest: (now: number) => void;
	/**
	Takes one resend out of the budget; false when there is none left.
	*/
	readonly consumeResend: (now: number) => boolean;
};

/**
Creates a full budget.
*/
export function createBudget({ratio, extra, windowMilliseconds}: BudgetSettings, policy: Policy): Budget {
	const counts = createRecentCounts({requests: 0, resends: 0}, {windowMilliseconds, sliceMilliseconds: BUDGET_SLICE_MILLISECONDS});
	return {
		countRequest(now) {
			counts.add('requests', now);
		},
		consumeResend(now) {
			const {requests, resends} = counts.sum(now);
			if (resends + 1 > (ratio * requests * policy.resendRatioPart) + (extra * policy.fixedResendsPart)) {
				return false;
			}

			counts.add('resends', now);
			return true;
		},
	};
}
