/**
Shares of one fleet-wide limit of a service.

Hosts that each keep the whole limit exceed it together; hosts that ask for each request pay a round trip. So each host
leases a share by its demand. A quarter of the limit is dealt out for good as safe parts: a host that cannot renew falls
back to its safe part when its lease ends, and the sum of all that hosts may use stays within the limit. A smaller share
counts as its larger predecessor until the host confirms it or the lease of the predecessor ends, since the answer that
carried it may be lost.
*/
import {SAFE_FRACTION, SHARE_EXPIRY_MILLISECONDS} from './constants.ts';
import {divideMaxMin} from './max-min.ts';

/**
Asks for a share of one limit. Amounts are in the limit's unit.
*/
export type ShareRequest = {
	readonly host: string;
	/**
	Sequence of the grant that the host has come down to, 0 when none: earlier ones are no longer used. A host with more
	in flight than its new share still holds the grant before it.
	*/
	readonly holds: number;
	/**
	What the host could use now, its safe part included.
	*/
	readonly demand: number;
	/**
	What is in use and cannot be given back at once, the safe part included: requests in flight. 0 for a rate.
	*/
	readonly inUse: number;
	readonly limit: number;
	/**
	How many hosts carry the service.
	*/
	readonly carriers: number;
};

/**
A share: the host may use `amount` until its lease ends, then `safe`.
*/
export type Share = {
	readonly sequence: number;
	readonly amount: number;
	readonly safe: number;
};

type Grant = {
	readonly host: string;
	readonly sequence: number;
	// Above the safe part.
	readonly amount: number;
	readonly demand: number;
	readonly limit: number;
	readonly until: number;
};

type SafePart = {
	readonly host: string;
	readonly amount: number;
	// The largest that the host may still believe in.
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
	Group time before which only safe parts are granted: hosts may still use shares of a cell that was lost.
	*/
	readonly settlingUntil: number;
};

/**
Whether amounts are whole numbers: `whole` for requests in flight, `fractional` for rates.
*/
export type ShareUnit = 'whole' | 'fractional';

const ROUNDING: Readonly<Record<ShareUnit, (amount: number) => number>> = {
	whole: Math.floor,
	fractional: amount => amount,
};

/**
Creates the state of a limit without shares.
*/
export function createShareState(settlingUntil: number): ShareState {
	return {
		sequence: 0, grants: [], safeParts: [], settlingUntil,
	};
}

/**
Returns the safe part that a carrier gets when all carriers ask alike. A host that starts while the cell can not be reached
goes by it: its safe part is most likely still held for it from before.
*/
export function getInitialSafePart({limit, carriers, unit}: {
	readonly limit: number;
	readonly carriers: number;
	readonly unit: ShareUnit;
}): number {
	return ROUNDING[unit](limit * SAFE_FRACTION / Math.max(1, carriers));
}

/**
Grants or renews a share.
*/
export function renewShare(
	before: ShareState,
	asked: ShareRequest,
	{time, unit}: {readonly time: number; readonly unit: ShareUnit},
): {readonly state: ShareState; readonly share: Share} {
	const round = ROUNDING[unit];
	const sequence = before.sequence + 1;
	const grants = before.grants.filter(({host, sequence: earlier, until}) =>
		until > time && (host !== asked.host || earlier >= asked.holds));
	const request = {...asked, limit: getMinLimit(grants, asked)};
	const safeParts = renewSafePart(before.safeParts, request, {sequence, round});
	const safe = safeParts.find(({host}) => host === request.host)?.amount ?? 0;
	const isSettling = time < before.settlingUntil;
	const amount = isSettling ? 0 : round(getLeasedAmount(grants, safeParts, request));
	const grant: Grant = {
		host: request.host,
		sequence,
		amount,
		demand: Math.max(0, request.demand - safe),
		limit: asked.limit,
		until: time + SHARE_EXPIRY_MILLISECONDS,
	};
	return {
		state: {
			...before, sequence, grants: [...grants, grant], safeParts,
		},
		share: {sequence, amount: safe + amount, safe},
	};
}

/**
Takes back what a host holds for good. Only for a host that has left the fleet: one that is merely out of reach goes on
using its safe part.
*/
export function removeHost(state: ShareState, host: string): ShareState {
	return {
		...state,
		grants: state.grants.filter(grant => grant.host !== host),
		safeParts: state.safeParts.filter(part => part.host !== host),
	};
}

/**
Returns the most that all hosts together may believe they can use.
*/
export function getOutstanding(state: ShareState, time: number): number {
	const safe = state.safeParts.reduce((total, {counted}) => total + counted, 0);
	const largest = getLargestGrants(state.grants.filter(({until}) => until > time));
	return safe + sumValues(largest);
}

/**
Moves all times of the state, when a cell with another group time takes over the service.
*/
export function shiftShareTimes(state: ShareState, shift: number): ShareState {
	return {
		...state,
		settlingUntil: state.settlingUntil + shift,
		grants: state.grants.map(grant => ({...grant, until: grant.until + shift})),
	};
}

// A host whose catalogue lags may hold a higher limit than the one in force: the least that live hosts asked by last holds.
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
	const left = pool - sum(others.map(({counted}) => counted));
	const equal = Math.min(pool / Math.max(1, carriers), left);
	const amount = Math.max(0, round(equal));
	// The host has the earlier, larger part until it confirms the grant that made it smaller.
	const believed = own === undefined || holds >= own.sequence ? own?.amount ?? 0 : own.counted;
	const isSame = own?.amount === amount;
	const part: SafePart = {
		host, amount, counted: Math.max(amount, believed), sequence: isSame ? own.sequence : sequence,
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
	const wanted = Math.max(0, demand - safe);
	const [fair = 0] = divideMaxMin(pool, [wanted, ...latest.values()]);
	const available = pool - sumValues(getLargestGrants(others));
	const held = getLargestGrants(grants).get(host) ?? 0;
	// Requests in flight cannot be given back: what they use stays theirs until they end.
	const pinned = Math.min(held, inUse - safe);
	const deserved = Math.max(fair, pinned);
	return Math.max(0, Math.min(available, deserved));
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
