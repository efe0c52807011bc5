/**
Speed at which slots are released, in usual milliseconds of work per millisecond. Without failures and slow upstreams it is the number of slots.
*/
import {
	EXPECTED_SPEED_HOLDS,
	HOLD_SHARE,
	RELEASE_SLICE_MILLISECONDS,
	RELEASE_WINDOW_MILLISECONDS,
} from './constants.ts';

/**
Observed releases of a service.
*/
export class ReleaseSpeed {
	/**
	Work released in each slice of the window; only while requests were queued, since idle slots release nothing.
	*/
	#slices: Array<{readonly startedAt: number; work: number}> = [];
	#queuedSince: number | undefined;
	/**
	Averages over the endings of all requests; their ratio is below 1 while upstreams are slower than usual.
	*/
	#averageWork: number | undefined;
	#averageHold: number | undefined;

	/**
	Records the end of a request.

	@param work Usual milliseconds.
	@param hold Milliseconds for which the slot was held.
	*/
	record(work: number, hold: number, now: number): void {
		this.#averageWork = average(this.#averageWork, work);
		this.#averageHold = average(this.#averageHold, Math.max(1, hold));
		if (this.#queuedSince === undefined) {
			return;
		}

		const last = this.#slices.at(-1);
		if (last !== undefined && now - last.startedAt < RELEASE_SLICE_MILLISECONDS) {
			last.work += work;
		} else {
			this.#slices.push({startedAt: now, work});
		}

		while (now - this.#slices[0]!.startedAt > RELEASE_WINDOW_MILLISECONDS) {
			this.#slices.shift();
		}
	}

	/**
	Records whether requests are queued.
	*/
	setQueued(isQueued: boolean, now: number): void {
		if (!isQueued) {
			this.#queuedSince = undefined;
			this.#slices = [];
		}

		this.#queuedSince ??= isQueued ? now : undefined;
	}

	/**
	Returns the speed: the observed one, and for the first moments of a queue mostly the expected one.
	*/
	get(slots: number, now: number): number {
		if (this.#averageWork === undefined || this.#averageHold === undefined) {
			return slots;
		}

		const expected = slots * Math.min(1, this.#averageWork / this.#averageHold);
		const expectedMilliseconds = this.#averageHold * EXPECTED_SPEED_HOLDS;
		const observedMilliseconds = Math.min(RELEASE_WINDOW_MILLISECONDS, now - (this.#queuedSince ?? now));
		let work = 0;
		for (const slice of this.#slices) {
			work += now - slice.startedAt <= RELEASE_WINDOW_MILLISECONDS ? slice.work : 0;
		}

		return (work + (expected * expectedMilliseconds)) / (observedMilliseconds + expectedMilliseconds);
	}
}

function average(known: number | undefined, value: number): number {
	return known === undefined ? value : (known * (1 - HOLD_SHARE)) + (value * HOLD_SHARE);
}
