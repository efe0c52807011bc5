/**
The allotments of organisations at one dispatcher. Each service has its dispatcher, so an organisation that calls several services is
admitted by several; each tells the others what it admitted, and takes what it is told from its own limiter.

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
	OrganisationLimiter,
	type Allotment,
	type AdmissionLimits,
	getBucketCapacity,
	getPresentShare,
} from './organisation-limiter.ts';
import {
	SERVICE_IDLE_MILLISECONDS,
	SERVICE_EXPIRY_MILLISECONDS,
	FRESH_REPORT_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	MISSING_REPORT_BURST_FRACTION,
	MIN_MISSING_REPORT_FRACTION,
	REPORT_TIMEOUT_MILLISECONDS,
	MISSING_REPORT_FRACTION,
	SLACK_FRACTION,
	MAX_UNREPORTED_REQUESTS,
	MAX_UNREPORTED_SECONDS,
} from './constants.ts';

/**
Requests that were admitted for a service on behalf of an organisation.
*/
export type Usage = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number];

/**
Requests that an entry host was admitted a while ago.
*/
export type PastUsage = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number, ageMilliseconds: number];

/**
What a dispatcher tells the others. A service without use is named all the same: its dispatcher can be heard.
*/
export type UsageReport = {
	/**
	Clock of the dispatcher that tells it.
	*/
	readonly at: number;
	/**
	Share of the entry hosts that it speaks for, 0 to 1; absent: it gives out the whole, as control hosts do.
	*/
	readonly share?: number;
	readonly services: readonly core.ServiceName[];
	readonly uses: readonly Usage[];
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
		readonly isLimited: boolean;
		/**
		So much was admitted since the last telling that the others are to be told at once.
		*/
		readonly isReportUrgent: boolean;
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
		readonly fraction: number;
		/**
		Milliseconds since another dispatcher told its use; absent when none ever did.
		*/
		readonly reportAgeMilliseconds?: number;
	};

