/**
Divides the time of a process between messages that may wait and those that may not.

What may wait is handled for a slice of time in a row; then the loop looks at all connections again, so that an urgent message waits for one slice at most, however
much has come before it. A process that is not busy handles everything at once.
*/
import {NEW_SLICE_GAP_MILLISECONDS, TIME_SLICE_MILLISECONDS} from './constants.ts';

const queue: Array<() => void> = [];
let isScheduled = false;
let sliceStartedAt = -Infinity;
let sliceEndedAt = -Infinity;

/**
Runs now if the present slice has time left and nothing waits, otherwise in its turn.
*/
export function runInTurn(run: () => void): void {
	const now = performance.now();
	if (now - sliceEndedAt >= NEW_SLICE_GAP_MILLISECONDS) {
		sliceStartedAt = now;
	}

	if (queue.length === 0 && now - sliceStartedAt < TIME_SLICE_MILLISECONDS) {
		run();
		sliceEndedAt = performance.now();
		return;
	}

	queue.push(run);
	schedule();
}

function schedule(): void {
	if (isScheduled) {
		return;
	}

	isScheduled = true;
	setImmediate(runSlice);
}

function runSlice(): void {
	isScheduled = false;
	sliceStartedAt = performance.now();
	let count = 0;
	while (count < queue.length && performance.now() - sliceStartedAt < TIME_SLICE_MILLISECONDS) {
		queue[count]!();
		count++;
	}

	sliceEndedAt = performance.now();
	queue.splice(0, count);
	if (queue.length > 0) {
		schedule();
	}
}
