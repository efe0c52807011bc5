/**
Headers of forwarded requests and answers. Hop-by-hop headers are removed (RFC 9110, section 7.6.1).
*/
import type * as http from 'node:http';
import * as retries from 'wagtailroute-retries';
import {
	FORWARDED_HEADER,
	OUTCOME_HEADER,
	PROXY_NAME,
	TIMEOUT_HEADER,
} from './constants.ts';

/**
Names of the headers that apply to a single connection, in lower case.
*/
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

const STANDARD_CONNECTION_OPTIONS: ReadonlySet<string> = new Set(['keep-alive', 'close']);

const DROPPED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
	...HOP_BY_HOP_HEADERS,
	'content-length',
	'expect',
	'via',
	FORWARDED_HEADER,
	OUTCOME_HEADER,
	TIMEOUT_HEADER,
	retries.RETRY_HEADER,
]);

/**
Values of the headers that the proxy adds to a request.
*/
export type RequestHeaderOptions = {
	/**
	Milliseconds until the deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Length of a streamed body; absent when unknown or when undici determines it.
	*/
	readonly contentLength?: number;
	/**
	Identifier of the target.
	*/
	readonly instance?: string;
	/**
	See `RoutedRequest`.
	*/
	readonly organisation?: string;
	/**
	Identifier of this host when it forwards to a carrier; absent for a backend server.
	*/
	readonly forwardedBy?: string;
	/**
	See `RoutedRequest`.
	*/
	readonly catalogueVersion?: number;
	/**
	Number of earlier attempts, set on a resend so that the next tier does not retry it.
	*/
	readonly retry?: string;
};

/**
Returns the headers of the request to send to the target, as alternating names and values.
*/
export function createRequestHeaders(message: http.IncomingMessage, options: RequestHeaderOptions): string[] {
	const connectionOptions = getConnectionOptions(message.headers.connection);
	const headers: string[] = [];
	const raw = message.rawHeaders;
	for (let index = 0; index < raw.length; index += 2) {
		const name = raw[index]!.toLowerCase();
		if (!DROPPED_REQUEST_HEADERS.has(name) && connectionOptions?.has(name) !== true) {
			headers.push(name, raw[index + 1]!);
		}
	}

	headers.push('via', `1.1 ${PROXY_NAME}`, TIMEOUT_HEADER, String(Math.max(1, Math.floor(options.remainingMilliseconds))));
	if (options.contentLength !== undefined) {
		headers.push('content-length', String(options.contentLength));
	}

	if (options.retry !== undefined) {
		headers.push(retries.RETRY_HEADER, options.retry);
	}

	if (options.forwardedBy !== undefined) {
		headers.push(FORWARDED_HEADER, options.forwardedBy);
	}

	return headers;
}

/**
Headers by lower-case name.
*/
export type HeaderFields = Record<string, string | string[] | undefined>;

/**
Returns the headers of a relayed answer.

@param outcome Outcome that the caller is told.
*/
export function createAnswerHeaders(received: HeaderFields, outcome: string): Record<string, string | string[]> {
	const {connection} = received;
	const connectionOptions = getConnectionOptions(Array.isArray(connection) ? connection.join(',') : connection);
	const headers: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(received)) {
		if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name) && connectionOptions?.has(name) !== true) {
			headers[name] = value;
		}
	}

	headers[OUTCOME_HEADER] = outcome;
	return headers;
}

/**
Returns the lower-case header names that a Connection header lists (RFC 9110, section 7.6.1); undefined when it holds only a standard option.
*/
export function getConnectionOptions(connection: string | undefined): ReadonlySet<string> | undefined {
	return connection === undefined || STANDARD_CONNECTION_OPTIONS.has(connection) ? undefined : new Set(connection.split(',').map(name => name.trim().toLowerCase()));
}
