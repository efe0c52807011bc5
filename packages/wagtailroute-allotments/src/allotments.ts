/**
The allotments of organisations at one dispatcher. Each service has its dispatcher, so an organisation that calls several services is
admitted by several; each tells the others what it admitted, and takes what it is told from its own account.

Who may give out which part of an allotment:

- A control host that has heard of all use for a whole window gives out all of it, and so do the others that are asked, for other services or for the same one: what
  each admits is taken from the accounts of the others.
- Any other dispatcher gives out the share of the entry hosts that ask it: an entry host, since others may be asked at the same time, and a control host that has
  started less than a window ago, since entry hosts may still be asked. Of what it is told it takes the same share from its accounts: the rest was admitted for the hosts that ask the others.
- An entry host that turns to another dispatcher tells it what it was admitted in the last window. So a dispatcher that takes over does not admit the burst once
  more, whoever was lost before.

What can go wrong, and what it costs:

- Two dispatchers admit the same tokens before they hear of each other. They owe them afterwards, so an organisation that floods gets more than its
  rate by what is admitted in one interval of telling, once.
- Entry hosts are cut off from all control hosts, and dispatch among themselves. A control host does not give out the shares of those that it does not hear. Of
  what it admitted before it counts what the others may have had; back again, an entry host tells what it was admitted meanwhile.
- Dispatchers are cut off from each other while entry hosts reach both. Told nothing, each would give out the whole rate. So whoever misses news of
  a service gives out only the part that its other services used before; the parts of both sides add up to the whole.
- A dispatcher is lost. Its successor was told what it admitted, and speaks for its service from the first ask on, so nothing stays set aside.
- Everything starts anew. What was admitted before is unknown, so accounts begin nearly empty.
*/
import type * as core from 'wagtailroute-core';
import {
	type Absence,
	Account,
	type Allotment,
	type Extent,
	getCapacity,
	getPresentShare,
} from './account.ts';
import {
	ACTIVE_MILLISECONDS,
	FORGET_MILLISECONDS,
	FRESH_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	SILENT_BURST_PART,
	SILENT_LEAST_PART,
	SILENT_MILLISECONDS,
	SILENT_PART,
	SLACK_PART,
	UNTOLD_MOST,
	UNTOLD_SECONDS,
} from './constants.ts';

/**
Requests that were admitted for a service on behalf of an organisation.
*/
export type Use = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number];

/**
Requests that an entry host was admitted a while ago.
*/
export type PastUse = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number, ageMilliseconds: number];

/**
What a dispatcher tells the others. A service without use is named all the same: its dispatcher can be heard.
*/
export type UseNews = {
	/**
	Clock of the dispatcher that tells it.
	*/
	readonly at: number;
	/**
	Share of the entry hosts that it speaks for, 0 to 1; absent: it gives out the whole, as control hosts do.
	*/
	readonly share?: number;
	readonly services: readonly core.ServiceName[];
	readonly uses: readonly Use[];
};

/**
Whether a request is within its organisation's allotment.
*/
export type Admission =
	| {
		readonly kind: 'admitted';
		/**
		The organisation has an allotment, of which the others are told.
		*/
		readonly isBound: boolean;
		/**
		So much was admitted since the last telling that the others are to be told at once.
		*/
		readonly isUrgent: boolean;
	}
	| {
		readonly kind: 'refused';
		/**
		Milliseconds until the next request may be admitted, a window at most.
		*/
		readonly retryAfterMilliseconds: number;
		readonly ratePerSecond: number;
		/**
		Requests used in the last window, over the fleet, as far as is known here.
		*/
		readonly used: number;
		/**
		Part of the allotment that is given out here, 0 to 1.
		*/
		readonly part: number;
		/**
		Milliseconds since another dispatcher told its use; absent when none ever did.
		*/
		readonly ageMilliseconds?: number;
	};

