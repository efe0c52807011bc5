/**
How far the requests in progress have come, so that a host that ends them can tell what each waited for.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';

/**
What a request waits for. `routes`: the host has not loaded its routes. `body`: the caller has not sent it whole. `claim`: an idempotency key. `slot`: a target for the next attempt. `trial`: the
permission to send a request that is suspected of crashing backend servers. `retry`: the delay before the next attempt. `response`: the rest of a response that has begun.
*/
export type WaitCause = 'routes' | 'admission' | 'body' | 'claim' | 'slot' | 'trial' | 'upstream' | 'retry' | 'response';

/**
Progress of one request. What is not known yet is absent.
*/
export type RequestProgress = {
	readonly response: http.ServerResponse;
	/**
	Monotonic time in milliseconds when the header section had arrived.
	*/
	readonly arrivedAt: number;
	requestId?: string;
	service?: core.ServiceName;
	requestClass?: core.RequestClass;
	waitsFor: WaitCause;
	attempts: number;
	/**
	Target of the last attempt.
	*/
	upstream?: core.UpstreamId;
	/**
	Monotonic time in milliseconds when the last attempt was started.
	*/
	sentAt?: number;
};

/**
A request in progress, as it is reported.
*/
export type RequestInProgress = Pick<RequestProgress, 'requestId' | 'service' | 'requestClass' | 'waitsFor' | 'attempts' | 'upstream'> & {
	/**
	Milliseconds since the request arrived.
	*/
	readonly milliseconds: number;
	/**
	Milliseconds since its last attempt was started; absent without one.
	*/
	readonly sentMilliseconds?: number;
};

/**
Starts the progress of a request that has arrived.
*/
export function createRequestProgress(response: http.ServerResponse, arrivedAt: number): RequestProgress {
	return {
		response, arrivedAt, waitsFor: 'routes', attempts: 0,
	};
}

/**
Describes a request in progress at a moment.
*/
export function describeProgress({response, arrivedAt, sentAt, waitsFor, ...known}: RequestProgress, now: number): RequestInProgress {
	return {
		...known,
		waitsFor: response.headersSent ? 'response' : waitsFor,
		milliseconds: now - arrivedAt,
		...sentAt !== undefined && {sentMilliseconds: now - sentAt},
	};
}
