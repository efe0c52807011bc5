/**
Makes the requests of a run and says what a good answer to each is.
*/
import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as stream from 'node:stream';
import * as standins from 'wagtailroute-standin';
import * as utils from 'wagtailroute-utils';
import * as constants from './constants.ts';
import * as mixes from './mix.ts';

/**
A request to be sent. `seed` gives its body and the answer it asks for.
*/
export type PlannedRequest = {
	readonly id: string;
	readonly seed: number;
	readonly kind: mixes.MixRequest;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

/**
Returns the next request of the run.
*/
export type RequestSource = () => PlannedRequest;

/**
Creates the source of requests. Ids begin with `prefix`, which is unique to the run: counts of earlier runs at the same
stand-ins must not be taken for this run's.
*/
export function createRequestSource(mix: mixes.Mix, random: utils.Random, prefix: string): RequestSource {
	const pick = mixes.createPicker(mix, random);
	let seed = 0;
	return () => {
		seed++;
		const kind = pick();
		const id = `${prefix}-${seed}`;
		return {
			id, seed, kind, path: createPath(kind, seed), headers: createHeaders(mix, random, kind, id),
		};
	};
}

/**
Creates the body of a request; null for none. Each call gives a new one, for a resend.
*/
export function createBody(request: PlannedRequest): Buffer | stream.Readable | null {
	const {bodyBytes} = request.kind;
	if (bodyBytes === 0) {
		return null;
	}

	const blocks = standins.generateBytes(request.seed, bodyBytes);
	return bodyBytes > constants.BUFFERED_BODY_BYTES
		? stream.Readable.from(blocks, {objectMode: false})
		: Buffer.concat([...blocks]);
}

/**
Says why an answer with status 200 isn't the whole answer to this very request; undefined for a good one.
*/
export function findWrong(request: PlannedRequest, answerId: string | undefined, body: ReceivedBody): string | undefined {
	const {kind} = request;
	if (kind.method === 'HEAD') {
		return undefined;
	}

	return kind.answer !== 'any' && answerId !== request.id ? `${request.id} got the answer to ${answerId ?? 'no request'}` : CHECKS[kind.answer](request, body);
}

/**
What came as the body of an answer. `text` is kept only where the answer is JSON.
*/
export type ReceivedBody = {
	readonly bytes: number;
	readonly digest: string;
	readonly text: string;
};

type Check = (request: PlannedRequest, body: ReceivedBody) => string | undefined;

/**
How each kind of answer is checked.
*/
const CHECKS: Readonly<Record<mixes.MixRequest['answer'], Check>> = {
	any: () => undefined,
	bytes: (request, body) => checkBytes(request, body, request.kind.answerBytes),
	body: (request, body) => checkBytes(request, body, request.kind.bodyBytes),
	json(request, body) {
		const expected = {requestId: request.id, bodySha256: standins.digestGeneratedBytes(request.seed, request.kind.bodyBytes)};
		const received = parseJson(body.text);
		const isGood = received.requestId === expected.requestId && received.bodySha256 === expected.bodySha256;
		return isGood ? undefined : `${request.id} got ${body.text.slice(0, 200)}`;
	},
};

function checkBytes(request: PlannedRequest, body: ReceivedBody, expectedBytes: number): string | undefined {
	if (body.bytes !== expectedBytes) {
		return `${request.id} got ${body.bytes} of ${expectedBytes} bytes, ended as if whole`;
	}

	const isSame = body.digest === standins.digestGeneratedBytes(request.seed, expectedBytes);
	return isSame ? undefined : `${request.id} got ${body.bytes} bytes that aren't its own`;
}

function parseJson(text: string): {readonly requestId?: unknown; readonly bodySha256?: unknown} {
	try {
		return JSON.parse(text) as {readonly requestId?: unknown};
	} catch {
		return {};
	}
}

function createPath(kind: mixes.MixRequest, seed: number): string {
	const prefix = kind.path === '/' ? '' : kind.path;
	const paths: Readonly<Record<mixes.MixRequest['answer'], string>> = {
		any: kind.path,
		json: kind.path,
		bytes: `${prefix}/bytes/${kind.answerBytes}?seed=${seed}`,
		body: `${prefix}/echo`,
	};
	return paths[kind.answer];
}

function createHeaders(mix: mixes.Mix, random: utils.Random, kind: mixes.MixRequest, id: string): Record<string, string> {
	return {
		'x-request-id': id,
		...kind.bodyBytes > 0 && {'content-type': 'application/octet-stream', 'content-length': String(kind.bodyBytes)},
		...kind.host !== undefined && {host: kind.host},
		...kind.key && {'idempotency-key': `"${crypto.hash('sha256', id).slice(0, 32)}"`},
		...kind.timeoutMilliseconds !== undefined && {'request-timeout-ms': String(kind.timeoutMilliseconds)},
		...mix.organisations > 0 && {'wagtailroute-organisation': `org-${utils.pickIndex(random, mix.organisations)}`},
	};
}
