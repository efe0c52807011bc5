/**
Group commit: passes writes to the store one batch at a time. Writes that arrive during a sync share the next one, so that
the rate of commands is not limited by that of syncs.
*/
import type * as replica from './replica.ts';
import type * as stores from './store.ts';

/**
A queue of writes to one store.
*/
export type Writer = {
	readonly add: (write: replica.Write) => void;
	/**
	Resolves once the queue is empty or a write has failed.
	*/
	readonly wait: () => Promise<void>;
};

/**
Creates a queue. `onWritten` gets the sequence of the last durable write. After a failure nothing more is written.
*/
export function createWriter(
	store: stores.Store,
	onWritten: (sequence: number) => void,
	onFailed: (failure: stores.StoreFailure) => void,
): Writer {
	let queue: replica.Write[] = [];
	let isFailed = false;
	let writing: Promise<void> | undefined;

	const hasWork = () => !isFailed && queue.length > 0;

	const writeBatch = async () => {
		const batch = queue;
		queue = [];
		const written = await store.write(batch);
		if (written.isErr()) {
			isFailed = true;
			onFailed(written.error);
		} else {
			onWritten(batch.at(-1)!.sequence);
		}
	};

	const writeAll = async () => {
		// Lets all writes of the current event loop turn share the first sync.
		await Promise.resolve();
		while (hasWork()) {
			await writeBatch(); // eslint-disable-line no-await-in-loop -- one sync at a time.
		}

		writing = undefined;
	};

	return {
		add(write) {
			queue.push(write);
			writing ??= writeAll();
		},
		async wait() {
			await writing;
		},
	};
}
