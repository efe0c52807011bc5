/**
Candidates of one choice, and the cheapest among them. The storage is used again for each choice.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
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
Upstreams that have room, best first. A ramping upstream beyond its share and an avoided one are `reluctant`: chosen only
when no other has room.
*/
export type Tier = 'ready' | 'reluctant';

/**
Tiers, best first.
*/
export const TIERS: readonly Tier[] = ['ready', 'reluctant'];

/**
Candidates of one tier, in storage that is used again for each choice.
*/
type Candidates = {readonly entries: upstreams.Entry[]; count: number};

type Proximity = 'local' | 'remote';

/**
Candidates by tier and proximity.
*/
export type CandidateTable = Readonly<Record<Tier, Readonly<Record<Proximity, Candidates>>>>;

/**
Creates an empty table.
*/
export function createCandidates(): CandidateTable {
	const create = () => ({local: {entries: [], count: 0}, remote: {entries: [], count: 0}});
	return {ready: create(), reluctant: create()};
}

/**
Empties the table, keeping its storage.
*/
export function resetCandidates(candidates: CandidateTable): void {
	for (const tier of TIERS) {
		candidates[tier].local.count = 0;
		candidates[tier].remote.count = 0;
	}
}

/**
Adds a candidate.
*/
export function append(candidates: Candidates, entry: upstreams.Entry): void {
	candidates.entries[candidates.count] = entry;
	candidates.count++;
}

/**
Returns the cheapest candidate of a tier. A remote upstream must be clearly cheaper: so work stays in the failure domain
until that is the more loaded one.
*/
export function chooseWithin(
	tier: Readonly<Record<Proximity, Candidates>>,
	context: ChoiceContext,
	usualMilliseconds: number,
): upstreams.Entry | undefined {
	const local = chooseCheapest(tier.local, context, usualMilliseconds);
	const remote = chooseCheapest(tier.remote, context, usualMilliseconds);
	if (local === undefined || remote === undefined) {
		return local ?? remote;
	}

	const localCost = upstreams.getCost(local, context.now, usualMilliseconds);
	const remoteCost = upstreams.getCost(remote, context.now, usualMilliseconds) * constants.REMOTE_PENALTY;
	return remoteCost < localCost ? remote : local;
}

function chooseCheapest(
	{entries, count}: Candidates,
	{now, random}: ChoiceContext,
	usualMilliseconds: number,
): upstreams.Entry | undefined {
	let cheapest: upstreams.Entry | undefined;
	let least = Infinity;
	let ties = 0;
	for (let index = 0; index < count; index++) {
		const entry = entries[index]!;
		const cost = upstreams.getCost(entry, now, usualMilliseconds);
		if (cost > least) {
			continue;
		}

		ties = cost < least ? 1 : ties + 1;
		least = cost;
		// Each of the tied ones is kept with the same chance.
		cheapest = random() * ties < 1 ? entry : cheapest;
	}

	return cheapest;
}

