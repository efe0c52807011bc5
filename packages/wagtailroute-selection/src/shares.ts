/**
Each carrier's share of the slots of a service.

Hosts that don't talk to each other about single requests overfill a 4-slot upstream even at half load. So the slots are
dealt out to the carriers in turn: a host prefers upstreams where it holds a free slot of its own and borrows others only
when its own are taken. Hosts that disagree about the lists for a moment cause sheds, never a lost request.
*/

/**
Place of this host among the carriers of the service.
*/
export type Carriers = {
	/**
	Number of hosts that carry the service.
	*/
	readonly count: number;
	/**
	Rank of this host among them, in [0, count), by an order that all of them share.
	*/
	readonly rank: number;
};

/**
Returns how many slots of each upstream belong to this host. `slots` must be in an order that all carriers share.
*/
export function getOwnedSlots(slots: readonly number[], carriers: Carriers): number[] {
	let dealt = 0;
	return slots.map(count => {
		const owned = countOwned(dealt, count, carriers);
		dealt += count;
		return owned;
	});
}

// Counts the numbers in [first, first + length) that are congruent to the rank.
function countOwned(first: number, length: number, {count, rank}: Carriers): number {
	return countBelow(first + length, count, rank) - countBelow(first, count, rank);
}

function countBelow(bound: number, count: number, rank: number): number {
	return Math.max(0, Math.ceil((bound - rank) / count));
}
