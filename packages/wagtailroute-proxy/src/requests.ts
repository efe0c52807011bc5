/**
Parses and validates the requests of callers before anything is sent.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as retries from 'wagtailroute-retries';
import {
	DEFAULT_ORGANISATION,
	FORWARDED_HEADER,
	IDEMPOTENCY_HEADER,
	MAX_REQUEST_TARGET_LENGTH,
	MAX_TIMEOUT_MILLISECONDS,
	MAX_TOKEN_LENGTH,
	ORGANISATION_HEADER,
	TIMEOUT_HEADER,
} from './constants.ts';
import {createRequestFailure, type RequestFailure} from './failures.ts';

/**
A validated request.
*/
export type CallerRequest = {
	/**
	Request identifier set by the caller, for logs and to match answers with requests.
	*/
	readonly id?: string;
	readonly method: string;
	/**
	Path with query, as received.
	*/
	readonly requestTarget: string;
	/**
	Path without query.
	*/
	readonly path: string;
	/**
	Host name without port, in lower case.
	*/
	readonly host: string;
	/**
	Organisation that the caller names; empty where it is derived from `key`.
	*/
	readonly organisation: core.Organisation;
	/**
	API key that authenticates the caller's organisation. Must not be logged or sent to backend servers.
	*/
	readonly key?: string;
	readonly idempotencyKey?: string;
	/**
	Timeout set by the caller, in milliseconds from arrival.
	*/
	readonly timeoutMilliseconds?: number;
	/**
	Content-Length in bytes; absent when the request has none.
	*/
	readonly contentLength?: number;
	readonly hasBody: boolean;
	/**
	Whether another host of the fleet forwarded the request to this host.
	*/
	readonly isForwarded: boolean;
	/**
	Value of the Wagtailroute-Retry header: number of earlier attempts by another tier; absent for a first attempt.
	*/
	readonly tierRetry?: string;
	/**
	Version of the catalogue of the host that forwarded the request; absent where hosts do not tell it.
	*/
	readonly catalogueVersion?: number | undefined;
};

const VISIBLE_PATTERN = /^[\u{21}-\u{7E}]+$/v;
const TIMEOUT_PATTERN = /^\d{1,9}$/v;
const PORT_PATTERN = /:\d+$/v;

/**
Parses and validates a request. All failures are of stage `receiving`: nothing has been sent.
*/
export function parseRequest(message: http.IncomingMessage): results.Result<CallerRequest, RequestFailure> {
	const failure = findRequestTargetFailure(message) ?? findHeaderFailure(message.headers);
	if (failure !== undefined) {
		return results.Err(failure);
	}

	const {headers} = message;
	const requestTarget = message.url!;
	const query = requestTarget.indexOf('?');
	const declaredLength = headers['content-length'];
	return results.Ok({
		method: message.method!,
		requestTarget,
		path: query === -1 ? requestTarget : requestTarget.slice(0, query),
		host: (headers.host ?? '').toLowerCase().replace(PORT_PATTERN, ''),
		organisation: getHeader(headers, ORGANISATION_HEADER) ?? DEFAULT_ORGANISATION,
		idempotencyKey: getHeader(headers, IDEMPOTENCY_HEADER),
		timeoutMilliseconds: parseTimeout(getHeader(headers, TIMEOUT_HEADER)),
		contentLength: declaredLength === undefined ? undefined : Number(declaredLength),
		hasBody: headers['transfer-encoding'] !== undefined || (declaredLength !== undefined && declaredLength !== '0'),
		isForwarded: headers[FORWARDED_HEADER] !== undefined,
		tierRetry: getHeader(headers, retries.RETRY_HEADER),
	});
}

function findRequestTargetFailure(message: http.IncomingMessage): RequestFailure | undefined {
	const requestTarget = message.url ?? '';
	if (!requestTarget.startsWith('/')) {
		return createRequestFailure('target-invalid', 'The target must be a path that begins with a slash.');
	}

	return requestTarget.length > MAX_REQUEST_TARGET_LENGTH ? createRequestFailure('target-invalid', `The target is longer than ${MAX_REQUEST_TARGET_LENGTH} characters.`) : undefined;
}

function findHeaderFailure(headers: http.IncomingHttpHeaders): RequestFailure | undefined {
	for (const name of [ORGANISATION_HEADER, IDEMPOTENCY_HEADER]) {
		const value = getHeader(headers, name);
		if (value !== undefined && (value.length > MAX_TOKEN_LENGTH || !VISIBLE_PATTERN.test(value))) {
			return createRequestFailure('header-invalid', `${name} must be 1 to ${MAX_TOKEN_LENGTH} visible ASCII characters.`);
		}
	}

	const timeout = getHeader(headers, TIMEOUT_HEADER);
	return timeout === undefined || isTimeout(timeout)
		? undefined
		: createRequestFailure('header-invalid', `${TIMEOUT_HEADER} must be a whole number from 1 to ${MAX_TIMEOUT_MILLISECONDS}.`);
}

function isTimeout(text: string): boolean {
	return TIMEOUT_PATTERN.test(text) && Number(text) >= 1 && Number(text) <= MAX_TIMEOUT_MILLISECONDS;
}

function getHeader(headers: http.IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return Array.isArray(value) ? value.join(',') : value;
}

function parseTimeout(text: string | undefined): number | undefined {
	return text === undefined ? undefined : Number(text);
}
