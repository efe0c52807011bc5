/**
The allotments of organisations at one dispatcher. Each service has one dispatcher, so the requests of an organisation that calls several services are
admitted by several dispatchers. Each one reports to the others what it admitted, and deducts what they report from its own token buckets.

How much of an allotment a dispatcher may admit:

- A control host that has received all reports for a whole window admits all of it. So do the other control hosts that receive slot requests, for other services or
  for the same one: what each admits is deducted at the others.
- Any other dispatcher admits what entry hosts lend it. These are the dispatchers on entry hosts, since others may be in use at the same time, and on a control host that
  started less than a window ago, since entry hosts may still dispatch. With each slot request a host lends the time since its previous one, to whichever dispatcher, and
  once in a window its part of the bursts. So all dispatchers together get the tokens of the time that passes, whatever each of them knows of the others. What several
  of them have not used yet is bounded by the capacity of each bucket, and by the windows.
- An entry host that turns to another dispatcher reports to it what it was admitted in the last window. This usage counts in the window of requests, which bounds what
  is admitted a second time. So does the usage that other dispatchers report, as the share of the entry hosts that request slots here.

Failures, and their effect:

- Two dispatchers admit the same tokens before they receive each other's reports. Both buckets go into debt, so an organisation that sends too much exceeds its
  rate once, by what is admitted in one report interval.
- Entry hosts are cut off from all control hosts and dispatch among themselves. A control host does not admit the shares of entry hosts from which it receives nothing.
  Of the usage before the cut it counts only what the remaining hosts may have used. When an entry host is connected again, it reports what it was admitted meanwhile.
- Dispatchers are cut off from each other while entry hosts reach both. Without reports each would admit the whole rate. So a dispatcher that misses the reports on
  a service admits only the fraction that its other services used before; the fractions of both sides add up to the whole.
- A dispatcher fails. Its successor has received its reports and dispatches the service from the first slot request on, so no fraction stays reserved.
- Entry hosts alternate between dispatchers that answer late. What a host lends to one of them it does not lend to another.
- All hosts restart. What was admitted before is unknown, so the buckets start nearly empty.
*/
import type * as core from 'wagtailroute-core';
import {
	type Absence,
	type AdmissionLimits,
	type Allotment,
	getBucketCapacity,
	getPresentShare,
	OrganisationLimiter,
} from './organisation-limiter.ts';
import {
	FRESH_REPORT_MILLISECONDS,
	MAX_LENT_AHEAD_MILLISECONDS,
	MAX_LENT_MILLISECONDS,
	MAX_UNREPORTED_REQUESTS,
	MAX_UNREPORTED_SECONDS,
	MILLISECONDS_PER_SECOND,
	MIN_MISSING_REPORT_FRACTION,
	MISSING_REPORT_BURST_FRACTION,
	MISSING_REPORT_FRACTION,
	REPORT_TIMEOUT_MILLISECONDS,
	SERVICE_EXPIRY_MILLISECONDS,
	SERVICE_IDLE_MILLISECONDS,
	SLACK_FRACTION,
} from './constants.ts';

/**
Requests of an organisation that were admitted for a service. Sent to other hosts.
*/
export type Usage = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number];

/**
Requests that were admitted for an entry host some time ago. Sent to other hosts.
*/
export type PastUsage = readonly [service: core.ServiceName, organisation: core.Organisation, requests: number, ageMilliseconds: number];

/**
What a dispatcher sends to the others. Services without usage are listed too: the receivers see that their dispatcher is connected.
*/
export type UsageReport = {
	/**
	Time of sending, by the sender's monotonic clock in milliseconds.
	*/
	readonly at: number;
	/**
	Share of the entry hosts that the sender admits requests for, 0 to 1; absent: it admits the whole allotment, as control hosts do.
	*/
	readonly share?: number;
	readonly services: readonly core.ServiceName[];
	readonly uses: readonly Usage[];
};

/**
What an entry host lends to the dispatcher of its next slot request, and to no other one.
*/
export type Loan = {
	/**
	Time since the host's previous slot request; negative for time that the host takes back.
	*/
	readonly milliseconds: number;
	/**
	The host's part of every burst, which it lends once in a window.
	*/
	readonly isBurstLent: boolean;
	/**
	The host's share of all entry hosts, 0 to 1.
	*/
	readonly hostShare: number;
};

/**
Result of checking a request against its organisation's allotment.
*/
export type Admission =
	| {
		readonly kind: 'admitted';
		/**
		The organisation has an allotment, so the request has to be reported.
		*/
		readonly isLimited: boolean;
		/**
		So much was admitted since the last report that the next one is to be sent at once.
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
		readonly burst: number;
		/**
		Requests of the last window, over the whole fleet, as far as is known here.
		*/
		readonly used: number;
		/**
		Fraction of the allotment that is admitted here, 0 to 1.
		*/
		readonly fraction: number;
		/**
		Time that entry hosts lent this dispatcher so far, in milliseconds of the whole fleet; absent where it admits the whole allotment.
		*/
		readonly lentMilliseconds?: number | undefined;
		/**
		Milliseconds since the last report of another dispatcher; absent when there was none.
		*/
		readonly reportAgeMilliseconds?: number;
	};

