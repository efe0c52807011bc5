/**
Writes the body of a response to its caller. On a slow link large responses are paced, so that a small response doesn't wait behind them.

What the link can't carry yet is held in memory, within bounds for each response and for the host, so that the upstream is done with the request as
soon as it has sent its response.
*/
import type * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as utils from 'wagtailroute-utils';
import {MAX_HELD_RESPONSE_BYTES, MAX_SMALL_RESPONSE_BYTES} from './constants.ts';
import type {HeldBytes} from './held-bytes.ts';
import type {Pacer} from './pacing.ts';
import {endResponse} from './remainder.ts';

/**
What a relay needs of its host and its attempt.
*/
export type ResponseRelayOptions = {
	readonly response: http.ServerResponse;
	/**
	Pacer of what the host sends; absent on a fast link.
	*/
	readonly pacer?: Pacer;
	readonly heldBytes: HeldBytes;
	/**
	Called with the number of bytes when they were written.
	*/
	readonly onWritten: (bytes: number) => void;
	readonly pauseReading: () => void;
	readonly resumeReading: () => void;
};

/**
Relay of one response.
*/
export class ResponseRelay {
	/**
	Resolves when everything was written or the caller has left.
	*/
	readonly delivered: Promise<void>;
	readonly #options: ResponseRelayOptions;
	readonly #resolveDelivered: () => void;
	readonly #pieces: buffer.Buffer[] = [];
	#isPaced = false;
	#bytes = 0;
	#heldBytes = 0;
	#isEnded = false;
	#isReadingPaused = false;
	#isListening = false;
	#withdraw: utils.Teardown | undefined;
	#isBlocked = false;
	#isWaitingForRoom = false;
	/**
	Bytes that the caller has not read yet, of those written.
	*/
	#unreadBytes = 0;

	constructor(options: ResponseRelayOptions) {
		this.#options = options;
		const {promise, resolve} = Promise.withResolvers<void>();
		this.delivered = promise;
		this.#resolveDelivered = resolve;
	}

	/**
	Has to be called before the first chunk. Reading begins only while the host can hold something.
	*/
	start(): void {
		const {heldBytes, response} = this.#options;
		if (!heldBytes.isExhausted() || response.destroyed) {
			return;
		}

		this.#isWaitingForRoom = true;
		this.#updateReading();
		heldBytes.onRoom(() => {
			this.#isWaitingForRoom = false;
			this.#updateReading();
		});
	}

	/**
	Has to be called before the first chunk where the length of the response is known.
	*/
	expect(bytes: number): void {
		this.#isPaced = this.#options.pacer !== undefined && bytes > MAX_SMALL_RESPONSE_BYTES;
	}

	write(chunk: buffer.Buffer): void {
		const {response, pacer} = this.#options;
		// A claimed execution continues after its caller disconnected: the response is read without writing it.
		if (response.destroyed) {
			this.#drop();
			return;
		}

		this.#bytes += chunk.length;
		this.#isPaced ||= pacer !== undefined && this.#bytes > MAX_SMALL_RESPONSE_BYTES;
		if (!this.#isPaced) {
			this.#writeNow(chunk);
			return;
		}

		for (let start = 0; start < chunk.length; start += pacer!.pieceBytes) {
			this.#pieces.push(chunk.subarray(start, start + pacer!.pieceBytes));
		}

		this.#hold(chunk.length);
		this.#schedule();
		this.#updateReading();
	}

	/**
	Ends the response once everything was written.
	*/
	end(): void {
		this.#isEnded = true;
		this.#finish();
	}

	/**
	Drops what was not written. The response is left unfinished.
	*/
	abort(): void {
		this.#drop();
	}

	#hold(bytes: number): void {
		this.#heldBytes += bytes;
		this.#options.heldBytes.add(bytes);
	}

	#drop(): void {
		this.#withdraw?.();
		this.#withdraw = undefined;
		this.#pieces.length = 0;
		this.#hold(-this.#heldBytes);
		this.#updateReading();
		this.#resolveDelivered();
	}

	#finish(): void {
		if (!this.#isEnded || this.#pieces.length > 0) {
			return;
		}

		const {response} = this.#options;
		endResponse(response);
		if (!this.#isBlocked) {
			this.#resolveDelivered();
			return;
		}

		// Without a deadline, a caller that never reads would keep the rest in memory for ever.
		response.once('finish', () => {
			this.#setUnread(0);
			this.#resolveDelivered();
		});
	}

	#setUnread(bytes: number): void {
		this.#options.heldBytes.add(bytes - this.#unreadBytes);
		this.#unreadBytes = bytes;
	}

	#writeNow(piece: buffer.Buffer): void {
		const {response, onWritten} = this.#options;
		onWritten(piece.length);
		// The caller reads more slowly than the link carries.
		this.#isBlocked = !response.write(piece);
		this.#setUnread(this.#isBlocked ? response.writableLength : 0);
		this.#updateReading();
		if (this.#isBlocked) {
			this.#listen();
		}
	}

	#listen(): void {
		if (this.#isListening) {
			return;
		}

		this.#isListening = true;
		const {response} = this.#options;
		response.on('drain', () => {
			this.#isBlocked = false;
			this.#setUnread(0);
			this.#schedule();
			this.#updateReading();
		});
		response.once('close', () => {
			this.#isBlocked = false;
			this.#setUnread(0);
			this.#drop();
		});
	}

	/**
	Schedules the next piece. A caller that doesn't read takes no turn of the pacer from the others.
	*/
	#schedule(): void {
		const [piece] = this.#pieces;
		if (piece === undefined || this.#withdraw !== undefined || this.#isBlocked) {
			return;
		}

		this.#listen();
		this.#withdraw = this.#options.pacer!.schedule(piece.length, () => {
			this.#withdraw = undefined;
			this.#pieces.shift();
			this.#hold(-piece.length);
			this.#writeNow(piece);
			this.#finish();
			this.#schedule();
		});
	}

	/**
	Reads from the upstream while there is room for what it sends.
	*/
	#updateReading(): void {
		const {heldBytes, pauseReading, resumeReading} = this.#options;
		const isHolding = this.#heldBytes > 0;
		const isHeldFull = isHolding && (this.#heldBytes >= MAX_HELD_RESPONSE_BYTES || heldBytes.isFull());
		const isFull = this.#isWaitingForRoom || (this.#isPaced ? isHeldFull : this.#isBlocked);
		if (isFull === this.#isReadingPaused) {
			return;
		}

		this.#isReadingPaused = isFull;
		if (isFull) {
			pauseReading();
		} else {
			resumeReading();
		}
	}
}
