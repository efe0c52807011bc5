/**
A request that fails before it has a backend server's answer. What each kind means and what its caller is told stands in
the table of the retries package.
*/
import * as core from 'wagtailroute-core';
import type * as retries from 'wagtailroute-retries';

/**
What went wrong with a request.
*/
export type RequestFailureKind = retries.RequestFailureKind;

/**
A request that failed.
*/
export type RequestFailure = core.Failure<RequestFailureKind> & {
	/**
	When a resend makes sense, in milliseconds from now; absent when it is that of the kind.
	*/
	readonly retryAfterMilliseconds?: number;
};

/**
Creates a failure.
*/
export function createRequestFailure(
	kind: RequestFailureKind,
	message: string,
	retryAfterMilliseconds?: number,
): RequestFailure {
	return {...core.createFailure(kind, message), retryAfterMilliseconds};
}