/**
Allotments at one dispatcher. Times are in milliseconds of a monotonic clock.
*/
export type AllotmentLimiter = {
	/**
	Replaces the allotments. Organisations that are not listed, or whose rate is 0, are not limited.
	*/
	readonly setAllotments: (allotments: readonly Allotment[], now: number) => void;
	/**
	Adds what an entry host lends with a slot request.
	*/
	readonly addLoan: (loan: Loan, now: number) => void;
	/**
	Admits or refuses a request.
	*/
	readonly admit: (organisation: core.Organisation, service: core.ServiceName, now: number) => Admission;
	/**
	Refunds the token of a request that was not sent to an upstream and never will be.
	*/
	readonly refund: (organisation: core.Organisation, service: core.ServiceName, now: number) => void;
	/**
	Records what another dispatcher admitted.

	@param at When the report was sent, by this dispatcher's clock. A host that was suspended receives the reports of several seconds at once: counted as of now, they would
	empty all buckets.
	*/
	readonly applyReport: (report: UsageReport, time: {readonly at: number; readonly now: number}) => void;
	/**
	Records all requests that other dispatchers admitted for an entry host in the last window, before it requests slots here for the first time.

	@param absentSince When the last message was received from the host; default: it was connected all the time.
	*/
	readonly applyPastUsage: (uses: readonly PastUsage[], now: number, absentSince?: number) => void;
	/**
	Returns the usage since the last report; undefined when there is none and this dispatcher has had no slot requests lately.
	*/
	readonly collectReport: (now: number) => UsageReport | undefined;
};

