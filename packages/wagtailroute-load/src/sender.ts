/**
Sends one attempt of a request and reads its answer to the end.
*/
import type {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import * as constants from './constants.ts';
import * as requests from './requests.ts';
import type {Ending} from './tally.ts';
import type * as truths from './truth.ts';

/**
What came of an attempt. `wrong` describes an answer that isn't the whole answer to this very request.
*/
export type Attempt = {
	readonly ending: Ending;
	readonly status: number | undefined;
	readonly told: truths.Told;
	readonly wrong: string | undefined;
};

/**
Sends over kept connections.
*/
export type Sender = {
	readonly send: (address: core.Address, request: requests.PlannedRequest) => Promise<Attempt>;
	readonly close: () => Promise<void>;
};

const OUTCOMES: ReadonlySet<string> = new Set<core.Outcome>(['ran', 'not-run', 'unknown']);

/**
What the codes of errors mean. Any other is no answer or, after its status, a broken one.
*/
const ENDINGS: ReadonlyMap<string, Ending> = new Map([
	['ECONNREFUSED', 'refused'],
	['UND_ERR_CONNECT_TIMEOUT', 'refused'],
	['UND_ERR_HEADERS_TIMEOUT', 'timed-out'],
	['UND_ERR_BODY_TIMEOUT', 'timed-out'],
]);

/**
Creates a sender with at most `connections` to each address.
*/
export function createSender(connections: number): Sender {
	const agent = new undici.Agent({connections, pipelining: 1});
	return {
		async send(address, request) {
			let status: number | undefined;
			let told: truths.Told = 'lost';
			try {
				const timeout = getTimeout(request);
				const response = await agent.request({
					origin: `http://${core.formatAddress(address)}`,
					path: request.path,
					method: request.kind.method,
					headers: request.headers,
					body: requests.createBody(request),
					headersTimeout: timeout,
					bodyTimeout: timeout,
				});
				status = response.statusCode;
				told = readTold(response.headers['wagtailroute-outcome']);
				const body = await receiveBody(response.body, request.kind.answer === 'json');
				const wrong = status === 200
					? requests.findWrong(request, getText(response.headers['x-request-id']), body)
					: undefined;
				return {
					ending: 'whole', status, told, wrong,
				};
			} catch (error) {
				return {
					ending: getEnding(error, status), status, told, wrong: undefined,
				};
			}
		},
		close: async () => agent.destroy(),
	};
}

async function receiveBody(body: AsyncIterable<Buffer>, isKept: boolean): Promise<requests.ReceivedBody> {
	const hash = crypto.createHash('sha256');
	let bytes = 0;
	let text = '';
	for await (const chunk of body) {
		bytes += chunk.length;
		hash.update(chunk);
		if (isKept && text.length < constants.BUFFERED_BODY_BYTES) {
			text += chunk.toString('latin1');
		}
	}

	return {bytes, digest: hash.digest('hex'), text};
}

function getTimeout(request: requests.PlannedRequest): number {
	const own = request.kind.timeoutMilliseconds;
	return own === undefined ? constants.REQUEST_TIMEOUT_MILLISECONDS : own + constants.TIMEOUT_MARGIN_MILLISECONDS;
}

function readTold(value: string | string[] | undefined): truths.Told {
	const text = getText(value);
	return text !== undefined && OUTCOMES.has(text) ? text as core.Outcome : 'untold';
}

function getEnding(error: unknown, status: number | undefined): Ending {
	const {code} = error as {readonly code?: string};
	return ENDINGS.get(code ?? '') ?? (status === undefined ? 'no-answer' : 'broken');
}

function getText(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}
