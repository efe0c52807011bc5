/**
Retry budget of a service over all entry hosts that use this dispatcher: in any window, resends stay below a ratio of the requests plus a fixed
number.

Without it, retries amplify an overload: when an upstream slows down, its requests are sent again, the added load slows the others down, and resends
multiply until nothing is served.
*/
import {BUDGET_SLICE_MILLISECONDS} from './constants.ts';
import type {Policy} from './policy.ts';
import {createRecentCounts} from './recent-counts.ts';

/**
Settings of a retry budget.
*/
export type BudgetSettings = {
	/**
	Allowed resends per request.
	*/
	readonly ratio: number;
	/**
	Allowed resends per window in addition.
	*/
	readonly extra: number;
	readonly windowMilliseconds: number;
};

/**
Retry budget of a service.
*/
export type Budget = {
	readonly countRequest: (now: number) => void;
	/**
	Consumes one resend from the budget; returns false when none is left.
	*/
	readonly consumeResend: (now: number) => boolean;
};

/**
Creates a budget without requests or resends.
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
