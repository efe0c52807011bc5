/**
What one dispatcher knows of one organisation's allotment: a bucket of tokens and a window that its own admissions and those told by other dispatchers
are counted in, and which service used how much lately.

In a window an organisation may send its rate and its burst, and one that sends more all the while gets so much in every window: the bucket fills a little faster than
the rate, and the window bounds the sum.
*/
import * as admission from 'wagtailroute-admission';
import type * as core from 'wagtailroute-core';
import {
	MILLISECONDS_PER_SECOND,
	RENEWED_BURST_FRACTION,
	DELAYED_REPORT_MILLISECONDS,
	MAX_UNREPORTED_REQUESTS,
	MAX_UNREPORTED_SECONDS,
	USAGE_DECAY_MILLISECONDS,
} from './constants.ts';
import {createUsageWindow, type UsageWindow} from './usage-window.ts';

/**
Requests that an organisation may send, over the whole fleet.
*/
export type Allotment = {
	readonly organisation: core.Organisation;
	readonly ratePerSecond: number;
	/**
	Requests beyond the rate that may come at once.
	*/
	readonly burst: number;
};

/**
How much of an allotment a dispatcher may give out: all of it, or a part while others can't be heard.
*/
export type AdmissionLimits = {
	/**
	0 to 1.
	*/
	readonly fraction: number;
	/**
	Part of the burst that may come at once, 0 to 1.
	*/
	readonly burstFraction: number;
	/**
	Share of the entry hosts that this dispatcher speaks for, 0 to 1. It bounds the window, and is the part of what other dispatchers admit that is taken here.
	*/
	readonly share: number;
	/**
	Share of the entry hosts that told what they were admitted before, 0 to 1: the burst is given out anew for these only, since what they have used of it is known.
	*/
	readonly reportedShare: number;
	/**
	Entry hosts that are not heard here: their shares are not given out, and count as used by themselves from then on.
	*/
	readonly absences: readonly Absence[];
	/**
	Tokens beyond the burst.
	*/
	readonly extraTokens: number;
	/**
	All use in the last window is known here, so that the burst may be had again in each.
	*/
	readonly isAllUsageKnown: boolean;
	readonly windowMilliseconds: number;
};

/**
Entry hosts that a dispatcher does not hear, and that may go on to serve callers by others.
*/
export type Absence = {
	/**
	When they were heard last.
	*/
	readonly since: number;
	/**
	Share of the entry hosts that they are, 0 to 1.
	*/
	readonly share: number;
};

/**
An account. Times are in milliseconds of a monotonic clock.
*/
export class OrganisationLimiter {
	readonly #bucket: admission.RateLimit;
	/**
	Requests by service that every dispatcher knows of, so that all come to the same parts.
	*/
	readonly #confirmedUsage = new Map<core.ServiceName, number>();
	/**
	Requests that were admitted here since the others were last heard.
	*/
	readonly #unconfirmedUsage = new Map<core.ServiceName, number>();
	/**
	What was admitted here, or for the entry hosts that ask here before they did.
	*/
	readonly #ownWindow: UsageWindow;
	/**
	What other dispatchers told.
	*/
	readonly #remoteWindow: UsageWindow;
	/**
	Share of the burst that was given out for what entry hosts told, and of the tokens beyond it for those that ask.
	*/
	#addedBurstShare = 0;
	#addedExtraShare: number;
	#decayedAt: number;
	#allotment: Allotment;
	#limits: AdmissionLimits;

	constructor(allotment: Allotment, limits: AdmissionLimits, tokens: number, now: number) {
		this.#allotment = allotment;
		this.#limits = limits;
		this.#addedExtraShare = limits.share;
		this.#decayedAt = now;
		this.#ownWindow = createUsageWindow(limits.windowMilliseconds);
		this.#remoteWindow = createUsageWindow(limits.windowMilliseconds);
		this.#bucket = admission.createRateLimit(getRefillRate(allotment, limits), now, {capacity: getBucketCapacity(allotment, limits), tokens});
		this.#addNewHostTokens(now);
	}

