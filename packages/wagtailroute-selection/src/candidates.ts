/**
Candidates of one choice, and the cheapest of them. The table is reused by every choice, to avoid allocations.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as upstreams from './upstreams.ts';

/**
Parameters of one choice.
*/
export type ChoiceContext = {
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: number;
	readonly random: () => number;
	/**
	Upstreams that must not be chosen, such as those of earlier attempts.
	*/
	readonly excluded?: ReadonlySet<core.UpstreamId>;
	/**
	Whether an upstream on trial may be chosen. Must be false for a non-idempotent request. True when absent.
	*/
	readonly isTrialAllowed?: boolean;
};

/**
Tier of an upstream with a free slot. `reluctant`: an upstream that is ramping up and over its traffic share, or one that this
host should avoid; it is chosen only when no `ready` upstream has a free slot.
*/
export type Tier = 'ready' | 'reluctant';

/**
Tiers in the order of preference.
*/
export const TIERS: readonly Tier[] = ['ready', 'reluctant'];

/**
Reusable list of candidates: the first `count` items are valid.
*/
type CandidateList = {readonly items: upstreams.TrackedUpstream[]; count: number};

type Proximity = 'local' | 'remote';

/**
Candidates by tier and proximity.
*/
export type CandidateTable = Readonly<Record<Tier, Readonly<Record<Proximity, CandidateList>>>>;

/**
Creates an empty table.
*/
export function createCandidateTable(): CandidateTable {
	const create = () => ({local: {items: [], count: 0}, remote: {items: [], count: 0}});
	return {ready: create(), reluctant: create()};
}

/**
Empties the table and keeps its allocated lists.
*/
export function resetCandidateTable(candidates: CandidateTable): void {
	for (const tier of TIERS) {
		candidates[tier].local.count = 0;
		candidates[tier].remote.count = 0;
	}
}

/**
Appends a candidate to a list of the table.
*/
export function addCandidate(candidates: CandidateList, tracked: upstreams.TrackedUpstream): void {
	candidates.items[candidates.count] = tracked;
	candidates.count++;
}

/**
Returns the cheapest candidate of a tier. The cost of a remote upstream is increased by {@link constants.REMOTE_COST_FACTOR},
so that requests stay in the failure domain of this host until its upstreams are clearly more loaded.
*/
export function chooseFromTier(
	tier: Readonly<Record<Proximity, CandidateList>>,
	context: ChoiceContext,
	usualMilliseconds: number,
): upstreams.TrackedUpstream | undefined {
	const local = chooseCheapest(tier.local, context, usualMilliseconds);
	const remote = chooseCheapest(tier.remote, context, usualMilliseconds);
	if (local === undefined || remote === undefined) {
		return local ?? remote;
	}

	const localCost = upstreams.estimateCost(local, context.now, usualMilliseconds);
	const remoteCost = upstreams.estimateCost(remote, context.now, usualMilliseconds) * constants.REMOTE_COST_FACTOR;
	return remoteCost < localCost ? remote : local;
}

function chooseCheapest(
	{items, count}: CandidateList,
	{now, random}: ChoiceContext,
	usualMilliseconds: number,
): upstreams.TrackedUpstream | undefined {
	let cheapest: upstreams.TrackedUpstream | undefined;
	let minCost = Infinity;
	let ties = 0;
	for (let index = 0; index < count; index++) {
		const tracked = items[index]!;
		const cost = upstreams.estimateCost(tracked, now, usualMilliseconds);
		if (cost > minCost) {
			continue;
		}

		ties = cost < minCost ? 1 : ties + 1;
		minCost = cost;
		// Reservoir sampling: each of the tied candidates is chosen with the same probability.
		cheapest = random() * ties < 1 ? tracked : cheapest;
	}

	return cheapest;
}

