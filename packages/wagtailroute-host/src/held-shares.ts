/**
The share of one fleet-wide limit that a host holds, and its next request for one. Pure functions.

A host may use a share until its lease expires, measured by its own clock from before the request; after that only the safe
part. Before its first share it uses nothing, or its part of the safe fraction when the records can't be reached.
*/
import * as records from 'wagtailroute-records';

/**
A limit from the catalogue, with the number of hosts that share it.
*/
export type SharedLimit = {
	readonly limitName: records.LimitName;
	readonly limit: number;
	readonly carriers: number;
};

/**
What the host holds of one limit. Immutable.
*/
export type HeldShare = {
	/**
	Sequence of the newest grant whose amount the usage has come down to; sent with each request.
	*/
	readonly holds: number;
	readonly latest?: records.Share;
	/**
	Monotonic time at which the lease of the latest share expires.
	*/
	readonly expiresAt: number;
	readonly requestedAt?: number;
	/**
	Whether a request failed. It matters only before the first share.
	*/
	readonly isUnanswered: boolean;
};

/**
Usage of a limit, in the unit of the limit.
*/
export type ShareUsage = {
	/**
	What can't be released at once: requests in flight; 0 for a rate.
	*/
	readonly inUse: number;
	/**
	What could have been used since the last request.
	*/
	readonly demand: number;
};

/**
State before the first request.
*/
export const NO_SHARE: HeldShare = {holds: 0, expiresAt: 0, isUnanswered: false};

/**
Milliseconds after which a share in use is renewed: a third of its lease.
*/
const RENEWAL_INTERVAL_MILLISECONDS = records.SHARE_LEASE_MILLISECONDS / 3;

/**
Milliseconds between requests of a host whose demand exceeds its share.
*/
const GROWTH_REQUEST_INTERVAL_MILLISECONDS = 250;

/**
Requested amount as a multiple of the demand, so that usage can grow until the next request.
*/
const DEMAND_HEADROOM_FACTOR = 1.25;

const UNITS: Readonly<Record<records.LimitName, records.ShareUnit>> = {concurrency: 'whole', ratePerSecond: 'fractional'};

/**
Returns how much of the limit the host may use now.
*/
export function getAmount({latest, expiresAt, isUnanswered}: HeldShare, {limitName, limit, carriers}: SharedLimit, now: number): number {
	if (latest !== undefined) {
		return Math.min(limit, now < expiresAt ? latest.amount : latest.safe);
	}

	return isUnanswered ? records.getInitialSafePart({limit, carriers, unit: UNITS[limitName]}) : 0;
}

/**
Returns whether to request a share now: at first, when the demand exceeds the share, and before the lease of a share in use
expires. An unused share is left to expire.
*/
export function isDue(held: HeldShare, limit: SharedLimit, {usage, now}: {readonly usage: ShareUsage; readonly now: number}): boolean {
	const {requestedAt, latest} = held;
	if (requestedAt === undefined) {
		return true;
	}

	const usableDemand = Math.min(limit.limit, usage.demand);
	const isShort = usableDemand > getAmount(held, limit, now);
	const isUsed = usage.demand > 0 || usage.inUse > 0 || latest === undefined;
	return now - requestedAt >= (isShort ? GROWTH_REQUEST_INTERVAL_MILLISECONDS : RENEWAL_INTERVAL_MILLISECONDS) && (isShort || isUsed);
}

/**
Returns the request to send now, and the state after sending it.
*/
export function createRequest(held: HeldShare, limit: SharedLimit, {usage, now}: {readonly usage: ShareUsage; readonly now: number}): {
	readonly held: HeldShare;
	readonly request: Omit<records.ShareRequest, 'host'>;
} {
	const holds = held.latest !== undefined && usage.inUse <= getAmount(held, limit, now) ? held.latest.sequence : held.holds;
	// At least half of an even part is requested, so that the first requests of a burst need not wait.
	const minDemand = limit.limit / limit.carriers / 2;
	const demand = Math.min(limit.limit, Math.ceil(Math.max(minDemand, usage.demand * DEMAND_HEADROOM_FACTOR)));
	return {
		held: {...held, holds, requestedAt: now},
		request: {
			holds, demand, inUse: usage.inUse, limit: limit.limit, carriers: limit.carriers,
		},
	};
}

/**
Applies the answer to a request sent at `requestedAt`; undefined when there was none.
*/
export function applyAnswer(
	held: HeldShare,
	share: records.Share | undefined,
	{requestedAt, inUse}: {readonly requestedAt: number; readonly inUse: number},
): HeldShare {
	if (share === undefined) {
		return {...held, isUnanswered: true};
	}

	return {
		...held,
		latest: share,
		holds: inUse <= share.amount ? share.sequence : held.holds,
		expiresAt: requestedAt + records.SHARE_LEASE_MILLISECONDS,
	};
}
