/**
Event queue of simulated time: a binary heap.
*/

/**
Runs scheduled events in the order of time, then of scheduling.
*/
export type EventQueue = {
	readonly schedule: (at: number, run: (now: number) => void) => void;
	readonly runUntil: (end: number) => void;
};

type ScheduledEvent = {readonly at: number; readonly order: number; readonly run: (now: number) => void};

/**
Creates an empty queue.
*/
export function createEventQueue(): EventQueue {
	const heap: ScheduledEvent[] = [];
	let order = 0;
	return {
		schedule(at, run) {
			heap.push({at, order, run});
			order++;
			siftUp(heap);
		},
		runUntil(end) {
			while (heap.length > 0 && heap[0]!.at <= end) {
				const {at, run} = removeFirst(heap);
				run(at);
			}
		},
	};
}

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}

function siftUp(heap: ScheduledEvent[]): void {
	let index = heap.length - 1;
	while (index > 0) {
		const parent = Math.floor((index - 1) / 2);
		if (!isBefore(heap[index]!, heap[parent]!)) {
			return;
		}

		swap(heap, index, parent);
		index = parent;
	}
}

function removeFirst(heap: ScheduledEvent[]): ScheduledEvent {
	const first = heap[0]!;
	const last = heap.pop()!;
	if (heap.length > 0) {
		heap[0] = last;
		siftDown(heap);
	}

	return first;
}

function siftDown(heap: ScheduledEvent[]): void {
	let index = 0;
	for (;;) {
		const left = (index * 2) + 1;
		const right = left + 1;
		let least = index;
		if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
			least = left;
		}

		if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
			least = right;
		}

		if (least === index) {
			return;
		}

		swap(heap, index, least);
		index = least;
	}
}

function swap(heap: ScheduledEvent[], left: number, right: number): void {
	const moved = heap[left]!;
	heap[left] = heap[right]!;
	heap[right] = moved;
}