/**
Allotments at one dispatcher. Times are in milliseconds of a monotonic clock.
*/
export type Allotments = {
	/**
	Takes the allotments in force; organisations that are not named have none, so that nothing bounds them.
	*/
	readonly setAllotments: (allotments: readonly Allotment[], now: number) => void;
	/**
	Admits a request, or says why not.
	*/
	readonly admit: (organisation: core.Organisation, service: core.ServiceName, now: number) => Admission;
	/**
	Gives back what was taken for a request that was sent nowhere and never will be.
	*/
	readonly giveBack: (organisation: core.Organisation, service: core.ServiceName, now: number) => void;
	/**
	@param at When it was told, by this dispatcher's clock. A host that stood still hears of seconds at once: taken as of now, they would use up all accounts.
	*/
	readonly hearUse: (news: UseNews, time: {readonly at: number; readonly now: number}) => void;
	/**
	Takes all that an entry host was admitted by other dispatchers in the last window, before it asks here for the first time.

	@param share Share of the entry hosts that this one is, 0 to 1.
	@param absentSince When it was last heard here; absent: it was heard all the while.
	*/
	readonly takeOver: (uses: readonly PastUse[], share: number, now: number, absentSince?: number) => void;
	/**
	Returns what was not told yet, undefined when this dispatcher speaks for no service.
	*/
	readonly takeNews: (now: number) => UseNews | undefined;
};

