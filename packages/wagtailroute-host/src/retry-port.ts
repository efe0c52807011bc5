/**
Retry budget of one service on this host.
*/
import type * as proxy from 'wagtailroute-proxy';
import * as retries from 'wagtailroute-retries';

/**
Port of the retries of one service, with the method that fills its budget.
*/
export type RetryPort = proxy.RetryPort & {
	/**
	Adds the retry tokens that a new request of a caller earns: `retryRatio`.
	*/
	readonly creditRequest: () => void;
};

/**
Creates the port with a new budget. `now` returns monotonic milliseconds.
*/
export function createRetryPort(retryRatio: number, now: () => number, getUsualMilliseconds: () => number): RetryPort {
	let budget = retries.createRetryBudget(now());
	return {
		creditRequest() {
			budget = retries.creditRequest(budget, {retryRatio, now: now()});
		},
		hasBudget: () => retries.hasRetryToken(budget),
		spend() {
			budget = retries.spendRetryToken(budget);
		},
		getUsualMilliseconds,
	};
}
