/**
The catalogue as one host has it in force, and the deltas by which hosts bring each other up to date.

A view only ever moves forward: a delta that doesn't begin at or before the view's revision and end after it changes
nothing. So a host that hears from a lagging peer, also right after its own restart, never goes back.
*/
import type * as core from 'wagtailroute-core';
import {MAX_REMOVALS} from './constants.ts';
import type {Entry} from './entry.ts';

/**
Number of accepted changes up to and including this one. It rises by one a change and is never used twice.
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
	Newest last; a delta can be made from any revision at or after `removalsFrom`.
	*/
	readonly removals: readonly Removal[];
	readonly removalsFrom: Revision;
};

/**
What changed after one revision, up to another.
*/
export type Delta = {
	/**
	'changes' holds what changed after `from`; 'whole' holds every entry.
	*/
	readonly scope: 'changes' | 'whole';
	readonly from: Revision;
	readonly to: Revision;
	readonly entries: readonly VersionedEntry[];
	readonly removals: readonly Removal[];
};

/**
The view of a host that has heard nothing yet.
*/
export const EMPTY_VIEW: View = {
	revision: 0,
	entries: new Map(),
	removals: [],
	removalsFrom: 0,
};

/**
Returns what a host at `since` lacks.
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
Returns the view after a delta, or the same view when the delta brings nothing new or leaves a gap.
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
Returns the removals a view keeps after some more, the oldest dropped beyond the bound.
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
