/**
Choice of an upstream: power of two choices over outstanding requests and peak-EWMA latency, among the best tier of
upstreams that has room.

This runs for every request, so the table is mutable and held in a closure, and a choice allocates nothing. It stays
deterministic: time and random numbers are passed in.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as shares from './shares.ts';
import * as upstreams from './upstreams.ts';

/**
What a choice may know.
*/
export type ChoiceContext = {
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: number;
	readonly random: () => number;
	/**
	Upstreams that this request must not go to, such as those tried before.
	*/
	readonly excluded?: ReadonlySet<core.UpstreamId>;
	/**
	Whether the request may go to an upstream on trial. Say no for a non-idempotent request.
	*/
	readonly trialAllowed?: boolean;
};

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
	readonly choose: (context: ChoiceContext) => core.UpstreamId | undefined;
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

/**
Upstreams that take a request, best first: an own slot is free; a slot is free by this host's count; it is ramping, on
trial, shedding or avoided, so others go first.
*/
type Tier = 'owned' | 'borrowed' | 'reluctant';

const TIERS: readonly Tier[] = ['owned', 'borrowed', 'reluctant'];

const ONLY_CARRIER: shares.Carriers = {count: 1, rank: 0};

/**
Candidates of one tier, in storage that is used again for each choice.
*/
type Candidates = {readonly entries: upstreams.Entry[]; count: number};

type Proximity = 'local' | 'remote';

/**
Creates a selector for a host in the given failure domain.
*/
export function createSelector({localFailureDomain}: {readonly localFailureDomain: core.FailureDomain}): Selector {
	const byId = new Map<core.UpstreamId, upstreams.Entry>();
	let entries: upstreams.Entry[] = [];
	const candidates = createCandidates();

	const collect = (context: ChoiceContext): void => {
		resetCandidates(candidates);
		for (const entry of entries) {
			const tier = getTier(entry, context);
			if (tier === undefined) {
				continue;
			}

			const proximity = entry.declared.failureDomain === localFailureDomain ? 'local' : 'remote';
			append(candidates[tier][proximity], entry);
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
			for (const tier of TIERS) {
				const chosen = chooseWithin(candidates[tier], context.random, tier === 'owned' ? constants.REMOTE_PENALTY : 1);
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
			const entry = byId.get(id);
			if (entry === undefined) {
				return;
			}

			upstreams.observeEnd(entry, ending.result, ending);
			forgetWhenIdle(byId, entries, entry);
		},
		getOutstanding: id => byId.get(id)?.outstanding ?? 0,
		getOwnedCapacity: () => getOwnedCapacity(entries),
	};
}

function getTier(entry: upstreams.Entry, context: ChoiceContext): Tier | undefined {
	const {declared} = entry;
	if (!isEligible(declared, context) || entry.outstanding >= declared.slots) {
		return undefined;
	}

	// An upstream on trial gets its share and no more: it is still ejected, so it is never a last resort.
	const share = upstreams.getShare(entry, context.now);
	const isWithinShare = share >= 1 || context.random() < share;
	if (declared.admission === 'trial') {
		return isWithinShare && entry.outstanding === 0 ? 'owned' : undefined;
	}

	if (context.now < entry.backoffUntil) return undefined;
	if (!isWithinShare || declared.avoided === true) {
		return 'reluctant';
	}

	return entry.outstanding < entry.ownedSlots ? 'owned' : 'borrowed';
}

function isEligible(declared: upstreams.Upstream, context: ChoiceContext): boolean {
	return declared.state === 'draining' || declared.admission === 'ejected' || (declared.admission === 'trial' && context.trialAllowed === false) ? false : !context.excluded?.has(declared.id);
}

// By code unit and not by locale: all carriers must get the same order.
function compareIds(left: core.UpstreamId, right: core.UpstreamId): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

// A remote upstream must be clearly cheaper: so work stays in the failure domain until that is the more loaded one.
function chooseWithin(
	tier: Readonly<Record<Proximity, Candidates>>,
	random: () => number, penalty: number
): upstreams.Entry | undefined {
	const local = chooseOfTwo(tier.local, random);
	const remote = chooseOfTwo(tier.remote, random);
	if (local === undefined || remote === undefined) {
		return local ?? remote;
	}

	const isRemoteCheaper = upstreams.getCost(remote) * penalty < upstreams.getCost(local) || (penalty === 1 && upstreams.getCost(remote) === upstreams.getCost(local) && random() < 0.75);
	return isRemoteCheaper ? remote : local;
}

function chooseOfTwo({entries, count}: Candidates, random: () => number): upstreams.Entry | undefined {
	let best: upstreams.Entry | undefined;
	let least = Infinity;
	let ties = 0;
	for (let index = 0; index < count; index++) {
		const entry = entries[index]!;
		const cost = upstreams.getCost(entry);
		if (cost < least) {
			best = entry; least = cost; ties = 1;
		} else if (cost === least) {
			ties++;
			if (random() * ties < 1) best = entry;
		}
	}
	return best;
}

function createCandidates(): Readonly<Record<Tier, Readonly<Record<Proximity, Candidates>>>> {
	const create = () => ({local: {entries: [], count: 0}, remote: {entries: [], count: 0}});
	return {owned: create(), borrowed: create(), reluctant: create()};
}

function resetCandidates(candidates: ReturnType<typeof createCandidates>): void {
	for (const tier of TIERS) {
		candidates[tier].local.count = 0;
		candidates[tier].remote.count = 0;
	}
}

function append(candidates: Candidates, entry: upstreams.Entry): void {
	candidates.entries[candidates.count] = entry;
	candidates.count++;
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
