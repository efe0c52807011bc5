/**
The answers that the fleet makes itself: problem documents (RFC 9457) with Proxy-Status (RFC 9209) and the outcome.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as structuredHeaders from 'structured-headers';
import {MILLISECONDS_PER_SECOND, OUTCOME_HEADER, PROXY_NAME} from './constants.ts';
import {type RequestFailure, TELLINGS} from './failures.ts';

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
*/
export function createProblem(failure: RequestFailure): Problem {
	const telling = TELLINGS[failure.kind];
	const body = JSON.stringify({
		type: `urn:wagtailroute:problem:${failure.kind}`,
		title: telling.title,
		status: telling.status,
		detail: failure.message,
		outcome: telling.outcome,
	});
	const retryAfter = failure.retryAfterMilliseconds ?? telling.retryAfterMilliseconds;
	return {
		status: telling.status,
		headers: {
			'content-type': 'application/problem+json',
			'content-length': String(buffer.Buffer.byteLength(body)),
			'proxy-status': structuredHeaders.serializeList([
				[new structuredHeaders.Token(PROXY_NAME), new Map([['error', new structuredHeaders.Token(telling.proxyError)]])],
			]),
			[OUTCOME_HEADER]: telling.outcome,
			...retryAfter !== undefined && {'retry-after': String(Math.ceil(retryAfter / MILLISECONDS_PER_SECOND))},
		},
		body,
	};
}

/**
Answers a failed request, or cuts the connection when a backend server's answer has begun already: an answer that ends
early must never look whole.
*/
export function answerFailure(response: http.ServerResponse, failure: RequestFailure): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const problem = createProblem(failure);
	// Unless the request was read whole, what follows on the connection is the rest of its body.
	const {complete, headers} = response.req;
	const isWhole = complete || (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined);
	response.writeHead(problem.status, {...problem.headers, ...!isWhole && {connection: 'close'}});
	response.end(problem.body);
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
