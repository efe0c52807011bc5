/**
One attempt: a request sent to one target, and its answer relayed to the caller with back-pressure or discarded.

What the caller may be told hangs on how far the attempt came, so the result says exactly that: nothing sent, sent without
an answer, an answer relayed whole, an answer cut off.
*/
import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as undici from 'undici';
import {MAX_DISCARDED_ANSWER_BYTES, MAX_STORED_ANSWER_BYTES} from './constants.ts';
import {FOREIGN_ANSWER_CODE} from './endings.ts';
import {type HeaderFields} from './headers.ts';
import type {StoredAnswer} from './ports.ts';

/**
How an attempt ended.
*/
export type AttemptResult =
	/**
	No byte of the request reached the target.
	*/
	| {readonly kind: 'not-sent'; readonly code: string}
	/**
	The request was sent at least in part, and there was no answer.
	*/
	| {readonly kind: 'lost'; readonly code: string}
	/**
	The answer was not relayed, another attempt may follow.
	*/
	| {readonly kind: 'discarded'; readonly status: number; readonly isShed: boolean; readonly isMisdirected?: boolean}
	| {readonly kind: 'relayed'; readonly status: number; readonly answer?: StoredAnswer}
	/**
	The answer was cut off after some of it was relayed.
	*/
	| {readonly kind: 'truncated'; readonly status: number; readonly code: string};

/**
What is done with an answer: relayed to the caller, or discarded because the target shed the request or because it is to be
repeated elsewhere. `foreign`: it answers another request, so the connection is not fit for any.
*/
export type AnswerAction = 'relay' | 'shed' | 'misdirected' | 'repeat' | 'foreign';

/**
What an attempt is to do.
*/
export type AttemptOptions = {
	readonly pool: undici.Dispatcher;
	readonly method: string;
	readonly requestTarget: string;
	readonly headers: string[];
	readonly body: buffer.Buffer | AsyncIterable<buffer.Buffer> | undefined;
	readonly response: http.ServerResponse;
	/**
	Says whether an answer is the one for the caller.
	*/
	readonly decideAnswer: (status: number, headers: HeaderFields) => AnswerAction;
	/**
	Makes the headers that the caller gets.
	*/
	readonly createAnswerHeaders: (headers: HeaderFields) => Record<string, string | string[]>;
	/**
	Says whether a connection of the pool is being reset at this moment.
	*/
	readonly isResetting: () => boolean;
	/**
	Keep a copy of the answer.
	*/
	readonly isAnswerStored: boolean;
	/**
	Told once when the header section of an answer has arrived.
	*/
	readonly onAnswerHeaders: () => void;
};

/**
An attempt under way.
*/
export type Attempt = {
	readonly result: Promise<AttemptResult>;
	/**
	Gives the attempt up: its connection is destroyed, its result is there at once.
	*/
	readonly abort: (code: string) => void;
};

type Phase = 'waiting' | 'sent' | 'relaying' | 'discarding' | 'ended';

/**
Starts an attempt.
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
	};
}

class AttemptHandler implements undici.Dispatcher.DispatchHandler {
	#phase: Phase = 'waiting';
	#controller: undici.Dispatcher.DispatchController | undefined;
	#action: AnswerAction = 'relay';
	#status = 0;
	#receivedBytes = 0;
	#isFramed = true;
	#storedChunks: buffer.Buffer[] | undefined;
	#headers: Record<string, string | string[]> = {};
	#resume: (() => void) | undefined;
	readonly #options: AttemptOptions;
	readonly #resolve: (result: AttemptResult) => void;

	constructor(options: AttemptOptions, resolve: (result: AttemptResult) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#storedChunks = options.isAnswerStored ? [] : undefined;
	}

	abort(code: string): void {
		this.#fail(code);
		this.#controller?.abort(new Error(code));
	}

	// Called before the first byte is written.
	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#phase === 'ended') {
			// Given up while it waited for a connection, and told as not run: so nothing of it may be sent now.
			controller.abort(new Error('given up'));
			return;
		}

		this.#phase = 'sent';
	}

	onResponseStart(
		controller: undici.Dispatcher.DispatchController,
		status: number,
		headers: HeaderFields,
		statusText?: string,
	): void {
		const isInterim = status < 200;
		if (isInterim || this.#phase === 'ended') {
			return;
		}

		this.#status = status;
		this.#isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
		this.#options.onAnswerHeaders();
		this.#action = this.#options.decideAnswer(status, headers);
		if (this.#action === 'foreign') {
			this.#fail(FOREIGN_ANSWER_CODE);
			controller.abort(new Error(FOREIGN_ANSWER_CODE));
			return;
		}

		if (this.#action !== 'relay') {
			this.#phase = 'discarding';
			return;
		}

		this.#phase = 'relaying';
		this.#headers = this.#options.createAnswerHeaders(headers);
		if (!this.#options.response.destroyed) {
			this.#options.response.writeHead(status, statusText, this.#headers);
		}
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
		this.#receivedBytes += chunk.length;
		if (this.#phase === 'relaying') {
			this.#relay(controller, chunk);
		} else if (this.#phase === 'discarding' && this.#receivedBytes > MAX_DISCARDED_ANSWER_BYTES) {
			this.#end(this.#createDiscarded());
			controller.abort(new Error('discarded'));
		}
	}

	onResponseEnd(): void {
		// An answer without a length ends with its connection; the HTTP client takes a reset for that end too.
		if (!this.#isFramed && this.#options.isResetting()) {
			this.#fail('ECONNRESET');
			return;
		}

		if (this.#phase === 'discarding') {
			this.#end(this.#createDiscarded());
		} else if (this.#phase === 'relaying') {
			this.#options.response.end();
			this.#end({kind: 'relayed', status: this.#status, answer: this.#getStoredAnswer()});
		}
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
		this.#fail('code' in error ? String(error.code) : error.name);
	}

	#relay(controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
		this.#storeChunk(chunk);
		const {response} = this.#options;
		// A claimed execution goes on after its caller left: then nothing is written and nothing waited for.
		if (response.destroyed || response.write(chunk)) {
			return;
		}

		// The caller reads more slowly than the target sends: without the pause its whole answer would pile up in memory.
		controller.pause();
		if (this.#resume !== undefined) {
			return;
		}

		this.#resume = () => {
			this.#controller?.resume();
		};

		response.on('drain', this.#resume);
		response.once('close', this.#resume);
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
		const results: Readonly<Record<Exclude<Phase, 'ended'>, AttemptResult>> = {
			waiting: {kind: 'not-sent', code},
			sent: {kind: 'lost', code},
			discarding: this.#createDiscarded(),
			relaying: {kind: 'truncated', status: this.#status, code},
		};
		if (this.#phase !== 'ended') {
			this.#end(results[this.#phase]);
		}
	}

	#end(result: AttemptResult): void {
		this.#phase = 'ended';
		this.#resolve(result);
	}
}