/**
Settings of allotments.
*/
export type AllotmentSettings = {
	/**
	Requests beyond rate and burst that may be admitted in a window.
	*/
	readonly slack: number;
	readonly windowMilliseconds: number;
	/**
	Returns the share of the entry hosts that request slots from this dispatcher, 0 to 1.
	*/
	readonly getShare: (now: number) => number;
	/**
	Returns the entry hosts from which this dispatcher receives nothing; the same array as long as nothing changes. Absent on entry hosts, which admit only
	what is lent to them.
	*/
	readonly listAbsences?: (now: number) => readonly Absence[];
	/**
	This dispatcher receives all reports even while it gets no slot requests, as control hosts do.
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
Creates a limiter without allotments.
*/
export function createAllotmentLimiter(settings: AllotmentSettings, now: number): AllotmentLimiter {
	return new DispatcherAllotmentLimiter(settings, now);
}

class DispatcherAllotmentLimiter implements AllotmentLimiter {
	readonly #settings: AllotmentSettings;
	#allotments: ReadonlyMap<core.Organisation, Allotment> = new Map();
	readonly #limiters = new Map<core.Organisation, OrganisationLimiter>();
	/**
	When a slot of each service was last requested here.
	*/
	readonly #requestedAt = new Map<core.ServiceName, number>();
	/**
	When another dispatcher last reported on each service.
	*/
	readonly #reportedAt = new Map<core.ServiceName, number>();
	/**
	Limiters with usage that the other dispatchers may not know of yet.
	*/
	readonly #unconfirmed = new Set<OrganisationLimiter>();
	readonly #unreported = new Map<core.ServiceName, Map<core.Organisation, number>>();
	/**
	Since when this dispatcher has received the reports on all usage.
	*/
	#usageKnownSince: number;
	/**
	Lent since then: time in milliseconds of the whole fleet, and the share of the entry hosts that lent their bursts.
	*/
	#lentMilliseconds = 0;
	#lentBurstShare = 0;
	/**
	Buckets start with tokens beyond the burst. A dispatcher that discards its state again within a window does not add them again.
	*/
	#hasExtraTokens = true;
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

	addLoan({milliseconds, isBurstLent, hostShare}: Loan, now: number): void {
		this.#resetAfterIdle(now);
		const lentMilliseconds = this.#lentMilliseconds + (Math.min(milliseconds, MAX_LENT_MILLISECONDS) * hostShare);
		// Where few entry hosts are known yet, each of them seems to lend a large share.
		this.#lentMilliseconds = Math.min(lentMilliseconds, now - this.#usageKnownSince + MAX_LENT_AHEAD_MILLISECONDS);
		this.#lentBurstShare += isBurstLent ? hostShare : 0;
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
			burst: allotment.burst,
			lentMilliseconds: limits.lentMilliseconds,
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

		// The sender is an entry host: it admits requests for hosts that are absent here, out of their shares, which are not admitted here.
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
				limiter.recordSharedUsage(service, requests, {at, fraction});
			}
		}
	}

	applyPastUsage(uses: readonly PastUsage[], now: number, absentSince = Infinity): void {
		this.#resetAfterIdle(now);
		for (const [service, organisation, requests, ageMilliseconds] of uses) {
			const at = now - ageMilliseconds;
			const allotment = this.#allotments.get(organisation);
			// Later usage was reported by the dispatcher that admitted it, unless that dispatcher served hosts that were absent here.
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
	Discards all state after a time without slot requests if this host receives no reports then: other dispatchers may have admitted requests meanwhile.
	*/
	#resetAfterIdle(now: number): void {
		if (!this.#settings.isReceivingReports && now - this.#lastRequestAt > SERVICE_IDLE_MILLISECONDS) {
			this.#limiters.clear();
			this.#reportedAt.clear();
			this.#lentMilliseconds = 0;
			this.#lentBurstShare = 0;
			this.#hasExtraTokens = now - this.#usageKnownSince >= this.#settings.windowMilliseconds;
			this.#usageKnownSince = now;
		}

		this.#lastRequestAt = now;
	}

	/**
	Expects reports on a service that was used lately: if none arrives in time, its dispatcher counts as cut off.
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
	Creates the limiter at the first request. Its bucket has been refilling since this dispatcher began to receive the reports on all usage.
	*/
	#getLimiter(allotment: Allotment, now: number): OrganisationLimiter {
		const known = this.#limiters.get(allotment.organisation);
		if (known !== undefined) {
			return known;
		}

		const limits = this.#getFullLimits(now);
		const fillMilliseconds = limits.lentMilliseconds ?? ((now - this.#usageKnownSince) * limits.fraction);
		const filled = this.#drawInitialTokens(limits) + (fillMilliseconds * allotment.ratePerSecond / MILLISECONDS_PER_SECOND);
		const tokens = Math.min(getBucketCapacity(allotment, limits), filled);
		const limiter = new OrganisationLimiter(allotment, limits, tokens, now);
		this.#limiters.set(allotment.organisation, limiter);
		return limiter;
	}

	/**
	Returns the tokens of a new bucket. A host's fraction of them may be less than one: then it starts with one token with this probability, plus a random fraction of
	another, so that all hosts together admit the rate from the beginning.
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
			lentMilliseconds: hasWholeWindow ? undefined : this.#lentMilliseconds,
			absences,
			lentBurstShare: hasWholeWindow ? 0 : Math.min(1, this.#lentBurstShare),
			extraTokens: this.#hasExtraTokens ? slack * SLACK_FRACTION : 0,
			isAllUsageKnown: hasWholeWindow,
			windowMilliseconds,
		};
	}

	/**
	Lists the entry hosts whose shares are not admitted here. A dispatcher that admits only what is lent to it needs no list.
	*/
	#listAbsences(now: number): readonly Absence[] {
		return (this.#hasWholeWindow(now) ? this.#settings.listAbsences?.(now) : undefined) ?? NO_ABSENCES;
	}

	/**
	Returns the fraction of the usage reported by another entry host's dispatcher that may belong to hosts that request slots here too; undefined where its hosts request
	none here. A host requests slots from one dispatcher for each service, so the dispatchers of two services may serve the same hosts.
	*/
	#getSharedFraction(service: core.ServiceName, share: number | undefined, now: number): number | undefined {
		const isDispatchedHere = now - (this.#requestedAt.get(service) ?? -Infinity) < SERVICE_IDLE_MILLISECONDS;
		return share === undefined || isDispatchedHere || this.#hasWholeWindow(now) ? undefined : Math.min(1, this.#settings.getShare(now) / share);
	}

	/**
	Returns whether this dispatcher has received all reports for a whole window.
	*/
	#hasWholeWindow(now: number): boolean {
		const {isReceivingReports, windowMilliseconds} = this.#settings;
		return isReceivingReports && now - this.#usageKnownSince >= windowMilliseconds;
	}

	#getLimits(limiter: OrganisationLimiter, now: number): AdmissionLimits {
		const full = this.#getFullLimits(now);
		const unreportedServices = this.#listUnreportedServices(now, REPORT_TIMEOUT_MILLISECONDS);
		if (unreportedServices.size === 0 || full.lentMilliseconds !== undefined) {
			return full;
		}

		const fraction = Math.max(MIN_MISSING_REPORT_FRACTION, (1 - limiter.getUsageFraction(unreportedServices)) * MISSING_REPORT_FRACTION);
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
	Returns whether the reports on all services are up to date.
	*/
	#isEveryServiceReported(now: number): boolean {
		return this.#listUnreportedServices(now, FRESH_REPORT_MILLISECONDS).size === 0;
	}

	/**
	Lists the services that were reported before, have not been reported for longer than the given milliseconds, and are not dispatched here.
	*/
	#listUnreportedServices(now: number, maxAgeMilliseconds: number): ReadonlySet<core.ServiceName> {
		const services = new Set<core.ServiceName>();
		for (const [service, reportedAt] of this.#reportedAt) {
			const isDispatchedHere = now - (this.#requestedAt.get(service) ?? -Infinity) < SERVICE_IDLE_MILLISECONDS;
			const ageMilliseconds = now - reportedAt;
			if (ageMilliseconds > SERVICE_EXPIRY_MILLISECONDS) {
				this.#reportedAt.delete(service);
			} else if (!isDispatchedHere && ageMilliseconds > maxAgeMilliseconds) {
				services.add(service);
			}
		}

		return services;
	}
}