/**
Settings of allotments.
*/
export type AllotmentSettings = {
	/**
	Requests beyond rate and burst that may pass in a window.
	*/
	readonly slack: number;
	readonly windowMilliseconds: number;
	/**
	Returns the share of the entry hosts that ask this dispatcher, 0 to 1.
	*/
	readonly getShare: (now: number) => number;
	/**
	Returns the entry hosts that this dispatcher does not hear; the same list for as long as nothing changes. Absent on entry hosts, which give out the share of
	those that ask.
	*/
	readonly listAbsences?: (now: number) => readonly Absence[];
	/**
	This dispatcher hears of all use even while it is not asked, as control hosts do.
	*/
	readonly isTold: boolean;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

const NO_ABSENCES: readonly Absence[] = [];
const ADMITTED: Admission = {kind: 'admitted', isBound: false, isUrgent: false};

/**
Creates allotments of a dispatcher that knows none.
*/
export function createAllotments(settings: AllotmentSettings, now: number): Allotments {
	return new DispatcherAllotments(settings, now);
}

class DispatcherAllotments implements Allotments {
	readonly #settings: AllotmentSettings;
	#allotments: ReadonlyMap<core.Organisation, Allotment> = new Map();
	readonly #accounts = new Map<core.Organisation, Account>();
	/**
	When each service was last asked for here.
	*/
	readonly #askedAt = new Map<core.ServiceName, number>();
	/**
	When another dispatcher last told of each service.
	*/
	readonly #heardAt = new Map<core.ServiceName, number>();
	/**
	Accounts with use that the others may not know of yet.
	*/
	readonly #unsettled = new Set<Account>();
	readonly #untold = new Map<core.ServiceName, Map<core.Organisation, number>>();
	/**
	Since when this dispatcher has heard of all use.
	*/
	#knowsSince: number;
	/**
	Share of the entry hosts that have told what they were admitted before.
	*/
	#toldShare = 0;
	#lastAskedAt: number;
	#lastHeardAt: number | undefined;

	constructor(settings: AllotmentSettings, now: number) {
		this.#settings = settings;
		this.#knowsSince = now;
		this.#lastAskedAt = now;
	}

	setAllotments(allotments: readonly Allotment[], now: number): void {
		this.#allotments = new Map(allotments.filter(({ratePerSecond}) => ratePerSecond > 0).map(allotment => [allotment.organisation, allotment]));
		for (const [organisation, account] of this.#accounts) {
			const allotment = this.#allotments.get(organisation);
			if (allotment === undefined) {
				this.#accounts.delete(organisation);
			} else {
				account.setBounds(allotment, this.#getExtent(account, now), now);
			}
		}
	}

	admit(organisation: core.Organisation, service: core.ServiceName, now: number): Admission {
		const allotment = this.#allotments.get(organisation);
		if (allotment === undefined) {
			return ADMITTED;
		}

		this.#noteAsked(service, now);
		const account = this.#getAccount(allotment, now);
		const extent = this.#getExtent(account, now);
		account.setBounds(allotment, extent, now);
		if (account.hasToken(now)) {
			account.use(service, 1, now);
			this.#unsettled.add(account);
			const untold = this.#noteUntold(service, organisation, 1);
			return {kind: 'admitted', isBound: true, isUrgent: untold >= UNTOLD_MOST + (allotment.ratePerSecond * UNTOLD_SECONDS)};
		}

		return {
			kind: 'refused',
			retryAfterMilliseconds: Math.min(account.getDelay(now), this.#settings.windowMilliseconds),
			ratePerSecond: allotment.ratePerSecond,
			used: account.getUse(now),
			part: extent.part,
			ageMilliseconds: this.#lastHeardAt === undefined ? undefined : now - this.#lastHeardAt,
		};
	}

	giveBack(organisation: core.Organisation, service: core.ServiceName, now: number): void {
		const account = this.#accounts.get(organisation);
		if (account === undefined) {
			return;
		}

		account.use(service, -1, now);
		this.#noteUntold(service, organisation, -1);
	}

	hearUse({services, uses, share}: UseNews, {at, now}: {readonly at: number; readonly now: number}): void {
		this.#lastHeardAt = now;
		for (const service of services) {
			this.#heardAt.set(service, now);
		}

		if (this.#isWhole(now)) {
			this.#settle();
		}

		// Entry hosts dispatch for those that are absent here, out of the shares that are not given out for these.
		if (share !== undefined && this.#listAbsences(now).length > 0) {
			return;
		}

		for (const [service, organisation, requests] of uses) {
			const allotment = this.#allotments.get(organisation);
			if (allotment === undefined) {
				continue;
			}

			const account = this.#getAccount(allotment, now);
			const part = this.#getSharedPart(service, share, now);
			if (part === undefined) {
				account.hearUse(service, requests, {at, now});
			} else {
				account.hearSharedUse(service, requests, {at, now, part});
			}
		}
	}

	takeOver(uses: readonly PastUse[], share: number, now: number, absentSince = Infinity): void {
		this.#wake(now);
		this.#toldShare += share;
		for (const [service, organisation, requests, ageMilliseconds] of uses) {
			const at = now - ageMilliseconds;
			const allotment = this.#allotments.get(organisation);
			// What was admitted later was told by the dispatcher that admitted it, unless it spoke for hosts that were absent here.
			const isUntold = at <= this.#knowsSince + SILENT_MILLISECONDS || at >= absentSince;
			if (allotment === undefined || !isUntold) {
				continue;
			}

			this.#getAccount(allotment, now).recordPast(service, requests, at);
			this.#expectNews(service, now);
		}
	}

	takeNews(now: number): UseNews | undefined {
		const services = this.#askedAt.entries().filter(([, askedAt]) => now - askedAt < ACTIVE_MILLISECONDS).map(([service]) => service).toArray();
		const uses = this.#untold.entries()
			.flatMap(([service, organisations]) => organisations.entries().map(([organisation, requests]): Use => [service, organisation, requests]))
			.filter(use => use[2] !== 0)
			.toArray();
		this.#untold.clear();
		return services.length === 0 && uses.length === 0
			? undefined
			: {
				at: now, services, uses, ...!this.#settings.isTold && {share: this.#settings.getShare(now)},
			};
	}

	#noteAsked(service: core.ServiceName, now: number): void {
		this.#wake(now);
		this.#askedAt.set(service, now);
	}

	/**
	Others may have dispatched while this host was not asked and not told: what it holds is worth nothing then.
	*/
	#wake(now: number): void {
		if (!this.#settings.isTold && now - this.#lastAskedAt > ACTIVE_MILLISECONDS) {
			this.#accounts.clear();
			this.#heardAt.clear();
			this.#toldShare = 0;
			this.#knowsSince = now;
		}

		this.#lastAskedAt = now;
	}

	/**
	Whoever dispatches a service that was used lately is to be heard soon, or counts as cut off.
	*/
	#expectNews(service: core.ServiceName, now: number): void {
		if (!this.#heardAt.has(service)) {
			this.#heardAt.set(service, now);
		}
	}

	#noteUntold(service: core.ServiceName, organisation: core.Organisation, requests: number): number {
		const uses = this.#untold.get(service) ?? new Map<core.Organisation, number>();
		this.#untold.set(service, uses);
		const untold = (uses.get(organisation) ?? 0) + requests;
		uses.set(organisation, untold);
		return untold;
	}

	/**
	An account that nothing was taken from has filled since this dispatcher began to hear of all use.
	*/
	#getAccount(allotment: Allotment, now: number): Account {
		const known = this.#accounts.get(allotment.organisation);
		if (known !== undefined) {
			return known;
		}

		const extent = this.#getFullExtent(now);
		const filled = this.#drawStart(extent) + ((now - this.#knowsSince) * allotment.ratePerSecond * extent.part / MILLISECONDS_PER_SECOND);
		const tokens = Math.min(getCapacity(allotment, extent), filled);
		const account = new Account(allotment, extent, tokens, now);
		this.#accounts.set(allotment.organisation, account);
		return account;
	}

	/**
	Tokens of an account that begins. A host's part of them may be less than one: then some hosts begin with one, and each of the others somewhere on the
	way to its first, so that all together give out the rate from the beginning on.
	*/
	#drawStart({part, extra}: Extent): number {
		const start = extra * part;
		const {random} = this.#settings;
		return start >= 1 ? start : Number(random() < start) + random();
	}

	#getFullExtent(now: number): Extent {
		const {slack, windowMilliseconds} = this.#settings;
		const isWhole = this.#hasHeardWindow(now);
		const share = isWhole ? 1 : this.#settings.getShare(now);
		const absences = this.#listAbsences(now);
		return {
			part: share * getPresentShare(absences),
			burstPart: 1,
			share,
			absences,
			toldShare: isWhole ? 0 : Math.min(share, this.#toldShare),
			extra: slack * SLACK_PART,
			isWhole,
			windowMilliseconds,
		};
	}

	/**
	Lists the entry hosts whose shares are not given out here. One that gives out the share of those that ask leaves out the others anyway.
	*/
	#listAbsences(now: number): readonly Absence[] {
		return (this.#hasHeardWindow(now) ? this.#settings.listAbsences?.(now) : undefined) ?? NO_ABSENCES;
	}

	/**
	Returns which part of the use of another entry host's dispatcher may be that of hosts that ask here too; undefined where those that ask it ask nobody here. A host
	asks one dispatcher for each service, so two dispatchers of different services speak for the same hosts.
	*/
	#getSharedPart(service: core.ServiceName, share: number | undefined, now: number): number | undefined {
		const isOwn = now - (this.#askedAt.get(service) ?? -Infinity) < ACTIVE_MILLISECONDS;
		return share === undefined || isOwn || this.#hasHeardWindow(now) ? undefined : Math.min(1, this.#settings.getShare(now) / share);
	}

	/**
	Says whether this dispatcher has heard of all use for a window.
	*/
	#hasHeardWindow(now: number): boolean {
		const {isTold, windowMilliseconds} = this.#settings;
		return isTold && now - this.#knowsSince >= windowMilliseconds;
	}

	#getExtent(account: Account, now: number): Extent {
		const full = this.#getFullExtent(now);
		const silent = this.#listSilent(now, SILENT_MILLISECONDS);
		if (silent.size === 0) {
			return full;
		}

		const left = Math.max(SILENT_LEAST_PART, (1 - account.getPart(silent)) * SILENT_PART);
		return {
			...full, isWhole: false, part: full.part * left, burstPart: SILENT_BURST_PART,
		};
	}

	#settle(): void {
		for (const account of this.#unsettled) {
			account.settle();
		}

		this.#unsettled.clear();
	}

	/**
	Says whether the use of all services is heard.
	*/
	#isWhole(now: number): boolean {
		return this.#listSilent(now, FRESH_MILLISECONDS).size === 0;
	}

	/**
	Lists the services whose dispatcher was heard before, is not heard now, and is not this one.
	*/
	#listSilent(now: number, longest: number): ReadonlySet<core.ServiceName> {
		const silent = new Set<core.ServiceName>();
		for (const [service, heardAt] of this.#heardAt) {
			const isOwn = now - (this.#askedAt.get(service) ?? -Infinity) < ACTIVE_MILLISECONDS;
			const silence = now - heardAt;
			if (silence > FORGET_MILLISECONDS) {
				this.#heardAt.delete(service);
			} else if (!isOwn && silence > longest) {
				silent.add(service);
			}
		}

		return silent;
	}
}
