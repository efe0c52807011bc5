/**
Problem documents (RFC 9457) of the directory, the announcements and the admin port.
*/
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as proxy from 'wagtailroute-proxy';

/**
Extension members of a problem document.
*/
export type ProblemFields = Readonly<Record<string, string | number>>;

const UNAVAILABLE_STATUS = 503;
const RETRY_AFTER_SECONDS = '1';

/**
Error types of Proxy-Status (RFC 9209) by status.
*/
const PROXY_ERRORS: ReadonlyMap<number, string> = new Map([
	[401, 'http_request_denied'],
	[404, 'destination_not_found'],
	[UNAVAILABLE_STATUS, 'destination_unavailable'],
	[507, 'proxy_internal_error'],
]);

/**
Answers with a problem document. The outcome is 'not-run', nothing was changed, unless `fields` holds another one.
*/
export function answerProblem(
	response: http.ServerResponse,
	status: number,
	failure: core.Failure,
	fields: ProblemFields = {},
): void {
	const outcome = String(fields.outcome ?? 'not-run');
	const problem = {
		type: `urn:wagtailroute:problem:${failure.kind}`,
		title: failure.kind.replaceAll('-', ' '),
		status,
		detail: failure.message,
		outcome,
		...fields,
	};
	proxy.answerJson(response, status, problem, {
		'content-type': 'application/problem+json',
		'wagtailroute-outcome': outcome,
		'proxy-status': proxy.createProxyStatus(PROXY_ERRORS.get(status) ?? 'http_request_error'),
		...fields.revision !== undefined && {etag: `"${fields.revision}"`},
		...status === UNAVAILABLE_STATUS && {'retry-after': RETRY_AFTER_SECONDS},
		...!proxy.isFullyRead(response.req) && {connection: 'close'},
	});
}

/**
Answers 404 for a name that is not in the catalogue.
*/
export function answerUnknownEntry(response: http.ServerResponse, name: string): void {
	answerProblem(response, 404, core.createFailure('entry-unknown', `There is no entry ${name}.`), {revision: 0});
}
