/**
Index of the upstreams of a service by what they can be used for at present, so that a slot request doesn't examine all of them.

An upstream is classified again when something about it changes (`refresh`), and when time alone changes its class: doubt decays, a closure or a
backoff ends, a trial becomes due, a rate limit has a token again. The time of the next such change is kept for each upstream.
*/
import type * as core from 'wagtailroute-core';
import {MAX_CANDIDATES, MAX_OWN_DOMAIN_CANDIDATES, MILLISECONDS_PER_SECOND} from './constants.ts';
import {SortedItems} from './sorted-items.ts';
import {
	hasCapacity,
	isServing,
	isSuspended,
	type Upstream,
} from './upstreams.ts';

/**
Numbers of upstreams of a service.
*/
export type UpstreamCounts = {
	readonly upstreams: number;
	readonly suspended: number;
	readonly rateLimited: number;
	readonly draining: number;
};

/**
Queries depend on `now`, which must not decrease. Lists are in the order in which the upstreams were added; they are valid until the next change.
*/
export type UpstreamIndex = {
	readonly add: (upstream: Upstream, now: number) => void;
	readonly remove: (upstream: Upstream) => void;
	/**
	Must be called after each change of an upstream that can affect its class.
	*/
	readonly refresh: (upstream: Upstream, now: number) => void;
	/**
	Counts the upstreams that are in service, not suspended, and have capacity for another request.
	*/
	readonly countFree: (now: number) => number;
	/**
	Lists the free upstreams that are not closed for a while: all of up to {@link MAX_CANDIDATES}, else a sample of as many. Each sample continues
	behind the previous one, and consists of accepted upstreams only, mostly of the failure domain.
	*/
	readonly listFree: (now: number, failureDomain: core.FailureDomain, isAccepted: (upstream: Upstream) => boolean) => readonly Upstream[];
	/**
	Returns whether any free upstream of the failure domain that is not closed for a while is accepted.
	*/
	readonly hasFreeInDomain: (now: number, failureDomain: core.FailureDomain, isAccepted: (upstream: Upstream) => boolean) => boolean;
	/**
	Lists suspended upstreams that may get a trial: in service, without requests, and due for some request. Bounded as `listFree`.
	*/
	readonly listTrials: (now: number) => readonly Upstream[];
	/**
	Returns the earliest time of a next trial among the suspended upstreams in service; Infinity without any.
	*/
	readonly getNextTrialAt: (now: number) => number;
	/**
	Lists the suspended upstreams, bounded as `listFree`.
	*/
	readonly listSuspended: (now: number, isAccepted: (upstream: Upstream) => boolean) => readonly Upstream[];
	/**
	Lists the upstreams of a failure domain that are in service and not suspended, bounded as `listFree`.
	*/
	readonly listUsableInDomain: (now: number, failureDomain: core.FailureDomain) => readonly Upstream[];
	/**
	Lists all upstreams that are in service and not suspended.
	*/
	readonly listUsable: (now: number) => readonly Upstream[];
	/**
	Returns the slots of the upstreams that are in service, not suspended and not rate-limited.
	*/
	readonly countUnlimitedSlots: (now: number) => number;
	/**
	Lists the upstreams that are in service, not suspended and rate-limited.
	*/
	readonly listLimitedUsable: (now: number) => readonly Upstream[];
	/**
	Lists the upstreams that some entry host sends no requests to for a while.
	*/
	readonly listBackingOff: (now: number) => readonly Upstream[];
	/**
	Counts the upstreams in service, suspended or not.
	*/
	readonly countServing: () => number;
	readonly count: (now: number) => UpstreamCounts;
};

/**
Creates an index without upstreams.
*/
export function createUpstreamIndex(): UpstreamIndex {
	return new IncrementalIndex();
}

/**
Class of an upstream as it was last determined.
*/
type Classification = {
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	readonly isServing: boolean;
	readonly isSuspended: boolean;
	readonly isLimited: boolean;
	readonly isDraining: boolean;
	readonly isFree: boolean;
	readonly isOpen: boolean;
	readonly isTrial: boolean;
	readonly isBackingOff: boolean;
	/**
	Time of the next trial of a suspended upstream in service, else Infinity.
	*/
	readonly nextTrialAt: number;
	/**
	Time from which on the class may differ without a change of the upstream.
	*/
	readonly changesAt: number;
};

type Entry = {
	/**
	Position in the order of addition.
	*/
	readonly position: number;
	known: Classification;
};

/**
Milliseconds by which an upstream is classified before the computed time of a change: rounding may put the change slightly earlier.
*/
const ROUNDING_MILLISECONDS = 1e-3;

