/**
Fair shares of organisations: start-time fair queueing. Each request gets a tag, the service that its organisation will have had before it; requests with
lower tags go first. Two thirds of all weight are divided equally and one third by demand: an organisation that floods gets little more than an equal
share while others want theirs, and a large one gets at least a third of the service in proportion to its demand.
*/
import {
	FAIR_LEVEL_MILLISECONDS,
	MAX_ORGANISATIONS,
	ORGANISATION_EXPIRY_MILLISECONDS,
} from './constants.ts';

type Account = {
	/**
	Tag of the organisation's next request.
	*/
	nextTag: number;
	/**
	Milliseconds of work requested lately; decays.
	*/
	demand: number;
	seenAt: number;
};

/**
Tag of a request, and what it added to the next tag of its organisation.
*/
export type FairTag = {
	readonly organisation: string | undefined;
	readonly tag: number;
	readonly increment: number;
};

/**
Shares of one class of requests. Requests without an organisation together count as one.
*/
export class FairShares {
	/**
	In the order of their last request.
	*/
	readonly #accounts = new Map<string | undefined, Account>();
	#servedTag = 0;
	#demand = 0;
	#demandAt = 0;

	get size(): number {
		return this.#accounts.size;
	}

	/**
	Returns the tag of a request that arrives.
	*/
	add(organisation: string | undefined, work: number, now: number): FairTag {
		this.#evict(now);
		const known = this.#accounts.get(organisation);
		const account: Account = known ?? {nextTag: this.#servedTag, demand: 0, seenAt: now};
		this.#accounts.delete(organisation);
		this.#accounts.set(organisation, account);
		account.demand = decay(account.demand, now - account.seenAt) + work;
		account.seenAt = now;
		this.#demand = decay(this.#demand, now - this.#demandAt) + work;
		this.#demandAt = now;
		const tag = Math.max(this.#servedTag, account.nextTag);
		const count = this.#accounts.size;
		// Without others nothing is shared, and the slack alone decides.
		const increment = count === 1 ? 0 : work / (1 + (count * account.demand / this.#demand / 2));
		account.nextTag = tag + increment;
		return {organisation, tag, increment};
	}

	/**
	Records that a request was served.
	*/
	serve({tag}: FairTag): void {
		this.#servedTag = Math.max(this.#servedTag, tag);
	}

	/**
	Records that a request was not served: it uses nothing of its organisation's share.
	*/
	refund({organisation, increment}: FairTag): void {
		const account = this.#accounts.get(organisation);
		if (account !== undefined) {
			account.nextTag -= increment;
		}
	}

	#evict(now: number): void {
		for (const [organisation, {seenAt}] of this.#accounts) {
			if (this.#accounts.size <= MAX_ORGANISATIONS && now - seenAt <= ORGANISATION_EXPIRY_MILLISECONDS) {
				return;
			}

			this.#accounts.delete(organisation);
		}
	}
}

/**
Returns the tag in steps; within one step organisations count as equal.
*/
export function getFairLevel({tag}: FairTag): number {
	return Math.floor(tag / FAIR_LEVEL_MILLISECONDS);
}

function decay(value: number, milliseconds: number): number {
	return value * Math.exp(-milliseconds / ORGANISATION_EXPIRY_MILLISECONDS);
}
