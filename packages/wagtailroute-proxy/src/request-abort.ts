/**
Abort of a request whose deadline has passed, whose caller has disconnected or whose host stops. Whatever the request waits for is cancelled at
once, so that the final answer is not delayed by it.
*/

/**
Why a request was aborted. `cancelled`: the caller disconnected. `stopping`: the host ends before the request.
*/
export type AbortReason = 'deadline' | 'cancelled' | 'stopping';

/**
Aborts one request and notifies what it waits for.
*/
export type RequestAbortController = {
	/**
	Undefined while the request is not aborted.
	*/
	readonly getReason: () => AbortReason | undefined;
	/**
	Aborts the request. Later calls have no effect, so the first reason is kept.
	*/
	readonly abort: (reason: AbortReason) => void;
	/**
	Sets the listener that is called on abort, at once when the request is aborted already. It replaces the listener before it.
	*/
	readonly setListener: (listener: (reason: AbortReason) => void) => void;
	/**
	Resolves with the value, or with undefined as soon as the request is aborted.
	*/
	readonly race: <Value>(pending: Promise<Value>) => Promise<Value | undefined>;
};

/**
Creates the controller of one request. It has a single listener, as a request waits for one thing at a time.
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
