/**
Shares of one fleet-wide limit of a service.

If each host enforced the whole limit, the hosts would exceed it together; a call to the leader for each request would cost
a round trip. Therefore each host leases a share according to its demand. A quarter of the limit is divided into safe parts
that have no lease: a host that cannot renew its share falls back to its safe part when the lease ends, and the sum of the
amounts that hosts may use stays within the limit. When a share shrinks, the larger amount counts until the host confirms
the smaller grant or the earlier lease ends, because the answer with the smaller grant may be lost.
*/
import {SAFE_FRACTION, SHARE_EXPIRY_MILLISECONDS} from './constants.ts';
import {divideMaxMin} from './max-min.ts';

/**
Requests a share of one limit. Amounts are in the limit's unit.
*/
export type ShareRequest = {
	readonly host: string;
	/**
	Sequence of the latest grant whose amount the host stays within, 0 for none. The host no longer uses earlier grants. A
	host with more requests in flight than its new share permits still names the grant before it.
	*/
	readonly holds: number;
	/**
	The amount that the host could use now, including its safe part.
	*/
	readonly demand: number;
	/**
	The amount in use that cannot be returned at once, including the safe part: the number of requests in flight. 0 for a
	rate.
	*/
	readonly inUse: number;
	readonly limit: number;
	/**
	Number of hosts that route requests for the service.
	*/
	readonly carriers: number;
};

/**
A share: the host may use `amount` until its lease ends, and `safe` afterwards. `sequence` numbers the grants of the limit.
*/
export type Share = {
	readonly sequence: number;
	readonly amount: number;
	readonly safe: number;
};

type Grant = {
	readonly host: string;
	readonly sequence: number;
	// In addition to the safe part.
	readonly amount: number;
	readonly demand: number;
	readonly limit: number;
	readonly until: number;
};

type SafePart = {
	readonly host: string;
	readonly amount: number;
	// The largest safe part that the host may assume, because it has not confirmed the smaller one.
	readonly counted: number;
	readonly sequence: number;
};

/**
The shares of one limit as plain JSON.
*/
export type ShareState = {
	readonly sequence: number;
	readonly grants: readonly Grant[];
	readonly safeParts: readonly SafePart[];
	/**
	Group time before which only safe parts are granted: after a loss of state, hosts may still use the lost shares.
	*/
	readonly settlingUntil: number;
};

/**
Rounding of amounts: `whole` numbers for requests in flight, `fractional` numbers for rates.
*/
export type ShareUnit = 'whole' | 'fractional';

const ROUNDING: Readonly<Record<ShareUnit, (amount: number) => number>> = {
	whole: Math.floor,
	fractional: amount => amount,
};

/**
Creates the state of a limit without shares. `settlingUntil` is a group time, 0 unless the state was lost.
*/
export function createShareState(settlingUntil: number): ShareState {
	return {
		sequence: 0, grants: [], safeParts: [], settlingUntil,
	};
}

/**
Returns the safe part of a host when all hosts that route the service have the same. A host that starts while the replica
group is unreachable uses this amount, since the group most likely still counts a safe part for it from before.
*/
export function getInitialSafePart({limit, carriers, unit}: {
	readonly limit: number;
	readonly carriers: number;
	readonly unit: ShareUnit;
}): number {
	return ROUNDING[unit](limit * SAFE_FRACTION / Math.max(1, carriers));
}

/**
Grants or renews the share of the requesting host. `time` is the group time in ms.
*/
export function renewShare(
	previous: ShareState,
	original: ShareRequest,
	{time, unit}: {readonly time: number; readonly unit: ShareUnit},
): {readonly state: ShareState; readonly share: Share} {
	const round = ROUNDING[unit];
	const sequence = previous.sequence + 1;
	const grants = previous.grants.filter(({host, sequence: earlier, until}) =>
		until > time && (host !== original.host || earlier >= original.holds));
	const request = {...original, limit: getMinLimit(grants, original)};
	const safeParts = renewSafePart(previous.safeParts, request, {sequence, round});
	const safe = safeParts.find(({host}) => host === request.host)?.amount ?? 0;
	const isSettling = time < previous.settlingUntil;
	const amount = isSettling ? 0 : round(getLeasedAmount(grants, safeParts, request));
	const grant: Grant = {
		host: request.host,
		sequence,
		amount,
		demand: Math.max(0, request.demand - safe),
		limit: original.limit,
		until: time + SHARE_EXPIRY_MILLISECONDS,
	};
	return {
		state: {
			...previous, sequence, grants: [...grants, grant], safeParts,
		},
		share: {sequence, amount: safe + amount, safe},
	};
}

