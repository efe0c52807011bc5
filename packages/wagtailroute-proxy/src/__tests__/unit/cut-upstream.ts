/**
A stand-in backend server that cuts its responses.
*/
import type {ExecutionContext} from 'ava';
import {type Closing, type CutResponse, cutResponse} from './cut-cases.ts';
import {createResponse, type RawUpstream, startRawUpstream} from './raw-upstream.ts';

const PATH_PATTERN = /\/cut\/(?<cut>\d+)$/v;

/**
A response that is cut, and how.
*/
export type Cuts = {
	readonly response: CutResponse;
	readonly closing: Closing;
	/**
	The response comes byte by byte.
	*/
	readonly isSlow?: boolean;
};

/**
Starts a server that cuts its responses to `/cut/<position>`, and sends their own path to all other requests.
*/
export async function startCutUpstream(t: ExecutionContext, {response, closing, isSlow = false}: Cuts): Promise<RawUpstream> {
	return startRawUpstream(t, path => {
		const cut = PATH_PATTERN.exec(path)?.groups?.cut;
		return cut === undefined
			? createResponse(path)
			: {
				head: cutResponse(response, Number(cut)), isClosed: closing === 'closed', isReset: closing === 'reset', isSlow,
			};
	});
}
