/**
Retry budget of a service over the whole fleet: in any window, resends stay below a ratio of the requests plus a fixed number.

Without it, retries amplify an overload: when an upstream slows down, its requests are sent again, the added load slows the others down, and resends
multiply until nothing is served.

Each dispatcher has a token bucket for each service. It starts empty, is filled by each request that is first requested here and by time, and holds no more
than the dispatcher's share of a part of the fixed number. A resend that was granted elsewhere needs no record here: what all buckets hold at one moment,
and what they are filled with afterwards, stays within the budget of any window that starts then. So nothing is handed over when dispatchers change, and a
restart loses tokens instead of renewing them.
*/
import {TAKEOVER_IDLE_MILLISECONDS} from './constants.ts';
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
What is left of a retry budget at a dispatcher.
*/
export type BudgetReport = {
	/**
	Resends that may be granted now; a fraction is part of the next one.
	*/
	readonly tokens: number;
	/**
	Most tokens that the bucket can hold.
	*/
	readonly capacity: number;
	/**
	Share of the fleet's budget that this dispatcher grants, 0 to 1.
	*/
	readonly share: number;
};

/**
Retry budget of a service.
*/
export type Budget = {
	readonly countRequest: (now: number) => void;
	/**
	Consumes one resend from the budget; returns false when none is left.

	@param leavesReserve Whether the tokens that more urgent requests are likely to need are left to them. Absent: false.
	*/
	readonly consumeResend: (now: number, leavesReserve?: boolean) => boolean;
	/**
	Returns the token of a resend that was not sent.
	*/
	readonly refundResend: (now: number) => void;
	readonly report: (now: number) => BudgetReport;
};

/**
Creates an empty bucket.

@param getShare Returns the share of the fleet's budget that this dispatcher grants, 0 to 1.
*/
export function createBudget(settings: BudgetSettings, policy: Policy, getShare: (now: number) => number): Budget {
	const {ratio, extra, windowMilliseconds} = settings;
	const fullCapacity = Math.max(1, extra * policy.resendCapacityPart);
	const tokensPerMillisecond = extra * policy.resendRefillPart / windowMilliseconds;
	const urgentResends = createRecentCounts({requested: 0}, {windowMilliseconds: RESERVE_WINDOW_MILLISECONDS, sliceMilliseconds: RESERVE_SLICE_MILLISECONDS});
	let tokens = 0;
	let updatedAt: number | undefined;

	/**
	A bucket that was idle may belong to a dispatcher that others have replaced meanwhile: of what it held, one token is left.
	*/
	const report = (now: number): BudgetReport => {
		const share = getShare(now);
		const capacity = fullCapacity * share;
		const elapsed = now - (updatedAt ?? now);
		const kept = elapsed > TAKEOVER_IDLE_MILLISECONDS ? Math.min(1, tokens) : tokens;
		const refilled = kept + (Math.min(elapsed, TAKEOVER_IDLE_MILLISECONDS) * tokensPerMillisecond * share);
		return {tokens: Math.min(capacity, refilled), capacity, share};
	};

	const add = (count: number, now: number) => {
		const {tokens: before, capacity} = report(now);
		tokens = Math.min(capacity, before + count);
		updatedAt = now;
	};

	return {
		countRequest(now) {
			add(ratio, now);
		},
		consumeResend(now, leavesReserve = false) {
			const {tokens: available, capacity} = report(now);
			const reserved = leavesReserve ? Math.min(capacity * RESERVED_PART, urgentResends.sum(now).requested) : 0;
			// A bucket that holds one token only has nothing to reserve.
			const hasToken = available >= Math.max(1, Math.min(capacity, 1 + reserved));
			if (!leavesReserve) {
				urgentResends.add('requested', now);
			}

			add(hasToken ? -1 : 0, now);
			return hasToken;
		},
		refundResend(now) {
			add(1, now);
		},
		report,
	};
}

/**
Most of the bucket that is reserved for resends of more urgent requests: as many as they asked for a short time ago. Where these can hardly be sent again,
a fixed reserve costs the others their resends for nothing, above all while the bucket is still filling.
*/
const RESERVED_PART = 1 / 3;
const RESERVE_WINDOW_MILLISECONDS = 1000;
const RESERVE_SLICE_MILLISECONDS = 100;
