/**
Header fields on their way through: those that belong to one connection stay behind (RFC 9110, section 7.6.1).
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
Names of the headers that belong to one connection.
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
Where a request goes, as far as its headers care.
*/
export type RequestHeaderOptions = {
	/**
	Milliseconds that remain until the deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Length of the body when it is known and the body is a stream.
	*/
	readonly contentLength?: number;
	/**
	Name of the upstream's instance.
	*/
	readonly instance?: string;
	/**
	Organisation of the caller as the catalogue tells it, empty on a route that needs no key; absent where the catalogue has no organisations.
	*/
	readonly organisation?: string;
	/**
	This host's name when it forwards to a carrier instead of sending to a backend server.
	*/
	readonly forwardedBy?: string;
	/**
	Set on a resend, so that the next tier does not retry it on its own.
	*/
	readonly retry?: string;
};

/**
Returns the headers of a request as they are sent on, as alternating names and values.
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
Header fields by lower-case name.
*/
export type HeaderFields = Record<string, string | string[] | undefined>;

/**
Returns the headers of an answer as they go to the caller.

@param outcome What the caller is told happened to its request.
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
Returns the names that a Connection header lists besides the usual words.
*/
export function getConnectionOptions(connection: string | undefined): ReadonlySet<string> | undefined {
	return connection === undefined || STANDARD_CONNECTION_OPTIONS.has(connection) ? undefined : new Set(connection.split(',').map(name => name.trim().toLowerCase()));
}
