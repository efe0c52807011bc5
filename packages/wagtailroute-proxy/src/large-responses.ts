/**
Bounds how many large responses run at once over a host's link: all of them together must be carried within their deadlines.
*/
import {MAX_SMALL_RESPONSE_BYTES, MILLISECONDS_PER_SECOND} from './constants.ts';

/**
A large response that was admitted.
*/
export type Transfer = {
	readonly setBytes: (bytes: number) => void;
	readonly recordSent: (bytes: number) => void;
	readonly end: () => void;
};

/**
Milliseconds after which a large response may fit.
*/
export type TransferRefusal = {readonly retryAfterMilliseconds: number};

/**
Large responses in progress over one link.
*/
export type LargeResponses = {
	/**
	Admits the response to a request, or refuses it; undefined for a small one.
	*/
	readonly admit: (expected: {
		readonly bytes: number;
		/**
		Milliseconds until the deadline of the request.
		*/
		readonly remainingMilliseconds: number;
		/**
		Milliseconds until the response usually begins.
		*/
		readonly usualMilliseconds: number;
	}) => Transfer | TransferRefusal | undefined;
};

type RunningTransfer = {remainingBytes: number; readonly deadlineAt: number};

/**
Creates the bound of a link.

@param bytesPerSecond Rate that large bodies may use together.
*/
export function createLargeResponses(bytesPerSecond: number, now: () => number): LargeResponses {
	const running = new Set<RunningTransfer>();
	const getMilliseconds = (bytes: number) => bytes * MILLISECONDS_PER_SECOND / bytesPerSecond;
	return {
		admit({bytes, remainingMilliseconds, usualMilliseconds}) {
			if (bytes <= MAX_SMALL_RESPONSE_BYTES) {
				return undefined;
			}

			const time = now();
			const transfer: RunningTransfer = {remainingBytes: bytes, deadlineAt: time + remainingMilliseconds};
			const all = [...running, transfer];
			const totalBytes = all.reduce((sum, {remainingBytes}) => sum + remainingBytes, 0);
			// The link is shared in turns, so a response is carried after as many bytes of each other one, or after all bytes.
			const lateMilliseconds = Math.max(...all.map(other => {
				const carriedMilliseconds = getMilliseconds(Math.min(totalBytes, other.remainingBytes * all.length));
				const waitMilliseconds = other === transfer ? usualMilliseconds : 0;
				return waitMilliseconds + carriedMilliseconds - (other.deadlineAt - time);
			}));
			// A response that the link carries too late even on its own is not refused for ever.
			if (running.size > 0 && lateMilliseconds > 0) {
				return {retryAfterMilliseconds: Math.min(lateMilliseconds, getMilliseconds(totalBytes))};
			}

			running.add(transfer);
			return {
				setBytes(stated) {
					transfer.remainingBytes = stated;
				},
				recordSent(sent) {
					transfer.remainingBytes = Math.max(0, transfer.remainingBytes - sent);
				},
				end() {
					running.delete(transfer);
				},
			};
		},
	};
}
