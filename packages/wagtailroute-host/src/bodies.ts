/**
Reads bodies of requests that the fleet answers itself, up to a size limit.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';

/**
Reason for which a body was not read.
*/
export type BodyFailure = core.Failure<'body-too-large' | 'body-cut-off'>;

/**
Reads a body as UTF-8 text; fails when it is longer than the limit or the connection ends before it is complete.
*/
export async function readText(
	message: http.IncomingMessage,
	limitBytes: number,
): Promise<results.Result<string, BodyFailure>> {
	const chunks: buffer.Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of message.iterator({destroyOnReturn: false}) as AsyncIterable<buffer.Buffer>) {
			size += chunk.length;
			if (size > limitBytes) {
				return results.Err(core.createFailure('body-too-large', `The body is larger than ${limitBytes} bytes.`));
			}

			chunks.push(chunk);
		}
	} catch {
		return results.Err(core.createFailure('body-cut-off', 'The body ended early.'));
	}

	return results.Ok(buffer.Buffer.concat(chunks).toString());
}
