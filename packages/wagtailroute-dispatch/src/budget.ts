/**
The budget of resends to one service, over all hosts that ask this dispatcher: in any window, resends stay below a part of the
requests and a fixed number more.

What goes wrong without it: an upstream slows down, its requests are sent again, the others slow down under the added load,
and resends multiply until nothing is served.
*/
import {BUDGET_SLICE_MILLISECONDS} from './constants.ts';
import type {Policy} from './policy.ts';

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
	readonly takeResend: (now: number) => boolean;
};

type Slice = {
	readonly startedAt: number;
	requests: number;
	resends: number;
};

/**
Creates a full budget.
*/
export function createBudget({ratio, extra, windowMilliseconds}: BudgetSettings, policy: Policy): Budget {
	const slices: Slice[] = [];

	const getSlice = (now: number) => {
		while (slices.length > 0 && now - slices[0]!.startedAt > windowMilliseconds) {
			slices.shift();
		}

		const last = slices.at(-1);
		if (last !== undefined && now - last.startedAt < BUDGET_SLICE_MILLISECONDS) {
			return last;
		}

		const slice: Slice = {startedAt: now, requests: 0, resends: 0};
		slices.push(slice);
		return slice;
	};

	return {
		countRequest(now) {
			getSlice(now).requests++;
		},
		takeResend(now) {
			const slice = getSlice(now);
			let requests = 0;
			let resends = 0;
			for (const present of slices) {
				requests += present.requests;
				resends += present.resends;
			}

			if (resends + 1 > (ratio * requests * policy.resendRatioPart) + (extra * policy.fixedResendsPart)) {
				return false;
			}

			slice.resends++;
			return true;
		},
	};
}
