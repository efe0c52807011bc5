/**
One request at a stand-in and the ways to answer it.
*/
import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as stream from 'node:stream';
import type * as utils from 'wagtailroute-utils';
import type {Counters} from './counters.ts';
import * as constants from './constants.ts';

/**
What was read of a request's body: its length in bytes, its digest in hexadecimal, and its first bytes.
*/
export type ReadBody = {
	readonly length: number;
	readonly digest: string;
	readonly head: Buffer;
};

/**
A request under way. `signal` is aborted when the caller went away or its deadline passed.
*/
export type Exchange = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly signal: AbortSignal;
	readonly random: utils.Random;
	readonly counters: Counters;
	/**
	Age of the server in milliseconds since its last start.
	*/
	readonly age: number;
	readonly crash: (backAfterMilliseconds: number | undefined) => void;
};

/**
An answer, whole in memory or streamed. `length` is undefined when it isn't known beforehand.
*/
export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Buffer | (() => stream.Readable);
	readonly length: number | undefined;
};

// Told as the length of an answer of unknown length that is going to be cut off.
const CUT_LENGTH_BYTES = 1_048_576;

/**
Reads a body to its end; rejects when the caller breaks off.
*/
export async function readBody(request: http.IncomingMessage): Promise<ReadBody> {
	const hash = crypto.createHash('sha256');
	const head: Buffer[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		hash.update(chunk);
		if (length < constants.SEARCHED_BODY_BYTES) {
			head.push(chunk.subarray(0, constants.SEARCHED_BODY_BYTES - length));
		}

		length += chunk.length;
	}

	return {length, digest: hash.digest('hex'), head: Buffer.concat(head)};
}

/**
Creates an answer with a JSON body.
*/
export function createJsonAnswer(status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): Answer {
	const body = Buffer.from(JSON.stringify(value));
	return {
		status, headers: {'content-type': 'application/json', ...headers}, body, length: body.length,
	};
}

/**
Sends an answer to its end, at the pace of the caller; rejects when the caller breaks off.
*/
export async function sendAnswer(response: http.ServerResponse, answer: Answer): Promise<void> {
	const framing: Record<string, string | number> = answer.length === undefined ? {} : {'content-length': answer.length};
	response.writeHead(answer.status, {...answer.headers, ...framing});
	if (typeof answer.body === 'function') {
		await stream.promises.pipeline(answer.body(), response);
		return;
	}

	response.end(answer.body);
}

/**
Sends the head of an answer and about half of its body (at most one block of a streamed one), then breaks the connection.
*/
export async function cutAnswer(
	response: http.ServerResponse,
	answer: Answer,
	manner: 'length' | 'chunked' | 'reset',
): Promise<void> {
	const length = answer.length ?? CUT_LENGTH_BYTES;
	const framing: Record<string, string | number> = manner === 'chunked' ? {} : {'content-length': length};
	response.writeHead(answer.status, {...answer.headers, ...framing});
	const part = await getFirstPart(answer);
	await new Promise<void>(resolve => {
		response.write(part, () => {
			resolve();
		});
	});
	if (manner === 'reset') {
		response.socket?.resetAndDestroy();
		return;
	}

	response.socket?.destroySoon();
}

async function getFirstPart(answer: Answer): Promise<Buffer> {
	if (typeof answer.body !== 'function') {
		return answer.body.subarray(0, Math.floor(answer.body.length / 2));
	}

	const body = answer.body();
	const first = await body[Symbol.asyncIterator]().next() as IteratorResult<Buffer, undefined>;
	return first.value?.subarray(0, Math.ceil(first.value.length / 2)) ?? Buffer.alloc(0);
}
