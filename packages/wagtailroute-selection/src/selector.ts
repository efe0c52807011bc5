/**
Choice of an upstream: the one with the fewest requests in flight, weighted by peak-EWMA latency, in the best tier that has
free slots. Ties are broken at random.

This runs for every request: the state is mutable, in a closure, and a choice allocates nothing. Deterministic: the time and
random numbers are passed in.
*/
import type * as core from 'wagtailroute-core';
import * as candidates from './candidates.ts';
import * as constants from './constants.ts';
import * as shares from './shares.ts';
import * as upstreams from './upstreams.ts';

/**
A request that has ended at an upstream.
*/
export type EndedRequest = {
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly result: upstreams.RequestResult;
};

/**
Chooses among the upstreams of one service on one host.
*/
export type Selector = {
	/**
	Replaces the list of upstreams. Measurements of upstreams that are in both lists are kept.

	@param position Without it, this host owns all slots.
	*/
	readonly setUpstreams: (declared: readonly upstreams.Upstream[], position?: shares.CarrierPosition) => void;
	/**
	Returns the upstream to send to, or undefined when no eligible upstream has a free slot.
	*/
	readonly choose: (context: candidates.ChoiceContext) => core.UpstreamId | undefined;
	readonly begin: (id: core.UpstreamId, now: number) => void;
	readonly end: (id: core.UpstreamId, ended: EndedRequest) => void;
	/**
	Returns the number of requests that this host has in flight at the upstream.
	*/
	readonly getOutstanding: (id: core.UpstreamId) => number;
	/**
	Returns the number of slots that this host owns at all upstreams that are serving and not ejected.
	*/
	readonly getOwnedCapacity: () => number;
};

const SOLE_CARRIER: shares.CarrierPosition = {count: 1, rank: 0};

/**
Creates a selector for a host in the given failure domain.
*/
export function createSelector({localFailureDomain}: {readonly localFailureDomain: core.FailureDomain}): Selector {
	const byId = new Map<core.UpstreamId, upstreams.TrackedUpstream>();
	let trackedUpstreams: upstreams.TrackedUpstream[] = [];
	const table = candidates.createCandidateTable();
	let usualMilliseconds = constants.INITIAL_USUAL_LATENCY_MILLISECONDS;

	const collectCandidates = (context: candidates.ChoiceContext): void => {
		candidates.resetCandidateTable(table);
		for (const tracked of trackedUpstreams) {
			const tier = getTier(tracked, context);
			if (tier === undefined) {
				continue;
			}

			const proximity = tracked.declared.failureDomain === localFailureDomain ? 'local' : 'remote';
			candidates.addCandidate(table[tier][proximity], tracked);
		}
	};

	return {
		setUpstreams(declared, position = SOLE_CARRIER) {
			const ordered = declared.toSorted((left, right) => compareIds(left.id, right.id));
			const owned = shares.getOwnedSlots(ordered.map(upstream => upstream.slots), position);
			const next = ordered.map((upstream, index) => {
				const tracked = byId.get(upstream.id) ?? upstreams.createTrackedUpstream(upstream);
				tracked.declared = upstream;
				tracked.ownedSlots = owned[index]!;
				return tracked;
			});
			replaceTrackedUpstreams(byId, trackedUpstreams, next);
			trackedUpstreams = next;
		},
		choose(context) {
			collectCandidates(context);
			for (const tier of candidates.TIERS) {
				const chosen = candidates.chooseFromTier(table[tier], context, usualMilliseconds);
				if (chosen !== undefined) {
					return chosen.declared.id;
				}
			}

			return undefined;
		},
		begin(id) {
			const tracked = byId.get(id);
			if (tracked !== undefined) {
				tracked.outstanding++;
			}
		},
		end(id, ended) {
			if (ended.result === 'success') {
				usualMilliseconds += (ended.latencyMilliseconds - usualMilliseconds) * constants.USUAL_LATENCY_WEIGHT;
			}

			const tracked = byId.get(id);
			if (tracked === undefined) {
				return;
			}

			upstreams.recordEnd(tracked, ended.result, {...ended, usualMilliseconds});
			deleteIfIdle(byId, trackedUpstreams, tracked);
		},
		getOutstanding: id => byId.get(id)?.outstanding ?? 0,
		getOwnedCapacity: () => getOwnedCapacity(trackedUpstreams),
	};
}

function getTier(tracked: upstreams.TrackedUpstream, context: candidates.ChoiceContext): candidates.Tier | undefined {
	const {declared} = tracked;
	if (!isEligible(declared, context) || tracked.outstanding >= declared.slots) {
		return undefined;
	}

	// An upstream on trial never receives more than its share, not even when no other upstream has a free slot: it is still
	// ejected.
	const share = upstreams.getTrafficShare(tracked, context.now);
	const isWithinShare = share >= 1 || context.random() < share;
	if (declared.ejectionState === 'trial') {
		return isWithinShare && tracked.outstanding === 0 ? 'ready' : undefined;
	}

	return !isWithinShare || declared.isAvoided === true ? 'reluctant' : 'ready';
}

function isEligible(declared: upstreams.Upstream, context: candidates.ChoiceContext): boolean {
	return declared.state === 'draining' || declared.ejectionState === 'ejected' || (declared.ejectionState === 'trial' && context.isTrialAllowed === false)
		? false
		: !context.excluded?.has(declared.id);
}

// Compares by code unit and not by locale: the order must be the same on all carriers.
function compareIds(left: core.UpstreamId, right: core.UpstreamId): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

// An upstream that is removed with requests in flight remains tracked until they end. Otherwise, when it is announced again,
// its slots would seem free and it would receive too many requests.
function replaceTrackedUpstreams(
	byId: Map<core.UpstreamId, upstreams.TrackedUpstream>,
	previous: readonly upstreams.TrackedUpstream[],
	next: readonly upstreams.TrackedUpstream[],
): void {
	const kept = new Set(next);
	for (const tracked of previous) {
		if (!kept.has(tracked) && tracked.outstanding === 0) {
			byId.delete(tracked.declared.id);
		}
	}

	for (const tracked of next) {
		byId.set(tracked.declared.id, tracked);
	}
}

function deleteIfIdle(
	byId: Map<core.UpstreamId, upstreams.TrackedUpstream>,
	trackedUpstreams: readonly upstreams.TrackedUpstream[],
	tracked: upstreams.TrackedUpstream,
): void {
	if (tracked.outstanding === 0 && !trackedUpstreams.includes(tracked)) {
		byId.delete(tracked.declared.id);
	}
}

function getOwnedCapacity(trackedUpstreams: readonly upstreams.TrackedUpstream[]): number {
	let capacity = 0;
	for (const {declared, ownedSlots} of trackedUpstreams) {
		capacity += declared.state === 'serving' && declared.ejectionState === 'in' ? ownedSlots : 0;
	}

	return capacity;
}
