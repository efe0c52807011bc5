/**
Choice of an upstream: the one with the fewest requests in flight, weighted by peak-EWMA latency, among the best tier of
upstreams that has room. Ties are broken at random.

This runs for every request, so the table is mutable and held in a closure, and a choice allocates nothing. It stays
deterministic: time and random numbers are passed in.
*/
import type * as core from 'wagtailroute-core';
import * as candidates from './candidates.ts';
import * as constants from './constants.ts';
import * as shares from './shares.ts';
import * as upstreams from './upstreams.ts';

/**
End of a request at an upstream.
*/
export type Ending = {
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly result: upstreams.Result;
};

/**
Chooses among the upstreams of one service on one host.
*/
export type Selector = {
	/**
	Replaces the list. What was measured of upstreams that stay is kept.
	*/
	readonly setUpstreams: (declared: readonly upstreams.Upstream[], carriers?: shares.Carriers) => void;
	/**
	Returns the upstream to send to, or undefined when none has room.
	*/
	readonly choose: (context: candidates.ChoiceContext) => core.UpstreamId | undefined;
	readonly begin: (id: core.UpstreamId, now: number) => void;
	readonly end: (id: core.UpstreamId, ending: Ending) => void;
	/**
	Requests that this host has in flight at the upstream.
	*/
	readonly getOutstanding: (id: core.UpstreamId) => number;
	/**
	Requests that this host may have in flight at all upstreams that take work, by its own share of slots.
	*/
	readonly getOwnedCapacity: () => number;
};

const ONLY_CARRIER: shares.Carriers = {count: 1, rank: 0};

/**
Creates a selector for a host in the given failure domain.
*/
export function createSelector({localFailureDomain}: {readonly localFailureDomain: core.FailureDomain}): Selector {
	const byId = new Map<core.UpstreamId, upstreams.Entry>();
	let entries: upstreams.Entry[] = [];
	const table = candidates.createCandidates();
	let usualMilliseconds = constants.INITIAL_USUAL_MILLISECONDS;

	const collect = (context: candidates.ChoiceContext): void => {
		candidates.resetCandidates(table);
		for (const entry of entries) {
			const tier = getTier(entry, context);
			if (tier === undefined) {
				continue;
			}

			const proximity = entry.declared.failureDomain === localFailureDomain ? 'local' : 'remote';
			candidates.append(table[tier][proximity], entry);
		}
	};

	return {
		setUpstreams(declared, carriers = ONLY_CARRIER) {
			const ordered = declared.toSorted((left, right) => compareIds(left.id, right.id));
			const owned = shares.getOwnedSlots(ordered.map(upstream => upstream.slots), carriers);
			const next = ordered.map((upstream, index) => {
				const entry = byId.get(upstream.id) ?? upstreams.createEntry(upstream);
				entry.declared = upstream;
				entry.ownedSlots = owned[index]!;
				return entry;
			});
			replaceTable(byId, entries, next);
			entries = next;
		},
		choose(context) {
			collect(context);
			for (const tier of candidates.TIERS) {
				const chosen = candidates.chooseWithin(table[tier], context, usualMilliseconds);
				if (chosen !== undefined) {
					return chosen.declared.id;
				}
			}

			return undefined;
		},
		begin(id) {
			const entry = byId.get(id);
			if (entry !== undefined) {
				entry.outstanding++;
			}
		},
		end(id, ending) {
			if (ending.result === 'success') {
				usualMilliseconds += (ending.latencyMilliseconds - usualMilliseconds) * constants.USUAL_WEIGHT;
			}

			const entry = byId.get(id);
			if (entry === undefined) {
				return;
			}

			upstreams.observeEnd(entry, ending.result, {...ending, usualMilliseconds});
			forgetWhenIdle(byId, entries, entry);
		},
		getOutstanding: id => byId.get(id)?.outstanding ?? 0,
		getOwnedCapacity: () => getOwnedCapacity(entries),
	};
}

function getTier(entry: upstreams.Entry, context: candidates.ChoiceContext): candidates.Tier | undefined {
	const {declared} = entry;
	if (!isEligible(declared, context) || entry.outstanding >= declared.slots) {
		return undefined;
	}

	// An upstream on trial gets its share and no more: it is still ejected, so it is never a last resort.
	const share = upstreams.getShare(entry, context.now);
	const isWithinShare = share >= 1 || context.random() < share;
	if (declared.admission === 'trial') {
		return isWithinShare && entry.outstanding === 0 ? 'ready' : undefined;
	}

	return !isWithinShare || declared.avoided === true ? 'reluctant' : 'ready';
}

function isEligible(declared: upstreams.Upstream, context: candidates.ChoiceContext): boolean {
	return declared.state === 'draining' || declared.admission === 'ejected' || (declared.admission === 'trial' && context.trialAllowed === false) ? false : !context.excluded?.has(declared.id);
}

// By code unit and not by locale: all carriers must get the same order.
function compareIds(left: core.UpstreamId, right: core.UpstreamId): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

// An upstream that left with requests in flight stays in the table until they end, so that their ends still count if it
// is announced again; without this its slots would seem free and it would be overfilled.
function replaceTable(
	byId: Map<core.UpstreamId, upstreams.Entry>,
	previous: readonly upstreams.Entry[],
	next: readonly upstreams.Entry[],
): void {
	const kept = new Set(next);
	for (const entry of previous) {
		if (!kept.has(entry) && entry.outstanding === 0) {
			byId.delete(entry.declared.id);
		}
	}

	for (const entry of next) {
		byId.set(entry.declared.id, entry);
	}
}

function forgetWhenIdle(
	byId: Map<core.UpstreamId, upstreams.Entry>,
	entries: readonly upstreams.Entry[],
	entry: upstreams.Entry,
): void {
	if (entry.outstanding === 0 && !entries.includes(entry)) {
		byId.delete(entry.declared.id);
	}
}

function getOwnedCapacity(entries: readonly upstreams.Entry[]): number {
	let capacity = 0;
	for (const {declared, ownedSlots} of entries) {
		capacity += declared.state === 'serving' && declared.admission === 'in' ? ownedSlots : 0;
	}

	return capacity;
}
