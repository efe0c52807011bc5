/**
The answers that the fleet makes itself: problem documents (RFC 9457) with Proxy-Status (RFC 9209) and the outcome.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as structuredHeaders from 'structured-headers';
import * as retries from 'wagtailroute-retries';
import {
	LINGER_MILLISECONDS,
	MAX_SPREAD_RETRY_AFTER_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	OUTCOME_HEADER,
	PROXY_NAME,
} from './constants.ts';
import type {RequestFailure} from './failures.ts';

/**
A problem document and its headers, ready to be written.
*/
export type Problem = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
};

/**
Creates the answer to a failed request.

@param random Uniform in [0, 1): spreads the advice when to send again.
*/
export function createProblem(failure: RequestFailure, random: () => number): Problem {
	const meaning = retries.getRequestFailure(failure.kind);
	const body = JSON.stringify({
		type: `urn:wagtailroute:problem:${failure.kind}`,
		title: meaning.title,
		status: meaning.status,
		detail: failure.message,
		outcome: meaning.outcome,
	});
	const retryAfter = failure.retryAfterMilliseconds ?? meaning.retryAfterMilliseconds;
	return {
		status: meaning.status,
		headers: {
			'content-type': 'application/problem+json',
			'content-length': String(buffer.Buffer.byteLength(body)),
			'proxy-status': createProxyStatus(meaning.proxyStatus),
			[OUTCOME_HEADER]: meaning.outcome,
			...retryAfter !== undefined && {'retry-after': String(getRetryAfterValue(retryAfter, random))},
		},
		body,
	};
}

// What lasts long is advised as it is: the spread is for callers that come back together after a short trouble.
function getRetryAfterValue(milliseconds: number, random: () => number): number {
	return milliseconds > MAX_SPREAD_RETRY_AFTER_MILLISECONDS
		? Math.ceil(milliseconds / MILLISECONDS_PER_SECOND)
		: retries.getRetryAfterSeconds(milliseconds, random);
}

/**
Answers a failed request, or cuts the connection when a backend server's answer has begun already: an answer that ends
early must never look whole.
*/
export function answerFailure(response: http.ServerResponse, createAnswer: () => Problem): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const problem = createAnswer();
	// Unless the request was read whole, what follows on the connection is the rest of its body.
	if (isFullyRead(response.req)) {
		response.writeHead(problem.status, problem.headers);
		response.end(problem.body);
		return;
	}

	response.writeHead(problem.status, {...problem.headers, connection: 'close'});
	endAfterBody(response, problem.body);
}

/**
Sends an answer to a request whose body is still coming, and reads the rest of it for a moment.

What goes wrong without it: the connection is closed while the caller still sends, so the system resets it, and the caller
loses the answer that its request was not run. It shows as ECONNRESET or EPIPE at callers of uploads that are refused.
*/
function endAfterBody(response: http.ServerResponse, body: string): void {
	const {req: request} = response;
	response.write(body);
	const end = (): void => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, LINGER_MILLISECONDS);
	request.once('end', end);
	request.once('close', end);
	request.resume();
}

/**
Says whether nothing of a request's body is left on its connection.
*/
export function isFullyRead({complete, headers}: http.IncomingMessage): boolean {
	return complete || (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined);
}

/**
Returns the field value of Proxy-Status (RFC 9209) for an error of the fleet's own.

@param error An error type of the RFC.
*/
export function createProxyStatus(error: string): string {
	return structuredHeaders.serializeList([
		[new structuredHeaders.Token(PROXY_NAME), new Map([['error', new structuredHeaders.Token(error)]])],
	]);
}

/**
Answers with JSON of the fleet's own.
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
