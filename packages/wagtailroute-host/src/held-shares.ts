/**
What a host holds of one fleet-wide limit: the lease that it may use, and what it asks for next. Pure.

A host may use a share only until its lease ends by its own clock, measured from before it asked; after that its safe part.
Before its first share it uses nothing, and its part of the safe fraction when the records can not be reached.
*/
import * as records from 'wagtailroute-records';

/**
A limit as the catalogue and the carriers give it.
*/
export type SharedLimit = {
	readonly limitName: records.LimitName;
	readonly limit: number;
	readonly carriers: number;
};

/**
The state of one limit. Immutable.
*/
export type HeldShare = {
	/**
	Sequence of the grant that the host has come down to.
	*/
	readonly holds: number;
	readonly latest?: records.Share;
	/**
	Until when the latest share may be used, monotonic.
	*/
	readonly expiresAt: number;
	readonly requestedAt?: number;
	/**
	The first question had no answer.
	*/
	readonly isUnanswered: boolean;
};

/**
How much of the limit is in use. Amounts in the limit's unit.
*/
export type ShareUsage = {
	/**
	What can not be given back at once: requests in flight; 0 for a rate.
	*/
	readonly inUse: number;
	/**
	What could have been used since the last question.
	*/
	readonly demand: number;
};

/**
The state before the first question.
*/
export const NO_SHARE: HeldShare = {holds: 0, expiresAt: 0, isUnanswered: false};

/**
Milliseconds after which a share that is used is renewed, a third of its lease.
*/
const RENEWAL_INTERVAL_MILLISECONDS = records.SHARE_LEASE_MILLISECONDS / 3;

/**
Milliseconds between two questions of a host that could use more than it holds.
*/
const GROWTH_REQUEST_INTERVAL_MILLISECONDS = 250;

/**
What is asked for beyond the demand, as a factor, so that it can grow until the next question.
*/
const DEMAND_HEADROOM_FACTOR = 1.25;

const UNITS: Readonly<Record<records.LimitName, records.ShareUnit>> = {concurrency: 'whole', ratePerSecond: 'fractional'};

/**
Returns what the host may use now.
*/
export function getAmount({latest, expiresAt, isUnanswered}: HeldShare, {limitName, limit, carriers}: SharedLimit, now: number): number {
	if (latest !== undefined) {
		return Math.min(limit, now < expiresAt ? latest.amount : latest.safe);
	}

	return isUnanswered ? records.getInitialSafePart({limit, carriers, unit: UNITS[limitName]}) : 0;
}

/**
Says whether it is time to ask: at first, when more could be used than is held, and before the lease of a share that is
used ends. What is not used is left to run out.
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
Returns the question to ask now, and the state that has asked it.
*/
export function createRequest(held: HeldShare, limit: SharedLimit, {usage, now}: {readonly usage: ShareUsage; readonly now: number}): {
	readonly held: HeldShare;
	readonly request: Omit<records.ShareRequest, 'host'>;
} {
	const holds = held.latest !== undefined && usage.inUse <= getAmount(held, limit, now) ? held.latest.sequence : held.holds;
	// Half of an even part is asked for in any case, so that the first requests of a burst need not wait.
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
Takes the answer to a question asked at `requestedAt`; undefined when there was none.
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
