/**
Answers created by the fleet itself: problem documents (RFC 9457) with Proxy-Status (RFC 9209) and the outcome.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as structuredHeaders from 'structured-headers';
import * as retries from 'wagtailroute-retries';
import {
	MAX_SPREAD_RETRY_AFTER_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	OUTCOME_HEADER,
	PROXY_NAME,
} from './constants.ts';
import type {RequestFailure} from './failures.ts';
import {endResponse, isFullyRead} from './remainder.ts';
import {resetHead} from './response-head.ts';

/**
Status, headers and serialised body of a problem document.
*/
export type Problem = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

/**
Creates the answer to a failed request.

@param random Uniform in [0, 1); spreads `Retry-After`.
*/
export function createProblem(failure: RequestFailure, random: () => number): Problem {
	const definition = retries.getFailureDefinition(failure.kind);
	const body = JSON.stringify({
		type: `urn:wagtailroute:problem:${failure.kind}`,
		title: definition.title,
		status: definition.status,
		detail: failure.message,
		outcome: definition.outcome,
	});
	const retryAfter = failure.retryAfterMilliseconds ?? definition.retryAfterMilliseconds;
	return {
		status: definition.status,
		headers: {
			'content-type': 'application/problem+json',
			'content-length': String(buffer.Buffer.byteLength(body)),
			'proxy-status': createProxyStatus(definition.proxyStatus),
			[OUTCOME_HEADER]: definition.outcome,
			...retryAfter !== undefined && {'retry-after': String(getRetryAfterValue(retryAfter, random))},
		},
		body,
	};
}

// Seconds of `Retry-After`. A long time is not spread: the spread is for callers that all return after a short disturbance.
function getRetryAfterValue(milliseconds: number, random: () => number): number {
	return milliseconds > MAX_SPREAD_RETRY_AFTER_MILLISECONDS
		? Math.ceil(milliseconds / MILLISECONDS_PER_SECOND)
		: retries.getRetryAfterSeconds(milliseconds, random);
}

/**
Answers a failed request. When a backend server's answer has begun already, the connection is destroyed instead: an answer that
ends early must never look complete.
*/
export function answerFailure(response: http.ServerResponse, createAnswer: () => Problem): void {
	if (response.headersSent || response.destroyed) {
		cutOff(response);
		return;
	}

	resetHead(response);
	const problem = createAnswer();
	const isUnread = !isFullyRead(response.req);
	if (isUnread) {
		// What is left of a refused body can be large, so the connection isn't kept for it.
		response.setHeader('connection', 'close');
	}

	response.writeHead(problem.status, problem.headers);
	response.write(problem.body);
	endResponse(response);
}

/**
Cuts off a response that is not finished. An HTTP/1.0 caller takes the regular end of a connection for the end of a response without length, so the connection is reset.
*/
export function cutOff(response: http.ServerResponse): void {
	if (response.req.httpVersionMinor === 0) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
}

/**
Returns the value of the header Proxy-Status (RFC 9209) for an error of the fleet itself.

@param error An error type of the RFC.
*/
export function createProxyStatus(error: string): string {
	return structuredHeaders.serializeList([
		[new structuredHeaders.Token(PROXY_NAME), new Map([['error', new structuredHeaders.Token(error)]])],
	]);
}

/**
Sends a JSON answer of the fleet itself.
*/
export function answerJson(
	response: http.ServerResponse,
	status: number,
	value: unknown,
	headers: Readonly<Record<string, string>> = {},
): void {
	const body = JSON.stringify(value);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': String(buffer.Buffer.byteLength(body)),
		...headers,
	});
	response.end(body);
}
