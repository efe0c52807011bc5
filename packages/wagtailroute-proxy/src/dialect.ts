/**
Dialects: the headers and statuses that callers, the fleet and backend servers use in requests and answers. A fleet uses
{@link DEFAULT_DIALECT}, or a dialect that an adapter supplies.
*/
import type * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import type * as results from 'ts-results-es';
import {createProblem, type Problem} from './answers.ts';
import {RESERVED_PREFIX} from './constants.ts';
import {isShedAnswer} from './endings.ts';
import type {RequestFailure} from './failures.ts';
import type {Target} from './ports.ts';
import {
	createAnswerHeaders,
	createRequestHeaders,
	type HeaderFields,
	type RequestHeaderOptions,
} from './headers.ts';
import {type CallerRequest, parseRequest} from './requests.ts';

/**
Classification of a backend server's answer. `answer`: the answer to this request. `shed`: it states that the request was not
run. `misdirected`: like `shed`, and another instance has the address. `unclear`: it must not be relayed, as the caller would
take its status for a promise that the request was not run. `foreign`: the answer to another request. `final`: the answer of another host that has made all attempts
that the request may have.
*/
export type AnswerKind = 'answer' | 'shed' | 'misdirected' | 'unclear' | 'foreign' | 'final';

/**
Reads and creates the headers and problem documents of one dialect.
*/
export type Dialect = {
	readonly parseRequest: (message: http.IncomingMessage) => results.Result<CallerRequest, RequestFailure>;
	/**
	Returns the headers of the request to send to the target, as alternating names and values.
	*/
	readonly createRequestHeaders: (message: http.IncomingMessage, options: RequestHeaderOptions) => string[];
	/**
	@param source Receiver of the request: a backend server, or another host of the fleet.
	*/
	readonly readAnswer: (status: number, headers: HeaderFields, request: CallerRequest, source: Target['kind']) => AnswerKind;
	/**
	Returns the advertisements of a backend server about itself in the header section of an answer.
	*/
	readonly readAdvertisements: (status: number, headers: HeaderFields) => readonly core.Advertisement[];
	readonly createAnswerHeaders: (headers: HeaderFields, outcome: core.Outcome) => Record<string, string | string[]>;
	/**
	Creates the answer of the fleet to a failed request.

	@param random Uniform in [0, 1); spreads `Retry-After`.
	*/
	readonly createProblem: (failure: RequestFailure, random: () => number) => Problem;
	/**
	Returns whether the fleet answers a path itself instead of forwarding.
	*/
	readonly isReserved: (path: string) => boolean;
	/**
	Returns the headers of a health check that is meant for one instance.
	*/
	readonly createProbeHeaders: (instance: core.UpstreamId) => Readonly<Record<string, string>>;
	/**
	Returns whether a health check was answered by another instance than the one that it was meant for.
	*/
	readonly isAnswerOfOther: (status: number, headers: HeaderFields, instance: core.UpstreamId) => boolean;
	/**
	Whether backend servers guarantee that a shed request never runs, so that one without an idempotency key may be sent to another.
	*/
	readonly isShedPromise: boolean;
};

/**
The dialect of the product itself.
*/
export const DEFAULT_DIALECT: Dialect = {
	parseRequest,
	createRequestHeaders,
	readAnswer: (status, headers) => isShedAnswer(status, headers) ? 'shed' : 'answer',
	readAdvertisements: () => [],
	createAnswerHeaders,
	createProblem,
	isReserved: path => path.startsWith(RESERVED_PREFIX),
	createProbeHeaders: () => ({}),
	isAnswerOfOther: () => false,
	isShedPromise: false,
};
