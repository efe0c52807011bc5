/**
Giving a request up: its deadline is over or its caller has left. Whatever it waits for is left at once, so that its last
answer is not held back by it.
*/

/**
Why a request was given up.
*/
export type AbortReason = 'deadline' | 'cancelled';

/**
Whether a request was given up.
*/
export type RequestAbortController = {
	readonly getReason: () => AbortReason | undefined;
	/**
	The first reason stays.
	*/
	readonly abort: (reason: AbortReason) => void;
	/**
	Called when the request is given up, at once when it has been.
	*/
	readonly setListener: (listener: (reason: AbortReason) => void) => void;
	/**
	Returns the value, or undefined as soon as the request is given up.
	*/
	readonly race: <Value>(pending: Promise<Value>) => Promise<Value | undefined>;
};

/**
Creates it for one request. It has one listener at a time: what the request waits for at present.
*/
export function createRequestAbortController(): RequestAbortController {
	const aborted = Promise.withResolvers<undefined>();
	let reason: AbortReason | undefined;
	let listener: ((reason: AbortReason) => void) | undefined;
	return {
		getReason: () => reason,
		abort(newReason) {
			if (reason !== undefined) {
				return;
			}

			reason = newReason;
			aborted.resolve(undefined);
			listener?.(newReason);
		},
		setListener(newListener) {
			listener = newListener;
			if (reason !== undefined) {
				newListener(reason);
			}
		},
		race: async pending => Promise.race([pending, aborted.promise]),
	};
}
