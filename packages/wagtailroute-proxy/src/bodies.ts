/**
Bodies of requests. Small ones are buffered, so that they can be sent again and digested; of large ones only the first part is
buffered, and the rest is streamed with back-pressure.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as results from 'ts-results-es';
import {MAX_REPLAYABLE_BODY_BYTES, PACED_CHUNK_BYTES} from './constants.ts';
import {createRequestFailure, type RequestFailure} from './failures.ts';
import {type Pacer, UNLIMITED_PACER} from './pacing.ts';
import {getChunks} from './remainder.ts';
import type {CallerRequest} from './requests.ts';

/**
What the pacing of a body needs.
*/
export type BodyPacer = Pick<Pacer, 'reserve'>;

/**
A body of which the first part is buffered.
*/
export type Body = {
	/**
	The whole body, or its first part when it is larger than `MAX_REPLAYABLE_BODY_BYTES`.
	*/
	readonly prefix: buffer.Buffer;
	/**
	The part that was not read yet; absent when the prefix is the whole body.
	*/
	readonly rest?: AsyncIterator<buffer.Buffer>;
	readonly limitBytes: number;
};

/**
A streamed body that ended early or exceeded its limit.
*/
export class BodyError extends Error {
	override readonly name = 'BodyError';
	get code(): string {
		return 'BODY_CUT_OFF';
	}
}

/**
The result of reading the body of a request without one.
*/
export const NO_BODY = results.Ok<Body>({prefix: buffer.Buffer.alloc(0), limitBytes: 0});

/**
Reads a body up to the size that is buffered.

@param limitBytes Maximum size of the body; a body with a larger Content-Length is refused before anything is read.
*/
export async function readBody(
	message: http.IncomingMessage,
	request: CallerRequest,
	limitBytes: number,
	pacer: BodyPacer = UNLIMITED_PACER,
): Promise<results.Result<Body, RequestFailure>> {
	if (!request.hasBody) {
		return NO_BODY;
	}

	if ((request.contentLength ?? 0) > limitBytes) {
		return results.Err(createRequestFailure('body-too-large', `The body is larger than ${limitBytes} bytes.`));
	}

	const rest = getChunks(message);
	const chunks: buffer.Buffer[] = [];
	let size = 0;
	try {
		while (size <= MAX_REPLAYABLE_BODY_BYTES) {
			// eslint-disable-next-line no-await-in-loop -- The chunks of a body arrive one after the other.
			const chunk = await rest.next();
			if (chunk.done === true) {
				return size > limitBytes ? results.Err(createTooLargeFailure(limitBytes)) : results.Ok({prefix: buffer.Buffer.concat(chunks), limitBytes});
			}

			chunks.push(chunk.value);
			size += chunk.value.length;
			// eslint-disable-next-line no-await-in-loop -- See above.
			await applyPacing(pacer, chunk.value.length);
		}
	} catch {
		return results.Err(createRequestFailure('body-cut-by-caller', 'The body ended early.'));
	}

	return size > limitBytes
		? results.Err(createTooLargeFailure(limitBytes))
		: results.Ok({prefix: buffer.Buffer.concat(chunks), rest, limitBytes});
}

function createTooLargeFailure(limitBytes: number): RequestFailure {
	return createRequestFailure('body-too-large', `The body is larger than ${limitBytes} bytes.`);
}

/**
Returns whether the body can be sent again after an attempt that may have sent some of it.
*/
export function isReplayable(body: Body): boolean {
	return body.rest === undefined;
}

/**
Returns the body in the form that undici accepts; undefined for an empty body.
*/
export function getSendableBody(body: Body, pacer: BodyPacer = UNLIMITED_PACER): buffer.Buffer | AsyncIterable<buffer.Buffer> | undefined {
	if (body.rest !== undefined) {
		return streamBody(body, body.rest, pacer);
	}

	if (pacer !== UNLIMITED_PACER && body.prefix.length > PACED_CHUNK_BYTES) {
		return yieldChunks(body.prefix, pacer);
	}

	return body.prefix.length === 0 ? undefined : body.prefix;
}

/**
Returns the Content-Length to send; undefined when undici determines it, or when it is unknown.
*/
export function getContentLength(body: Body, request: CallerRequest): number | undefined {
	if (body.rest !== undefined) {
		return request.contentLength;
	}

	return body.prefix.length > PACED_CHUNK_BYTES ? body.prefix.length : undefined;
}

async function applyPacing(pacer: BodyPacer, bytes: number): Promise<void> {
	const milliseconds = pacer.reserve(bytes);
	if (milliseconds >= 1) {
		await timers.setTimeout(milliseconds);
	}
}

async function * yieldChunks(bytes: buffer.Buffer, pacer: BodyPacer): AsyncIterable<buffer.Buffer> {
	if (pacer === UNLIMITED_PACER) {
		yield bytes;
		return;
	}

	for (let start = 0; start < bytes.length; start += PACED_CHUNK_BYTES) {
		const chunk = bytes.subarray(start, start + PACED_CHUNK_BYTES);
		yield chunk;
		// eslint-disable-next-line no-await-in-loop -- The chunks are sent one after the other.
		await applyPacing(pacer, chunk.length);
	}
}

async function * streamBody(body: Body, rest: AsyncIterator<buffer.Buffer>, pacer: BodyPacer): AsyncIterable<buffer.Buffer> {
	let size = body.prefix.length;
	yield * yieldChunks(body.prefix, pacer);
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- The chunks of a body arrive one after the other.
		const chunk = await rest.next();
		if (chunk.done === true) {
			return;
		}

		size += chunk.value.length;
		if (size > body.limitBytes) {
			// Ends the attempt, so that the backend server sees a truncated request and never one that looks complete.
			throw new BodyError(`The body is larger than ${body.limitBytes} bytes.`);
		}

		yield * yieldChunks(chunk.value, pacer);
	}
}
