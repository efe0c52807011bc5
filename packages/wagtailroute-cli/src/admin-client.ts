/**
Asks the admin port of one host over HTTP.
*/
import {Buffer} from 'node:buffer';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as undici from 'undici';
import * as zod from 'zod';
import * as constants from './constants.ts';
import * as failures from './failures.ts';

/**
An answer with a status below 300. `revision` is that of its ETag.
*/
export type AdminAnswer = {
	readonly text: string;
	readonly revision: number | undefined;
};

/**
A failed question: what is told to the operator, with the status and the outcome where the host answered.
*/
export type AdminFailure = failures.CommandFailure & {
	readonly status?: number;
	readonly outcome?: string;
};

/**
One question.
*/
export type AdminQuestion = {
	readonly method: 'GET' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/**
Asks one host.
*/
export type AdminClient = {
	readonly ask: (question: AdminQuestion) => Promise<results.Result<AdminAnswer, AdminFailure>>;
	readonly close: () => Promise<void>;
};

const PROBLEM = zod.object({
	title: zod.string().optional(),
	detail: zod.string().optional(),
	revision: zod.number().optional(),
	errors: zod.unknown().optional(),
});

/**
Creates a client of the host at `address`.
*/
export function createAdminClient(address: core.Address, token: string | undefined): AdminClient {
	const origin = `http://${core.formatAddress(address)}`;
	const authorization: Record<string, string> = token === undefined ? {} : {authorization: `Bearer ${token}`};
	const agent = new undici.Agent({maxResponseSize: constants.ANSWER_BYTES});
	return {
		async ask(question) {
			try {
				const response = await undici.request(origin + question.path, {
					method: question.method,
					headers: {...authorization, ...question.headers},
					body: question.body ?? null,
					dispatcher: agent,
					signal: AbortSignal.timeout(constants.ANSWER_TIMEOUT_MILLISECONDS),
				});
				const text = await response.body.text();
				return readAnswer(response, text);
			} catch (error) {
				const message = `${core.formatAddress(address)} gave no answer: ${failures.describeError(error)}`;
				return results.Err(core.createFailure('unreachable', message));
			}
		},
		close: async () => agent.close(),
	};
}

/**
Parses an answer that has to be JSON of a certain shape.
*/
export function parseAnswer<Value>(
	answer: AdminAnswer,
	schema: zod.ZodType<Value>,
): results.Result<Value, failures.CommandFailure> {
	try {
		return results.Ok(schema.parse(JSON.parse(answer.text)));
	} catch {
		const message = `The host's answer is not what was expected: ${failures.toLine(answer.text).slice(0, 200)}`;
		return results.Err(core.createFailure('bad-answer', message));
	}
}

function readAnswer(response: undici.Dispatcher.ResponseData, text: string): results.Result<AdminAnswer, AdminFailure> {
	const etag = /^"(?<revision>\d+)"$/v.exec(getText(response.headers.etag))?.groups;
	const revision = etag ? Number(etag.revision) : undefined;
	if (response.statusCode < 300) {
		return results.Ok({text, revision});
	}

	const outcome = getText(response.headers['wagtailroute-outcome']);
	const parts = [
		`${response.statusCode}`,
		describeProblem(text),
		...revision === undefined ? [] : [`the present revision is ${revision}`],
		...outcome === '' ? [] : [`outcome ${outcome}`],
	];
	return results.Err({
		kind: 'refused', message: failures.toLine(parts.join(', ')), status: response.statusCode, outcome,
	});
}

function describeProblem(text: string): string {
	try {
		const problem = PROBLEM.parse(JSON.parse(text));
		const errors = problem.errors === undefined ? undefined : JSON.stringify(problem.errors);
		return [problem.title, problem.detail, errors].filter(part => part !== undefined).join(': ');
	} catch {
		return Buffer.from(text).subarray(0, 200).toString();
	}
}

function getText(value: string | string[] | undefined): string {
	return Array.isArray(value) ? value[0] ?? '' : value ?? '';
}
