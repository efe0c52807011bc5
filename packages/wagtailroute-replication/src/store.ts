/**
What a replica needs of a store, and the store that keeps nothing over a restart.
*/
import * as results from 'ts-results-es';
import type * as core from 'wagtailroute-core';
import type * as replica from './replica.ts';

/**
`corrupt`: a record that was once synced is damaged; the host must come back as a new member. `unusable`: the disk refused
a read, write or sync.
*/
export type StoreFailure = core.Failure<'corrupt' | 'unusable'>;

/**
Keeps the durable state of one replica. Calls are made one at a time. After a failure every later write fails.
*/
export type Store = {
	/**
	Reads what is kept; undefined if nothing was created yet.
	*/
	readonly load: () => Promise<results.Result<replica.DurableState | undefined, StoreFailure>>;
	/**
	Keeps the first state.
	*/
	readonly create: (state: replica.DurableState) => Promise<results.Result<void, StoreFailure>>;
	/**
	Keeps several writes with one sync; done once they are durable.
	*/
	readonly write: (writes: readonly replica.Write[]) => Promise<results.Result<void, StoreFailure>>;
	readonly close: () => Promise<void>;
};

/**
Returns the durable state after a write.
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
Creates a store in memory, for groups whose state need not outlive all of their hosts at once. A process that restarts is
a new member.
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