/**
Removes the grants and the safe part of a host. Only for a host that has left the fleet: an unreachable host continues to
use its safe part.
*/
export function removeHost(state: ShareState, host: string): ShareState {
	return {
		...state,
		grants: state.grants.filter(grant => grant.host !== host),
		safeParts: state.safeParts.filter(part => part.host !== host),
	};
}

/**
Returns the largest total that the hosts may assume they can use.
*/
export function getOutstanding(state: ShareState, time: number): number {
	const safe = state.safeParts.reduce((total, {counted}) => total + counted, 0);
	const largest = getLargestGrants(state.grants.filter(({until}) => until > time));
	return safe + sumValues(largest);
}

/**
Adds `shift` to all times of the state, when a replica group with another group time adopts the service.
*/
export function shiftShareTimes(state: ShareState, shift: number): ShareState {
	return {
		...state,
		settlingUntil: state.settlingUntil + shift,
		grants: state.grants.map(grant => ({...grant, until: grant.until + shift})),
	};
}

// A host whose catalogue lags may send a higher limit than the one in force. The smallest limit in the latest requests of the
// hosts with a valid grant applies.
function getMinLimit(grants: readonly Grant[], {host, limit}: ShareRequest): number {
	const latest = new Map(grants.map(grant => [grant.host, grant.limit]));
	latest.set(host, limit);
	return Math.min(...latest.values());
}

function renewSafePart(
	safeParts: readonly SafePart[],
	request: ShareRequest,
	{sequence, round}: {readonly sequence: number; readonly round: (amount: number) => number},
): readonly SafePart[] {
	const {host, limit, carriers, holds} = request;
	const others = safeParts.filter(part => part.host !== host);
	const own = safeParts.find(part => part.host === host);
	const pool = limit * SAFE_FRACTION;
	const unassigned = pool - sum(others.map(({counted}) => counted));
	const equalPart = Math.min(pool / Math.max(1, carriers), unassigned);
	const amount = Math.max(0, round(equalPart));
	// The host may use an earlier, larger part until it confirms the grant that reduced it.
	const assumedByHost = own === undefined || holds >= own.sequence ? own?.amount ?? 0 : own.counted;
	const isSame = own?.amount === amount;
	const part: SafePart = {
		host, amount, counted: Math.max(amount, assumedByHost), sequence: isSame ? own.sequence : sequence,
	};
	return [...others, part];
}

function getLeasedAmount(
	grants: readonly Grant[],
	safeParts: readonly SafePart[],
	{host, demand, inUse, limit}: ShareRequest,
): number {
	const own = safeParts.find(part => part.host === host);
	const safe = own?.amount ?? 0;
	const counted = sum(safeParts.map(part => part.counted));
	const pool = Math.max(0, limit - Math.max(limit * SAFE_FRACTION, counted));
	const others = grants.filter(grant => grant.host !== host);
	const latest = new Map(others.map(grant => [grant.host, grant.demand]));
	const leaseDemand = Math.max(0, demand - safe);
	const [fairAmount = 0] = divideMaxMin(pool, [leaseDemand, ...latest.values()]);
	const available = pool - sumValues(getLargestGrants(others));
	const held = getLargestGrants(grants).get(host) ?? 0;
	// Capacity used by requests in flight cannot be returned before they end.
	const irrevocable = Math.min(held, inUse - safe);
	const target = Math.max(fairAmount, irrevocable);
	return Math.max(0, Math.min(available, target));
}

function getLargestGrants(grants: readonly Grant[]): ReadonlyMap<string, number> {
	const largest = new Map<string, number>();
	for (const {host, amount} of grants) {
		largest.set(host, Math.max(amount, largest.get(host) ?? 0));
	}

	return largest;
}

function sumValues(amounts: ReadonlyMap<string, number>): number {
	return sum(amounts.values().toArray());
}

function sum(amounts: readonly number[]): number {
	return amounts.reduce((total, amount) => total + amount, 0);
}
