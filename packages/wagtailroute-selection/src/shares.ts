/**
Assignment of the slots of a service to its carriers, the hosts that forward its requests to the upstreams.

Hosts that do not coordinate single requests overload a 4-slot upstream even at half load. The slots are therefore assigned
to the carriers in rotation: a host prefers upstreams where it owns a free slot, and uses other slots only when its own are
busy. Hosts whose lists of upstreams or carriers differ for a short time cause sheds, but never a lost request.
*/

/**
Position of this host among the carriers of a service.
*/
export type CarrierPosition = {
	/**
	Number of carriers of the service.
	*/
	readonly count: number;
	/**
	Index of this host among the carriers, in [0, count), in an order that is the same on all of them.
	*/
	readonly rank: number;
};

/**
Returns the number of slots of each upstream that this host owns.

@param slots Slots of each upstream, in an order that is the same on all carriers.
*/
export function getOwnedSlots(slots: readonly number[], position: CarrierPosition): number[] {
	let offset = 0;
	return slots.map(count => {
		const owned = countOwned(offset, count, position);
		offset += count;
		return owned;
	});
}

// Counts the numbers in [first, first + length) that are congruent to the rank.
function countOwned(first: number, length: number, {count, rank}: CarrierPosition): number {
	return countBelow(first + length, count, rank) - countBelow(first, count, rank);
}

function countBelow(bound: number, count: number, rank: number): number {
	return Math.max(0, Math.ceil((bound - rank) / count));
}
