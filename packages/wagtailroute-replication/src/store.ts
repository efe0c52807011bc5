/**
The interface of a replica's store, and a volatile store.
*/
import * as results from 'ts-results-es';
import type * as core from 'wagtailroute-core';
import type * as replica from './replica.ts';

/**
`corrupt`: a synced record is corrupt, and the host must rejoin as a new member. `unusable`: a read, write or sync failed.
*/
export type StoreFailure = core.Failure<'corrupt' | 'unusable'>;

/**
Persists the state of one replica. Calls must not overlap. After a failure, all later writes fail.
*/
export type Store = {
	/**
	Reads the stored state; undefined if none has been created.
	*/
	readonly load: () => Promise<results.Result<replica.DurableState | undefined, StoreFailure>>;
	/**
	Persists the initial state.
	*/
	readonly create: (state: replica.DurableState) => Promise<results.Result<void, StoreFailure>>;
	/**
	Persists several writes with one sync; resolves once they are durable.
	*/
	readonly write: (writes: readonly replica.Write[]) => Promise<results.Result<void, StoreFailure>>;
	readonly close: () => Promise<void>;
};

/**
Returns the durable state that results from a write.
*/
export function applyWrite(state: replica.DurableState, write: replica.Write): replica.DurableState {
	const {
		term, votedFor, commit, from,
	} = write;
	const snapshot = write.snapshot ?? state.snapshot;
	const replaced = from === undefined
		? state.entries
		: [...state.entries.slice(0, Math.max(0, from - (state.entries[0]?.index ?? from))), ...write.entries];
	const entries = write.snapshot === undefined ? replaced : replaced.filter(entry => entry.index > snapshot.index);
	return {
		self: state.self, term, votedFor, commit, snapshot, entries,
	};
}

/**
Creates a store that persists nothing, for groups whose state may be lost if all hosts restart at once. A restarted process
is a new member.
*/
export function createVolatileStore(): Store {
	return {
		load: async () => results.Ok(undefined),
		create: async () => results.Ok(undefined),
		write: async () => results.Ok(undefined),
		async close() {
			// Nothing is open.
		},
	};
}