/**
Allotments at one dispatcher. Times are in milliseconds of a monotonic clock.
*/
export type AllotmentLimiter = {
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
	readonly refund: (organisation: core.Organisation, service: core.ServiceName, now: number) => void;
	/**
	@param at When it was told, by this dispatcher's clock. A host that stood still hears of seconds at once: taken as of now, they would use up all accounts.
	*/
	readonly applyReport: (news: UsageReport, time: {readonly at: number; readonly now: number}) => void;
	/**
	Takes all that an entry host was admitted by other dispatchers in the last window, before it asks here for the first time.

	@param share Share of the entry hosts that this one is, 0 to 1.
	@param absentSince When it was last heard here; absent: it was heard all the while.
	*/
	readonly applyPastUsage: (uses: readonly PastUsage[], share: number, now: number, absentSince?: number) => void;
	/**
	Returns what was not told yet, undefined when this dispatcher speaks for no service.
	*/
	readonly collectReport: (now: number) => UsageReport | undefined;
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
	readonly isReceivingReports: boolean;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

const NO_ABSENCES: readonly Absence[] = [];
const UNLIMITED: Admission = {kind: 'admitted', isLimited: false, isReportUrgent: false};

/**
Creates allotments of a dispatcher that knows none.
*/
export function createAllotmentLimiter(settings: AllotmentSettings, now: number): AllotmentLimiter {
	return new DispatcherAllotmentLimiter(settings, now);
}

class DispatcherAllotmentLimiter implements AllotmentLimiter {
	readonly #settings: AllotmentSettings;
	#allotments: ReadonlyMap<core.Organisation, Allotment> = new Map();
	readonly #limiters = new Map<core.Organisation, OrganisationLimiter>();
	/**
	When each service was last asked for here.
	*/
	readonly #requestedAt = new Map<core.ServiceName, number>();
	/**
	When another dispatcher last told of each service.
	*/
	readonly #reportedAt = new Map<core.ServiceName, number>();
	/**
	Accounts with use that the others may not know of yet.
	*/
	readonly #unconfirmed = new Set<OrganisationLimiter>();
	readonly #unreported = new Map<core.ServiceName, Map<core.Organisation, number>>();
	/**
	Since when this dispatcher has heard of all use.
	*/
	#usageKnownSince: number;
	/**
	Share of the entry hosts that have told what they were admitted before.
	*/
	#reportedShare = 0;
	#lastRequestAt: number;
	#lastReportAt: number | undefined;

	constructor(settings: AllotmentSettings, now: number) {
		this.#settings = settings;
		this.#usageKnownSince = now;
		this.#lastRequestAt = now;
	}

	setAllotments(allotments: readonly Allotment[], now: number): void {
		this.#allotments = new Map(allotments.filter(({ratePerSecond}) => ratePerSecond > 0).map(allotment => [allotment.organisation, allotment]));
		for (const [organisation, limiter] of this.#limiters) {
			const allotment = this.#allotments.get(organisation);
			if (allotment === undefined) {
				this.#limiters.delete(organisation);
			} else {
				limiter.setLimits(allotment, this.#getLimits(limiter, now), now);
			}
		}
	}

	admit(organisation: core.Organisation, service: core.ServiceName, now: number): Admission {
		const allotment = this.#allotments.get(organisation);
		if (allotment === undefined) {
			return UNLIMITED;
		}

		this.#recordRequest(service, now);
		const limiter = this.#getLimiter(allotment, now);
		const limits = this.#getLimits(limiter, now);
		limiter.setLimits(allotment, limits, now);
		if (limiter.hasToken(now)) {
			limiter.recordAdmitted(service, 1, now);
			this.#unconfirmed.add(limiter);
			const unreported = this.#recordUnreported(service, organisation, 1);
			return {kind: 'admitted', isLimited: true, isReportUrgent: unreported >= MAX_UNREPORTED_REQUESTS + (allotment.ratePerSecond * MAX_UNREPORTED_SECONDS)};
		}

		return {
			kind: 'refused',
			retryAfterMilliseconds: Math.min(limiter.getDelay(now), this.#settings.windowMilliseconds),
			ratePerSecond: allotment.ratePerSecond,
			used: limiter.getUsage(now),
			fraction: limits.fraction,
			reportAgeMilliseconds: this.#lastReportAt === undefined ? undefined : now - this.#lastReportAt,
		};
	}

	refund(organisation: core.Organisation, service: core.ServiceName, now: number): void {
		const limiter = this.#limiters.get(organisation);
		if (limiter === undefined) {
			return;
		}

		limiter.recordAdmitted(service, -1, now);
		this.#recordUnreported(service, organisation, -1);
	}

	applyReport({services, uses, share}: UsageReport, {at, now}: {readonly at: number; readonly now: number}): void {
		this.#lastReportAt = now;
		for (const service of services) {
			this.#reportedAt.set(service, now);
		}

		if (this.#isEveryServiceReported(now)) {
			this.#confirmUsage();
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

			const limiter = this.#getLimiter(allotment, now);
			const fraction = this.#getSharedFraction(service, share, now);
			if (fraction === undefined) {
				limiter.recordRemoteUsage(service, requests, {at, now});
			} else {
				limiter.recordSharedUsage(service, requests, {at, now, fraction});
			}
		}
	}

	applyPastUsage(uses: readonly PastUsage[], share: number, now: number, absentSince = Infinity): void {
		this.#resetAfterIdle(now);
		this.#reportedShare += share;
		for (const [service, organisation, requests, ageMilliseconds] of uses) {
			const at = now - ageMilliseconds;
			const allotment = this.#allotments.get(organisation);
			// What was admitted later was told by the dispatcher that admitted it, unless it spoke for hosts that were absent here.
			const isUnreported = at <= this.#usageKnownSince + REPORT_TIMEOUT_MILLISECONDS || at >= absentSince;
			if (allotment === undefined || !isUnreported) {
				continue;
			}

			this.#getLimiter(allotment, now).recordPastUsage(service, requests, at);
			this.#expectReports(service, now);
		}
	}

	collectReport(now: number): UsageReport | undefined {
		const services = this.#requestedAt.entries().filter(([, requestedAt]) => now - requestedAt < SERVICE_IDLE_MILLISECONDS).map(([service]) => service).toArray();
		const uses = this.#unreported.entries()
			.flatMap(([service, organisations]) => organisations.entries().map(([organisation, requests]): Usage => [service, organisation, requests]))
			.filter(usage => usage[2] !== 0)
			.toArray();
		this.#unreported.clear();
		return services.length === 0 && uses.length === 0
			? undefined
			: {
				at: now, services, uses, ...!this.#settings.isReceivingReports && {share: this.#settings.getShare(now)},
			};
	}

	#recordRequest(service: core.ServiceName, now: number): void {
		this.#resetAfterIdle(now);
		this.#requestedAt.set(service, now);
	}

	/**
	Others may have dispatched while this host was not asked and not told: what it holds is worth nothing then.
	*/
	#resetAfterIdle(now: number): void {
		if (!this.#settings.isReceivingReports && now - this.#lastRequestAt > SERVICE_IDLE_MILLISECONDS) {
			this.#limiters.clear();
			this.#reportedAt.clear();
			this.#reportedShare = 0;
			this.#usageKnownSince = now;
		}

		this.#lastRequestAt = now;
	}

	/**
	Whoever dispatches a service that was used lately is to be heard soon, or counts as cut off.
	*/
	#expectReports(service: core.ServiceName, now: number): void {
		if (!this.#reportedAt.has(service)) {
			this.#reportedAt.set(service, now);
		}
	}

	#recordUnreported(service: core.ServiceName, organisation: core.Organisation, requests: number): number {
		const uses = this.#unreported.get(service) ?? new Map<core.Organisation, number>();
		this.#unreported.set(service, uses);
		const unreported = (uses.get(organisation) ?? 0) + requests;
		uses.set(organisation, unreported);
		return unreported;
	}

	/**
	An limiter that nothing was taken from has filled since this dispatcher began to hear of all use.
	*/
	#getLimiter(allotment: Allotment, now: number): OrganisationLimiter {
		const known = this.#limiters.get(allotment.organisation);
		if (known !== undefined) {
			return known;
		}

		const limits = this.#getFullLimits(now);
		const filled = this.#drawInitialTokens(limits) + ((now - this.#usageKnownSince) * allotment.ratePerSecond * limits.fraction / MILLISECONDS_PER_SECOND);
		const tokens = Math.min(getBucketCapacity(allotment, limits), filled);
		const limiter = new OrganisationLimiter(allotment, limits, tokens, now);
		this.#limiters.set(allotment.organisation, limiter);
		return limiter;
	}

	/**
	Tokens of an limiter that begins. A host's part of them may be less than one: then some hosts begin with one, and each of the others somewhere on the
	way to its first, so that all together give out the rate from the beginning on.
	*/
	#drawInitialTokens({fraction, extraTokens}: AdmissionLimits): number {
		const start = extraTokens * fraction;
		const {random} = this.#settings;
		return start >= 1 ? start : Number(random() < start) + random();
	}

	#getFullLimits(now: number): AdmissionLimits {
		const {slack, windowMilliseconds} = this.#settings;
		const hasWholeWindow = this.#hasWholeWindow(now);
		const share = hasWholeWindow ? 1 : this.#settings.getShare(now);
		const absences = this.#listAbsences(now);
		return {
			fraction: share * getPresentShare(absences),
			burstFraction: 1,
			share,
			absences,
			reportedShare: hasWholeWindow ? 0 : Math.min(share, this.#reportedShare),
			extraTokens: slack * SLACK_FRACTION,
			isAllUsageKnown: hasWholeWindow,
			windowMilliseconds,
		};
	}

	/**
	Lists the entry hosts whose shares are not given out here. One that gives out the share of those that ask leaves out the others anyway.
	*/
	#listAbsences(now: number): readonly Absence[] {
		return (this.#hasWholeWindow(now) ? this.#settings.listAbsences?.(now) : undefined) ?? NO_ABSENCES;
	}

	/**
	Returns which part of the use of another entry host's dispatcher may be that of hosts that ask here too; undefined where those that ask it ask nobody here. A host
	asks one dispatcher for each service, so two dispatchers of different services speak for the same hosts.
	*/
	#getSharedFraction(service: core.ServiceName, share: number | undefined, now: number): number | undefined {
		const isOwn = now - (this.#requestedAt.get(service) ?? -Infinity) < SERVICE_IDLE_MILLISECONDS;
		return share === undefined || isOwn || this.#hasWholeWindow(now) ? undefined : Math.min(1, this.#settings.getShare(now) / share);
	}

	/**
	Says whether this dispatcher has heard of all use for a window.
	*/
	#hasWholeWindow(now: number): boolean {
		const {isReceivingReports, windowMilliseconds} = this.#settings;
		return isReceivingReports && now - this.#usageKnownSince >= windowMilliseconds;
	}

	#getLimits(limiter: OrganisationLimiter, now: number): AdmissionLimits {
		const full = this.#getFullLimits(now);
		const silent = this.#listUnreportedServices(now, REPORT_TIMEOUT_MILLISECONDS);
		if (silent.size === 0) {
			return full;
		}

		const fraction = Math.max(MIN_MISSING_REPORT_FRACTION, (1 - limiter.getUsageFraction(silent)) * MISSING_REPORT_FRACTION);
		return {
			...full, isAllUsageKnown: false, fraction: full.fraction * fraction, burstFraction: MISSING_REPORT_BURST_FRACTION,
		};
	}

	#confirmUsage(): void {
		for (const limiter of this.#unconfirmed) {
			limiter.confirmUsage();
		}

		this.#unconfirmed.clear();
	}

	/**
	Says whether the use of all services is heard.
	*/
	#isEveryServiceReported(now: number): boolean {
		return this.#listUnreportedServices(now, FRESH_REPORT_MILLISECONDS).size === 0;
	}

	/**
	Lists the services whose dispatcher was heard before, is not heard now, and is not this one.
	*/
	#listUnreportedServices(now: number, maxSilence: number): ReadonlySet<core.ServiceName> {
		const silent = new Set<core.ServiceName>();
		for (const [service, heardAt] of this.#reportedAt) {
			const isOwn = now - (this.#requestedAt.get(service) ?? -Infinity) < SERVICE_IDLE_MILLISECONDS;
			const silence = now - heardAt;
			if (silence > SERVICE_EXPIRY_MILLISECONDS) {
				this.#reportedAt.delete(service);
			} else if (!isOwn && silence > maxSilence) {
				silent.add(service);
			}
		}

		return silent;
	}
}