class IncrementalIndex implements UpstreamIndex {
	readonly #entries = new Map<Upstream, Entry>();
	readonly #changes = new SortedItems<Upstream>();
	readonly #open = new SortedItems<Upstream>();
	readonly #openByDomain = new Map<core.FailureDomain, SortedItems<Upstream>>();
	readonly #usable = new SortedItems<Upstream>();
	readonly #usableByDomain = new Map<core.FailureDomain, SortedItems<Upstream>>();
	readonly #limitedUsable = new SortedItems<Upstream>();
	readonly #trials = new SortedItems<Upstream>();
	readonly #nextTrials = new SortedItems<Upstream>();
	readonly #suspended = new SortedItems<Upstream>();
	readonly #backingOff = new SortedItems<Upstream>();
	#nextPosition = 0;
	#free = 0;
	#serving = 0;
	#limited = 0;
	#draining = 0;
	#unlimitedSlots = 0;

	add(upstream: Upstream, now: number): void {
		const entry: Entry = {position: this.#nextPosition++, known: classify(upstream, now)};
		this.#entries.set(upstream, entry);
		this.#file(upstream, entry);
	}

	remove(upstream: Upstream): void {
		const entry = this.#entries.get(upstream);
		if (entry === undefined) {
			return;
		}

		this.#unfile(upstream, entry);
		this.#entries.delete(upstream);
	}

	refresh(upstream: Upstream, now: number): void {
		const entry = this.#entries.get(upstream);
		if (entry === undefined) {
			return;
		}

		const next = classify(upstream, now);
		if (isSameClassification(entry.known, next)) {
			return;
		}

		this.#unfile(upstream, entry);
		entry.known = next;
		this.#file(upstream, entry);
	}

	countFree(now: number): number {
		this.#advance(now);
		return this.#free;
	}

	listFree(now: number, failureDomain: core.FailureDomain, isAccepted: (upstream: Upstream) => boolean): readonly Upstream[] {
		this.#advance(now);
		if (this.#open.size <= MAX_CANDIDATES) {
			return this.#open.items;
		}

		const own = this.#openByDomain.get(failureDomain)?.takeTurns(MAX_OWN_DOMAIN_CANDIDATES, isAccepted) ?? [];
		const others = this.#openByDomain.entries().filter(([domain, {size}]) => domain !== failureDomain && size > 0).toArray();
		const maxEach = Math.ceil((MAX_CANDIDATES - own.length) / others.length);
		return [...own, ...others.flatMap(([, upstreams]) => upstreams.takeTurns(maxEach, isAccepted))];
	}

	hasFreeInDomain(now: number, failureDomain: core.FailureDomain, isAccepted: (upstream: Upstream) => boolean): boolean {
		this.#advance(now);
		return this.#openByDomain.get(failureDomain)?.items.some(upstream => isAccepted(upstream)) === true;
	}

	listTrials(now: number): readonly Upstream[] {
		this.#advance(now);
		return listTurns(this.#trials, () => true);
	}

	getNextTrialAt(now: number): number {
		this.#advance(now);
		return this.#nextTrials.getLowestKey();
	}

	listSuspended(now: number, isAccepted: (upstream: Upstream) => boolean): readonly Upstream[] {
		this.#advance(now);
		return listTurns(this.#suspended, isAccepted);
	}

	listUsableInDomain(now: number, failureDomain: core.FailureDomain): readonly Upstream[] {
		this.#advance(now);
		const upstreams = this.#usableByDomain.get(failureDomain);
		return upstreams === undefined ? [] : listTurns(upstreams, () => true);
	}

	listUsable(now: number): readonly Upstream[] {
		this.#advance(now);
		return this.#usable.items;
	}

	countUnlimitedSlots(now: number): number {
		this.#advance(now);
		return this.#unlimitedSlots;
	}

	listLimitedUsable(now: number): readonly Upstream[] {
		this.#advance(now);
		return this.#limitedUsable.items;
	}

	listBackingOff(now: number): readonly Upstream[] {
		this.#advance(now);
		return this.#backingOff.items;
	}

	countServing(): number {
		return this.#serving;
	}

	count(now: number): UpstreamCounts {
		this.#advance(now);
		return {
			upstreams: this.#entries.size, suspended: this.#suspended.size, rateLimited: this.#limited, draining: this.#draining,
		};
	}

	/**
	Classifies the upstreams again whose class may have changed until now.
	*/
	#advance(now: number): void {
		if (this.#changes.getLowestKey() > now) {
			return;
		}

		const due: Upstream[] = [];
		for (const upstream of this.#changes.items) {
			if (this.#entries.get(upstream)!.known.changesAt > now) {
				break;
			}

			due.push(upstream);
		}

		for (const upstream of due) {
			this.refresh(upstream, now);
		}
	}

	#file(upstream: Upstream, {position, known}: Entry): void {
		this.#count(known, 1);
		for (const items of this.#listMemberships(known)) {
			items.insert(position, upstream);
		}

		if (known.changesAt < Infinity) {
			this.#changes.insert(known.changesAt, upstream);
		}

		if (known.nextTrialAt < Infinity) {
			this.#nextTrials.insert(known.nextTrialAt, upstream);
		}
	}

	#unfile(upstream: Upstream, {position, known}: Entry): void {
		this.#count(known, -1);
		for (const items of this.#listMemberships(known)) {
			items.remove(position, upstream);
		}

		if (known.changesAt < Infinity) {
			this.#changes.remove(known.changesAt, upstream);
		}

		if (known.nextTrialAt < Infinity) {
			this.#nextTrials.remove(known.nextTrialAt, upstream);
		}
	}

