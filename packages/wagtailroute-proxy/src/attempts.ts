/**
One attempt: sends a request to one target, and relays the answer to the caller with back-pressure or discards it.

The outcome reported to the caller depends on how far the attempt came, so the result states exactly that: nothing sent, sent
without an answer, answer relayed whole, answer cut off.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as undici from 'undici';
import {MAX_DISCARDED_ANSWER_BYTES, MAX_STORED_ANSWER_BYTES} from './constants.ts';
import {FOREIGN_ANSWER_CODE, UNRELAYABLE_HEAD_CODE} from './endings.ts';
import {readFraming} from './framing.ts';
import {type HeaderFields} from './headers.ts';
import type {HeldBytes} from './held-bytes.ts';
import type {Transfer} from './large-responses.ts';
import type {Pacer} from './pacing.ts';
import {relayHead} from './response-head.ts';
import {ResponseRelay} from './response-relay.ts';
import type {ResponseSize, StoredAnswer} from './ports.ts';

/**
Result of an attempt. `code` is an error code of Node, undici or this package.
*/
export type AttemptResult =
	/**
	No byte of the request was sent.
	*/
	| {readonly kind: 'not-sent'; readonly code: string}
	/**
	The request was sent at least in part, and no answer arrived.
	*/
	| {readonly kind: 'lost'; readonly code: string}
	/**
	The answer was not relayed; another attempt may follow.
	*/
	| {readonly kind: 'discarded'; readonly status: number; readonly isShed: boolean; readonly isMisdirected?: boolean}
	| {readonly kind: 'relayed'; readonly status: number; readonly answer?: StoredAnswer; readonly responseSize?: ResponseSize}
	/**
	The answer was cut off after some of it was relayed.
	*/
	| {readonly kind: 'truncated'; readonly status: number; readonly code: string; readonly responseSize?: ResponseSize};

/**
What is done with an answer. `relay`: send it to the caller. `shed`, `misdirected`: discard it, the target did not run the request.
`repeat`: discard it, another attempt may follow. `foreign`: it answers another request, so the connection is closed.
*/
export type AnswerAction = 'relay' | 'shed' | 'misdirected' | 'repeat' | 'foreign';

/**
The request that an attempt sends, and the handling of its answer.
*/
export type AttemptOptions = {
	readonly pool: undici.Dispatcher;
	readonly method: string;
	readonly requestTarget: string;
	/**
	Alternating names and values.
	*/
	readonly headers: string[];
	readonly body: buffer.Buffer | AsyncIterable<buffer.Buffer> | undefined;
	readonly response: http.ServerResponse;
	/**
	Pacer of large responses, and the count of the bytes that are held for them.
	*/
	readonly pacer?: Pacer;
	readonly heldBytes: HeldBytes;
	/**
	Absent for a response that is expected to be small.
	*/
	readonly transfer?: Transfer;
	/**
	Decides what is done with an answer, when its header section has arrived.
	*/
	readonly decideAnswer: (status: number, headers: HeaderFields) => AnswerAction;
	/**
	Creates the headers of a relayed answer.
	*/
	readonly createAnswerHeaders: (headers: HeaderFields) => Record<string, string | string[]>;
	/**
	Whether the result of a relayed answer includes a copy of it.
	*/
	readonly isAnswerStored: boolean;
	/**
	Called once, when the header section of the answer has arrived.
	*/
	readonly onAnswerHeaders: () => void;
};

/**
An attempt in progress.
*/
export type Attempt = {
	readonly result: Promise<AttemptResult>;
	/**
	Aborts the attempt: its connection is destroyed, and its result resolves at once with the code.
	*/
	readonly abort: (code: string) => void;
	/**
	Returns whether the request was sent, at least in part.
	*/
	readonly isSent: () => boolean;
	/**
	Resolves when the relayed answer was written to the caller, which may be later than the result.
	*/
	readonly delivered: Promise<void>;
};

type Phase = 'waiting' | 'sent' | 'relaying' | 'discarding' | 'ended';

/**
Starts an attempt. Its result never rejects.
*/
export function startAttempt(options: AttemptOptions): Attempt {
	const {promise, resolve} = Promise.withResolvers<AttemptResult>();
	const handler = new AttemptHandler(options, resolve);
	options.pool.dispatch({
		path: options.requestTarget,
		method: options.method,
		headers: options.headers,
		body: (options.body ?? null) as undici.Dispatcher.DispatchOptions['body'],
	}, handler);
	return {
		result: promise,
		abort(code) {
			handler.abort(code);
		},
		isSent: handler.isSent,
		delivered: handler.delivered,
	};
}

/**
Returns an attempt that has ended before anything was sent.
*/
export function createUnsentAttempt(code: string): Attempt {
	return {
		result: Promise.resolve({kind: 'not-sent', code}),
		abort: () => undefined,
		isSent: () => false,
		delivered: Promise.resolve(),
	};
}

class AttemptHandler implements undici.Dispatcher.DispatchHandler {
	#phase: Phase = 'waiting';
	#controller: undici.Dispatcher.DispatchController | undefined;
	#action: AnswerAction = 'relay';
	#status = 0;
	#receivedBytes = 0;
	#statedBytes: number | undefined;
	#storedChunks: buffer.Buffer[] | undefined;
	#headers: Record<string, string | string[]> = {};
	readonly #relay: ResponseRelay;
	readonly #options: AttemptOptions;
	readonly #resolve: (result: AttemptResult) => void;

