/**
The moment at which a stopping host ends its requests. Until one is set, requests last as long as their own time limits.
*/

/**
Tells how long requests may last, and which may still be started.
*/
export type StopLimit = {
	/**
	Monotonic time in milliseconds at which requests are ended; `Infinity` until it is set.
	*/
	readonly getEnd: () => number;
	readonly setEnd: (endsAt: number) => void;
	/**
	From now on only those requests may be started whose own deadline passes before the end.
	*/
	readonly startDrain: () => void;
	/**
	Returns whether a request with this deadline may be started.
	*/
	readonly mayStart: (deadlineAt: number) => boolean;
};

/**
Creates the limit of a host that is not stopping.
*/
export function createStopLimit(): StopLimit {
	let end = Infinity;
	let isDraining = false;
	return {
		getEnd: () => end,
		setEnd(endsAt) {
			end = endsAt;
		},
		startDrain() {
			isDraining = true;
		},
		mayStart: deadlineAt => !isDraining || deadlineAt <= end,
	};
}