	#count(known: Classification, change: 1 | -1): void {
		this.#free += known.isFree ? change : 0;
		this.#serving += known.isServing ? change : 0;
		this.#limited += known.isLimited ? change : 0;
		this.#draining += known.isDraining ? change : 0;
		this.#unlimitedSlots += isUsable(known) && !known.isLimited ? known.slots * change : 0;
	}

	#listMemberships(known: Classification): ReadonlyArray<SortedItems<Upstream>> {
		const memberships = known.isSuspended ? [this.#suspended] : [];
		if (known.isTrial) {
			memberships.push(this.#trials);
		}

		if (known.isBackingOff) {
			memberships.push(this.#backingOff);
		}

		if (isUsable(known)) {
			memberships.push(this.#usable, getOrCreate(this.#usableByDomain, known.failureDomain));
			if (known.isLimited) {
				memberships.push(this.#limitedUsable);
			}
		}

		if (known.isFree && known.isOpen) {
			memberships.push(this.#open, getOrCreate(this.#openByDomain, known.failureDomain));
		}

		return memberships;
	}
}

function isUsable(known: Classification): boolean {
	return known.isServing && !known.isSuspended;
}

function getOrCreate(itemsByDomain: Map<core.FailureDomain, SortedItems<Upstream>>, failureDomain: core.FailureDomain): SortedItems<Upstream> {
	const items = itemsByDomain.get(failureDomain) ?? new SortedItems<Upstream>();
	itemsByDomain.set(failureDomain, items);
	return items;
}

function listTurns(upstreams: SortedItems<Upstream>, isAccepted: (upstream: Upstream) => boolean): readonly Upstream[] {
	return upstreams.size <= MAX_CANDIDATES ? upstreams.items : upstreams.takeTurns(MAX_CANDIDATES, isAccepted);
}

function classify(upstream: Upstream, now: number): Classification {
	const {candidate, heldSlots, closedUntil, nextTrialAt, rateLimit, backoffs} = upstream;
	const isInService = isServing(upstream);
	const isTrialsOnly = isSuspended(upstream, now);
	const isCapable = hasCapacity(upstream, now);
	const isOpen = closedUntil <= now;
	const backoffEndsAt = backoffs.size === 0 ? -Infinity : Math.max(...backoffs.values());
	const readmittedAt = isTrialsOnly ? getReadmittedAt(upstream) : Infinity;
	const tokenAt = rateLimit?.hasToken(now) === false ? now + rateLimit.getDelay(now) : Infinity;
	return {
		failureDomain: candidate.failureDomain,
		slots: candidate.slots,
		isServing: isInService,
		isSuspended: isTrialsOnly,
		isLimited: rateLimit !== undefined,
		isDraining: candidate.isDraining || upstream.isDraining,
		isFree: isCapable && isInService && !isTrialsOnly,
		isOpen,
		isTrial: isTrialsOnly && isInService && isCapable && isOpen && nextTrialAt <= now && heldSlots.size === 0 && !candidate.isSilent,
		isBackingOff: backoffEndsAt > now,
		nextTrialAt: isTrialsOnly && isInService ? nextTrialAt : Infinity,
		changesAt: Math.min(
			isOpen ? Infinity : closedUntil,
			backoffEndsAt > now ? backoffEndsAt : Infinity,
			isTrialsOnly && nextTrialAt > now ? nextTrialAt : Infinity,
			Math.min(readmittedAt, tokenAt) - ROUNDING_MILLISECONDS,
		),
	};
}

/**
Returns the time at which the doubt of a suspended upstream has decayed below suspension; Infinity while it doesn't decay.
*/
function getReadmittedAt({candidate, doubt, doubtUpdatedAt, policy}: Upstream): number {
	return candidate.isSilent || policy.fadingDoubt <= 0 ? Infinity : doubtUpdatedAt + ((doubt - policy.suspendedDoubt) / policy.fadingDoubt * MILLISECONDS_PER_SECOND);
}

function isSameClassification(known: Classification, next: Classification): boolean {
	return known.changesAt === next.changesAt
		&& known.nextTrialAt === next.nextTrialAt
		&& known.isFree === next.isFree
		&& known.isOpen === next.isOpen
		&& known.isTrial === next.isTrial
		&& known.isSuspended === next.isSuspended
		&& known.isServing === next.isServing
		&& known.isLimited === next.isLimited
		&& known.isDraining === next.isDraining
		&& known.isBackingOff === next.isBackingOff
		&& known.slots === next.slots
		&& known.failureDomain === next.failureDomain;
}
