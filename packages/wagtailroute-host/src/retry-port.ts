/**
The retry budget of one service on this host.
*/
import type * as proxy from 'wagtailroute-proxy';
import * as retries from 'wagtailroute-retries';

/**
The port with its budget.
*/
export type RetryPort = proxy.RetryPort & {
	/**
	Adds what a new request of a caller allows.
	*/
	readonly creditRequest: () => void;
};

/**
Creates the port.
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
