/**
The slots of a stand-in: how many requests it works on at once, and what happens to the next one.
*/
import * as constants from './constants.ts';

/**
What happens to a request that finds no free slot.
*/
export type OverSlots = 'queue' | 'shed';

/**
Slots in order of arrival.
*/
export type Slots = {
	/**
	Resolves to true when a slot is held, and to false when the request is to be shed or the signal was aborted.
	*/
	readonly acquire: (signal: AbortSignal) => Promise<boolean>;
	readonly release: () => void;
	readonly getUse: () => {readonly held: number; readonly queued: number};
};

/**
Creates `count` free slots.
*/
export function createSlots(count: number, overSlots: OverSlots): Slots {
	const queue = new Set<(held: boolean) => void>();
	const queueLength = overSlots === 'queue' ? constants.QUEUE_LENGTH : 0;
	let held = 0;
	return {
		async acquire(signal) {
			if (signal.aborted) {
				return false;
			}

			if (held < count) {
				held++;
				return true;
			}

			return queue.size >= queueLength ? false : waitInQueue(queue, signal);
		},
		release() {
			const [next] = queue;
			if (next) {
				queue.delete(next);
				next(true);
				return;
			}

			held--;
		},
		getUse: () => ({held, queued: queue.size}),
	};
}

async function waitInQueue(queue: Set<(held: boolean) => void>, signal: AbortSignal): Promise<boolean> {
	return new Promise(resolve => {
		const settle = (isHeld: boolean): void => {
			signal.removeEventListener('abort', abandon);
			resolve(isHeld);
		};

		const abandon = (): void => {
			queue.delete(settle);
			settle(false);
		};

		signal.addEventListener('abort', abandon, {once: true});
		queue.add(settle);
	});
}
