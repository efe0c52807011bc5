/**
HTTP client of the admin port of one host.
*/
import {Buffer} from 'node:buffer';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as undici from 'undici';
import * as zod from 'zod';
import * as constants from './constants.ts';
import * as failures from './failures.ts';

/**
An answer with a status below 300. `revision` is read from its ETag.
*/
export type AdminAnswer = {
	readonly text: string;
	readonly revision: number | undefined;
};

/**
A failed request. If the host answered, `status` is that of the answer and `outcome` its header wagtailroute-outcome, or empty.
*/
export type AdminFailure = failures.CommandFailure & {
	readonly status?: number;
	readonly outcome?: string;
};

/**
A request to an admin port. `path` starts with a slash and is already encoded.
*/
export type AdminRequest = {
	readonly method: 'GET' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/**
Client of the admin port of one host. `close` waits for requests in flight.
*/
export type AdminClient = {
	readonly sendRequest: (request: AdminRequest) => Promise<results.Result<AdminAnswer, AdminFailure>>;
	readonly close: () => Promise<void>;
};

const PROBLEM_SCHEMA = zod.object({
	title: zod.string().optional(),
	detail: zod.string().optional(),
	revision: zod.number().optional(),
	errors: zod.unknown().optional(),
});

/**
Creates a client of the admin port at `address`. `token` is the bearer token of the operator.
*/
export function createAdminClient(address: core.Address, token: string | undefined): AdminClient {
	const origin = `http://${core.formatAddress(address)}`;
	const authorization: Record<string, string> = token === undefined ? {} : {authorization: `Bearer ${token}`};
	const agent = new undici.Agent({maxResponseSize: constants.MAX_ANSWER_BYTES});
	return {
		async sendRequest(request) {
			try {
				const response = await undici.request(origin + request.path, {
					method: request.method,
					headers: {...authorization, ...request.headers},
					body: request.body ?? null,
					dispatcher: agent,
					signal: AbortSignal.timeout(constants.ANSWER_TIMEOUT_MILLISECONDS),
				});
				const text = await response.body.text();
				return toAdminAnswer(response, text);
			} catch (error) {
				const message = `${core.formatAddress(address)} gave no answer: ${failures.describeError(error)}`;
				return results.Err(core.createFailure('unreachable', message));
			}
		},
		close: async () => agent.close(),
	};
}

/**
Parses the JSON of an answer and checks it against a schema.
*/
export function parseJsonAnswer<Value>(
	answer: AdminAnswer,
	schema: zod.ZodType<Value>,
): results.Result<Value, failures.CommandFailure> {
	try {
		return results.Ok(schema.parse(JSON.parse(answer.text)));
	} catch {
		const message = `The host's answer is not what was expected: ${failures.toSingleLine(answer.text).slice(0, 200)}`;
		return results.Err(core.createFailure('bad-answer', message));
	}
}

function toAdminAnswer(response: undici.Dispatcher.ResponseData, text: string): results.Result<AdminAnswer, AdminFailure> {
	const etag = /^"(?<revision>\d+)"$/v.exec(getHeaderText(response.headers.etag))?.groups;
	const revision = etag ? Number(etag.revision) : undefined;
	if (response.statusCode < 300) {
		return results.Ok({text, revision});
	}

	const outcome = getHeaderText(response.headers['wagtailroute-outcome']);
	const parts = [
		`${response.statusCode}`,
		describeProblem(text),
		...revision === undefined ? [] : [`the present revision is ${revision}`],
		...outcome === '' ? [] : [`outcome ${outcome}`],
	];
	return results.Err({
		kind: 'refused', message: failures.toSingleLine(parts.join(', ')), status: response.statusCode, outcome,
	});
}

function describeProblem(text: string): string {
	try {
		const problem = PROBLEM_SCHEMA.parse(JSON.parse(text));
		const errors = problem.errors === undefined ? undefined : JSON.stringify(problem.errors);
		return [problem.title, problem.detail, errors].filter(part => part !== undefined).join(': ');
	} catch {
		return Buffer.from(text).subarray(0, 200).toString();
	}
}

function getHeaderText(value: string | string[] | undefined): string {
	return Array.isArray(value) ? value[0] ?? '' : value ?? '';
}