	setLimits(allotment: Allotment, limits: AdmissionLimits, now: number): void {
		if (isSameAllotment(allotment, this.#allotment) && isSameLimits(limits, this.#limits)) {
			return;
		}

		this.#allotment = allotment;
		this.#limits = limits;
		this.#bucket.setRate(getRefillRate(allotment, limits), now, getBucketCapacity(allotment, limits));
		this.#addNewHostTokens(now);
	}

	hasToken(now: number): boolean {
		return this.#bucket.hasToken(now) && !this.#isWindowFull(now);
	}

	/**
	Takes what was admitted here; a negative number gives back.
	*/
	recordAdmitted(service: core.ServiceName, requests: number, now: number): void {
		this.#deduct(requests, now);
		addRequests(this.#unconfirmedUsage, service, requests);
	}

	/**
	Takes what another dispatcher tells that it admitted. What is owed is bounded by what both can have admitted before they heard of each other: each has
	kept to the allotment by itself. News that were held up come together, and the tokens that they took have long come back: they count in the window only.
	*/
	recordRemoteUsage(service: core.ServiceName, requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		this.#deductRemote(requests * this.#limits.share, {at, now});
		this.#remoteWindow.add(requests, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	Takes what another dispatcher tells that it admitted on behalf of entry hosts that ask here too, for another service.

	@param fraction Fraction of the requests that these hosts may have sent, 0 to 1.
	*/
	recordSharedUsage(service: core.ServiceName, requests: number, {at, now, fraction}: {readonly at: number; readonly now: number; readonly fraction: number}): void {
		this.#deductRemote(requests * fraction, {at, now});
		this.#ownWindow.add(requests * fraction, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	Records what was admitted before this account began: it counts in the window, and the tokens that it took were never here.
	*/
	recordPastUsage(service: core.ServiceName, requests: number, at: number): void {
		this.#ownWindow.add(requests, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	The others are heard: what was admitted here until now is known to them.
	*/
	confirmUsage(): void {
		for (const [service, requests] of this.#unconfirmedUsage) {
			addRequests(this.#confirmedUsage, service, requests);
		}

		this.#unconfirmedUsage.clear();
	}

	/**
	Returns the requests used in the last window; of those that other dispatchers told, the share that this one speaks for.
	*/
	getUsage(now: number): number {
		const {absences, share} = this.#limits;
		const getWeight = absences.length === 0 ? undefined : (at: number) => getPresentShare(absences.filter(({since}) => since >= at));
		return this.#ownWindow.count(now, getWeight) + (this.#remoteWindow.count(now, getWeight) * share);
	}

	/**
	Returns the part of what was used lately that was used for some services, 0 to 1.
	*/
	getUsageFraction(services: ReadonlySet<core.ServiceName>): number {
		const all = sum(this.#confirmedUsage.values());
		return all === 0 ? 0 : sum(this.#confirmedUsage.entries().filter(([service]) => services.has(service)).map(([, requests]) => requests)) / all;
	}

	/**
	Returns the milliseconds until one more request may be admitted.
	*/
	getDelay(now: number): number {
		return Math.max(this.#bucket.getDelay(1, now), this.#isWindowFull(now) ? this.#getWindowDelay(now) : 0);
	}

	/**
	Gives out what entry hosts bring that have begun to ask since the last call: their share of the tokens beyond the burst, and of the burst once they have told
	their past. What they used of it counts in the window.
	*/
	#addNewHostTokens(now: number): void {
		const {share, reportedShare, burstFraction, extraTokens} = this.#limits;
		const burst = Math.max(0, reportedShare - this.#addedBurstShare) * this.#allotment.burst * burstFraction;
		this.#bucket.takeToken(now, -burst - (Math.max(0, share - this.#addedExtraShare) * extraTokens));
		this.#addedBurstShare = Math.max(this.#addedBurstShare, reportedShare);
		this.#addedExtraShare = Math.max(this.#addedExtraShare, share);
	}

	#getWindowDelay(now: number): number {
		const delays = [this.#ownWindow, this.#remoteWindow].map(window => window.getDelay(now)).filter(delay => delay > 0);
		return Math.min(...delays, this.#limits.windowMilliseconds);
	}

	#isWindowFull(now: number): boolean {
		return this.getUsage(now) + 1 > getWindowCapacity(this.#allotment, this.#limits);
	}

	#deductRemote(requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		if (now - at >= DELAYED_REPORT_MILLISECONDS) {
			return;
		}

		const maxDebt = (getRefillRate(this.#allotment, this.#limits) * MAX_UNREPORTED_SECONDS * 2) + MAX_UNREPORTED_REQUESTS;
		this.#bucket.takeToken(at, Math.min(requests, this.#bucket.getTokens(at) + maxDebt));
	}

	#recordConfirmed(service: core.ServiceName, requests: number, at: number): void {
		this.#decayUsage(at);
		addRequests(this.#confirmedUsage, service, requests);
	}

	#deduct(requests: number, now: number): void {
		this.#bucket.takeToken(now, requests);
		this.#ownWindow.add(requests, now);
		this.#decayUsage(now);
	}

	#decayUsage(now: number): void {
		const factor = Math.exp(Math.min(0, this.#decayedAt - now) / USAGE_DECAY_MILLISECONDS);
		this.#decayedAt = Math.max(this.#decayedAt, now);
		for (const [service, requests] of this.#confirmedUsage) {
			this.#confirmedUsage.set(service, requests * factor);
		}
	}
}

function addRequests(uses: Map<core.ServiceName, number>, service: core.ServiceName, requests: number): void {
	uses.set(service, Math.max(0, (uses.get(service) ?? 0) + requests));
}

function isSameAllotment(left: Allotment, right: Allotment): boolean {
	return left.ratePerSecond === right.ratePerSecond && left.burst === right.burst;
}

function isSameLimits(left: AdmissionLimits, right: AdmissionLimits): boolean {
	return left.fraction === right.fraction && left.burstFraction === right.burstFraction && left.share === right.share && left.reportedShare === right.reportedShare
		&& left.extraTokens === right.extraTokens && left.isAllUsageKnown === right.isAllUsageKnown && left.absences === right.absences;
}

function getRefillRate(allotment: Allotment, limits: AdmissionLimits): number {
	const {ratePerSecond, burst} = allotment;
	const {fraction, isAllUsageKnown, windowMilliseconds} = limits;
	const renewed = isAllUsageKnown ? burst * RENEWED_BURST_FRACTION * MILLISECONDS_PER_SECOND / windowMilliseconds : 0;
	return (ratePerSecond + renewed) * fraction;
}

/**
Returns the requests of a window that may be given out; one at least, as for the tokens.
*/
function getWindowCapacity({ratePerSecond, burst}: Allotment, {share, absences, extraTokens, windowMilliseconds}: AdmissionLimits): number {
	return Math.max(1, ((ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND) + burst + extraTokens) * share * getPresentShare(absences));
}

/**
Returns the share of the entry hosts that is left beside those that are absent, 0 to 1.
*/
export function getPresentShare(absences: readonly Absence[]): number {
	return Math.max(0, 1 - sum(absences.map(({share}) => share)));
}

/**
Returns the tokens that a full account holds; one at least, otherwise nothing could ever be admitted.
*/
export function getBucketCapacity({burst}: Allotment, {fraction, burstFraction, extraTokens}: AdmissionLimits): number {
	return Math.max(1, ((burst * burstFraction) + extraTokens) * fraction);
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