	constructor(options: AttemptOptions, resolve: (result: AttemptResult) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#storedChunks = options.isAnswerStored ? [] : undefined;
		this.#relay = new ResponseRelay({
			response: options.response,
			pacer: options.pacer,
			heldBytes: options.heldBytes,
			onWritten(bytes) {
				options.transfer?.recordSent(bytes);
			},
			pauseReading: () => {
				this.#controller?.pause();
			},
			resumeReading: () => {
				this.#controller?.resume();
			},
		});
	}

	get delivered(): Promise<void> {
		return this.#relay.delivered;
	}

	readonly isSent = () => this.#phase !== 'waiting';

	abort(code: string): void {
		this.#fail(code);
		this.#controller?.abort(new Error(code));
	}

	// Called by undici before the first byte is written.
	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#phase === 'ended') {
			// Aborted while it waited for a connection and reported as not run, so nothing may be sent any more.
			controller.abort(new Error('Attempt aborted before the request was sent'));
			return;
		}

		this.#phase = 'sent';
	}

	onResponseStart(
		_controller: undici.Dispatcher.DispatchController,
		status: number,
		headers: HeaderFields,
		statusText?: string,
	): void {
		const isInterim = status < 200;
		if (isInterim || this.#phase === 'ended') {
			return;
		}

		this.#status = status;
		this.#statedBytes = parseContentLength(headers);
		this.#options.onAnswerHeaders();
		if (readFraming(this.#options.method, status, headers) === 'unclear') {
			this.abort(UNRELAYABLE_HEAD_CODE);
			return;
		}

		this.#action = this.#options.decideAnswer(status, headers);
		if (this.#action === 'foreign') {
			this.abort(FOREIGN_ANSWER_CODE);
			return;
		}

		if (this.#action !== 'relay') {
			this.#phase = 'discarding';
			return;
		}

		this.#headers = this.#options.createAnswerHeaders(headers);
		const {response} = this.#options;
		if (!response.destroyed && !relayHead(response, {status, reason: statusText, headers: this.#headers})) {
			this.abort(UNRELAYABLE_HEAD_CODE);
			return;
		}

		this.#phase = 'relaying';
		this.#relay.start();
		if (this.#statedBytes === undefined) {
			return;
		}

		this.#relay.expect(this.#statedBytes);
		this.#options.transfer?.setBytes(this.#statedBytes);
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
		this.#receivedBytes += chunk.length;
		if (this.#phase === 'relaying') {
			this.#storeChunk(chunk);
			this.#relay.write(chunk);
		} else if (this.#phase === 'discarding' && this.#receivedBytes > MAX_DISCARDED_ANSWER_BYTES) {
			this.#end(this.#createDiscarded());
			controller.abort(new Error('Discarded answer is too long to be read to its end'));
		}
	}

	onResponseEnd(): void {
		if (this.#phase === 'discarding') {
			this.#end(this.#createDiscarded());
		} else if (this.#phase === 'relaying') {
			this.#relay.end();
			this.#end({
				kind: 'relayed', status: this.#status, answer: this.#getStoredAnswer(), responseSize: this.#getResponseSize(true),
			});
		}
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
		this.#fail('code' in error ? String(error.code) : error.name);
	}

	#createDiscarded(): AttemptResult {
		const isMisdirected = this.#action === 'misdirected';
		return {
			kind: 'discarded', status: this.#status, isShed: isMisdirected || this.#action === 'shed', isMisdirected,
		};
	}

	#storeChunk(chunk: buffer.Buffer): void {
		if (this.#receivedBytes > MAX_STORED_ANSWER_BYTES) {
			this.#storedChunks = undefined;
		}

		this.#storedChunks?.push(chunk);
	}

	/**
	A response that was cut off counts with the length that it stated: large ones are cut off most often.
	*/
	#getResponseSize(isComplete: boolean): ResponseSize | undefined {
		const isSuccessful = this.#status < 300 && this.#options.method !== 'HEAD';
		const isStated = this.#statedBytes !== undefined;
		return isSuccessful && (isStated || isComplete) ? {bytes: this.#statedBytes ?? this.#receivedBytes, isStated} : undefined;
	}

	#getStoredAnswer(): StoredAnswer | undefined {
		return this.#storedChunks === undefined
			? undefined
			: {
				status: this.#status,
				headers: this.#headers,
				body: buffer.Buffer.concat(this.#storedChunks).toString('base64'),
			};
	}

	#fail(code: string): void {
		if (this.#phase === 'ended') {
			return;
		}

		const results: Readonly<Record<Exclude<Phase, 'ended'>, AttemptResult>> = {
			waiting: {kind: 'not-sent', code},
			sent: {kind: 'lost', code},
			discarding: this.#createDiscarded(),
			relaying: {
				kind: 'truncated', status: this.#status, code, responseSize: this.#getResponseSize(false),
			},
		};
		this.#end(results[this.#phase]);
		this.#relay.abort();
	}

	#end(result: AttemptResult): void {
		this.#phase = 'ended';
		this.#resolve(result);
	}
}

function parseContentLength({'content-length': value}: HeaderFields): number | undefined {
	const length = typeof value === 'string' && value !== '' ? Number(value) : NaN;
	return Number.isSafeInteger(length) && length >= 0 ? length : undefined;
}
