/**
The catalogue as it is in force on one host, and the deltas by which hosts update each other.

The revision of a view only increases: a delta that does not begin at or before the view's revision and end after it changes nothing. A
host that receives a delta from a lagging peer, even right after its own restart, therefore never returns to an earlier revision.
*/
import type * as core from 'wagtailroute-core';
import {MAX_REMOVALS} from './constants.ts';
import type {Entry} from './entry.ts';

/**
Number of accepted changes up to and including this one. It increases by one with each change and is never reused.
*/
export type Revision = number;

/**
An entry with the revision that last changed it.
*/
export type VersionedEntry = {
	readonly revision: Revision;
	readonly entry: Entry;
};

/**
The name of an entry that was removed, with the revision that removed it.
*/
export type Removal = {
	readonly name: core.ServiceName;
	readonly revision: Revision;
};

/**
The catalogue in force on a host.
*/
export type View = {
	readonly revision: Revision;
	readonly entries: ReadonlyMap<core.ServiceName, VersionedEntry>;
	/**
	Newest last.
	*/
	readonly removals: readonly Removal[];
	/**
	The earliest revision since which all removals are known: deltas of changes can begin at it or later.
	*/
	readonly removalsFrom: Revision;
};

/**
The changes after one revision, up to and including another.
*/
export type Delta = {
	/**
	`changes`: the entries changed and removed after `from`. `whole`: all entries, from which a view is created anew.
	*/
	readonly scope: 'changes' | 'whole';
	readonly from: Revision;
	readonly to: Revision;
	readonly entries: readonly VersionedEntry[];
	readonly removals: readonly Removal[];
};

/**
The view of a host that has not received any delta yet.
*/
export const EMPTY_VIEW: View = {
	revision: 0,
	entries: new Map(),
	removals: [],
	removalsFrom: 0,
};

/**
Returns the delta that updates a host from the revision `since` to this view: all entries where the removals do not reach back to `since`.
*/
export function getDelta(view: View, since: Revision): Delta {
	const scope = since >= view.removalsFrom ? 'changes' : 'whole';
	const from = scope === 'changes' ? since : 0;
	return {
		scope,
		from,
		to: view.revision,
		entries: view.entries.values().filter(versioned => versioned.revision > from).toArray(),
		removals: scope === 'changes' ? view.removals.filter(removal => removal.revision > since) : [],
	};
}

/**
Returns the view after a delta, or the same view if the delta ends at or before its revision or leaves a gap after it.
*/
export function applyDelta(view: View, delta: Delta): View {
	const isApplicable = delta.to > view.revision && (delta.scope === 'whole' || delta.from <= view.revision);
	if (!isApplicable) {
		return view;
	}

	const entries = delta.scope === 'whole' ? new Map<core.ServiceName, VersionedEntry>() : new Map(view.entries);
	for (const versioned of delta.entries) {
		entries.set(versioned.entry.name, versioned);
	}

	for (const removal of delta.removals) {
		const present = entries.get(removal.name);
		if (present !== undefined && present.revision < removal.revision) {
			entries.delete(removal.name);
		}
	}

	return {
		revision: delta.to,
		entries,
		...delta.scope === 'whole' ? {removals: [], removalsFrom: delta.to} : addRemovals(view, delta.removals),
	};
}

/**
Returns the removals of a view together with further ones, without the oldest beyond `MAX_REMOVALS`.
*/
export function addRemovals(
	view: View,
	removals: readonly Removal[],
): Pick<View, 'removals' | 'removalsFrom'> {
	const known = new Set(view.removals.map(removal => removal.revision));
	const all = [...view.removals, ...removals.filter(removal => !known.has(removal.revision))];
	const dropped = all.slice(0, -MAX_REMOVALS);
	return {
		removals: all.slice(-MAX_REMOVALS),
		removalsFrom: dropped.at(-1)?.revision ?? view.removalsFrom,
	};
}
