/**
The words that callers, this fleet and backend servers use in the headers of requests and answers. A fleet speaks the
product's own dialect, {@link DEFAULT_DIALECT}, or one that an adapter gives it.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import type * as results from 'ts-results-es';
import {createProblem, type Problem} from './answers.ts';
import {RESERVED_PREFIX} from './constants.ts';
import {isShedAnswer} from './endings.ts';
import type {RequestFailure} from './failures.ts';
import {
	createAnswerHeaders,
	createRequestHeaders,
	type HeaderFields,
	type RequestHeaderOptions,
} from './headers.ts';
import {type CallerRequest, parseRequest} from './requests.ts';

/**
What a backend server's answer is. `answer`: to this request. `shed`: it says that it did not run the request. `misdirected`:
the same, and that another instance has the address. `unclear`: it must not reach the caller, who would read a promise in it
that nobody gave. `foreign`: the answer to another request.
*/
export type AnswerKind = 'answer' | 'shed' | 'misdirected' | 'unclear' | 'foreign';

/**
A dialect.
*/
export type Dialect = {
	readonly parseRequest: (message: http.IncomingMessage) => results.Result<CallerRequest, RequestFailure>;
	/**
	Returns the headers of a request as they are sent on, as alternating names and values.
	*/
	readonly createRequestHeaders: (message: http.IncomingMessage, options: RequestHeaderOptions) => string[];
	readonly readAnswer: (status: number, headers: HeaderFields, request: CallerRequest) => AnswerKind;
	/**
	Returns what a backend server advertises about itself in the header section of an answer.
	*/
	readonly readAdvertisements: (status: number, headers: HeaderFields) => readonly core.Advertisement[];
	readonly createAnswerHeaders: (headers: HeaderFields, outcome: core.Outcome) => Record<string, string | string[]>;
	/**
	Creates the answer that the fleet itself gives to a failed request.

	@param random Uniform in [0, 1): spreads the advice when to send again.
	*/
	readonly createProblem: (failure: RequestFailure, random: () => number) => Problem;
	/**
	Says whether the fleet answers a path itself.
	*/
	readonly isReserved: (path: string) => boolean;
	/**
	Backend servers promise that a request they shed never runs, so that one without a key may be sent to another.
	*/
	readonly isShedPromise: boolean;
};

/**
The product's own dialect.
*/
export const DEFAULT_DIALECT: Dialect = {
	parseRequest,
	createRequestHeaders,
	readAnswer: (status, headers) => isShedAnswer(status, headers) ? 'shed' : 'answer',
	readAdvertisements: () => [],
	createAnswerHeaders,
	createProblem,
	isReserved: path => path.startsWith(RESERVED_PREFIX),
	isShedPromise: false,
};
