/**
Failures of requests. The table `REQUEST_FAILURES` of the retries package defines what each kind means and what the caller is
told.
*/
import * as core from 'wagtailroute-core';
import type * as retries from 'wagtailroute-retries';

/**
Reason of a failure.
*/
export type RequestFailureKind = retries.RequestFailureKind;

/**
Failure of a request. Its message is sent to the caller.
*/
export type RequestFailure = core.Failure<RequestFailureKind> & {
	/**
	Milliseconds after which a resend may succeed; the default of the kind when absent.
	*/
	readonly retryAfterMilliseconds?: number;
};

/**
Creates the failure of a request that was not sent because its host stops. Other hosts can take it at once; one that was forwarded goes back to the host that did so.
*/
export function createStoppingFailure({isForwarded}: {readonly isForwarded: boolean}): RequestFailure {
	return createRequestFailure(isForwarded ? 'forwarding-refused' : 'host-draining', 'This host stops before the request could be finished.', 0);
}

/**
Creates a failure.

@param message Sent to the caller as the detail.
*/
export function createRequestFailure(
	kind: RequestFailureKind,
	message: string,
	retryAfterMilliseconds?: number,
): RequestFailure {
	return {...core.createFailure(kind, message), retryAfterMilliseconds};
}
