/**
State as immutable snapshots. Changes happen only inside `update`, reads inside `read`; the parts that an update changed
are handed to the listeners, so that work follows the change and not the size of the state.
*/
import type * as utils from 'wagtailroute-utils';

/**
Told after each update that changed something: the snapshots before and after, and the names of the changed parts.
*/
export type UpdateListener<State extends object> = (
	current: State,
	previous: State,
	dirty: ReadonlySet<keyof State>,
) => void;

/**
Holder of the current snapshot.
*/
export type SnapshotStore<State extends object> = {
	readonly read: <Value>(reader: (state: State) => Value) => Value;
	readonly update: (updater: (state: State) => Partial<State>) => void;
	readonly registerUpdateListener: (listener: UpdateListener<State>) => utils.Teardown;
};

/**
Creates a store with its first snapshot.
*/
export function createSnapshotStore<State extends object>(initial: State): SnapshotStore<State> {
	let current = Object.freeze({...initial});
	const listeners = new Set<UpdateListener<State>>();
	return {
		read: reader => reader(current),
		update(updater) {
			const previous = current;
			const changes = updater(previous);
			const dirty = getDirtyParts(previous, changes);
			if (dirty.size === 0) {
				return;
			}

			current = Object.freeze({...previous, ...changes});
			for (const listener of listeners) {
				listener(current, previous, dirty);
			}
		},
		registerUpdateListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}

function getDirtyParts<State extends object>(previous: State, changes: Partial<State>): ReadonlySet<keyof State> {
	const names = Object.keys(changes) as Array<keyof State>;
	return new Set(names.filter(name => changes[name] !== previous[name]));
}
