/**
Bounds of what is received only to be dropped.
*/

/**
Milliseconds without a byte after which what is only dropped is waited for no longer.
*/
export const LINGER_MILLISECONDS = 2000;

/**
How much is dropped at most.
*/
export type DiscardLimits = {
	/**
	Milliseconds from the start in all.
	*/
	readonly milliseconds: number;
	readonly bytes: number;
};

/**
A discard in progress.
*/
export type Discard = {
	/**
	Counts bytes that were received.
	*/
	readonly count: (bytes: number) => void;
	/**
	Ends the discard: its limits bind no longer.
	*/
	readonly end: () => void;
};

/**
Starts a discard.

@param onExceeded Called when `LINGER_MILLISECONDS` pass without a byte or a limit is exceeded, unless the discard has ended.
*/
export function startDiscard(limits: DiscardLimits, onExceeded: () => void): Discard {
	let bytes = 0;
	const end = () => {
		clearTimeout(silenceTimer);
		clearTimeout(timer);
	};

	const exceed = () => {
		end();
		onExceeded();
	};

	const silenceTimer = setTimeout(exceed, LINGER_MILLISECONDS);
	const timer = setTimeout(exceed, limits.milliseconds);
	return {
		count(received) {
			bytes += received;
			if (bytes > limits.bytes) {
				exceed();
			} else {
				silenceTimer.refresh();
			}
		},
		end,
	};
}
