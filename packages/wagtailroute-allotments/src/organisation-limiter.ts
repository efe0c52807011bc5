/**
The limiter of one organisation at one dispatcher: a token bucket, a sliding window that counts the requests admitted here and those reported by other dispatchers,
and the recent usage by service.

An organisation may send its rate plus its burst in each window. The bucket refills slightly faster than the rate, so that an organisation that continuously sends more
gets this amount in every window; the window bounds the sum.
*/
import * as admission from 'wagtailroute-admission';
import type * as core from 'wagtailroute-core';
import {
	DELAYED_REPORT_MILLISECONDS,
	MAX_UNREPORTED_REQUESTS,
	MAX_UNREPORTED_SECONDS,
	MILLISECONDS_PER_SECOND,
	RENEWED_BURST_FRACTION,
	USAGE_DECAY_MILLISECONDS,
} from './constants.ts';
import {createUsageWindow, type UsageWindow} from './usage-window.ts';

/**
Requests that an organisation may send over the whole fleet.
*/
export type Allotment = {
	readonly organisation: core.Organisation;
	readonly ratePerSecond: number;
	/**
	Requests that may be sent at once beyond the rate.
	*/
	readonly burst: number;
};

/**
How much of an allotment one dispatcher may admit: all of it, or a fraction while other dispatchers may admit requests that are not reported to it.
*/
export type AdmissionLimits = {
	/**
	Fraction of the allotment, 0 to 1.
	*/
	readonly fraction: number;
	/**
	Fraction of the burst that the bucket holds, 0 to 1.
	*/
	readonly burstFraction: number;
	/**
	Share of the entry hosts that this dispatcher admits requests for, 0 to 1. It bounds the window, and the same share of the usage that others report counts here.
	*/
	readonly share: number;
	/**
	Time that entry hosts lent this dispatcher so far, in milliseconds of the whole fleet: the bucket refills with it. Undefined where the bucket refills all the time.
	*/
	readonly lentMilliseconds?: number;
	/**
	Share of the entry hosts that lent their part of the burst, 0 to 1. Only this part is added to the bucket.
	*/
	readonly lentBurstShare: number;
	/**
	Entry hosts from which this dispatcher receives nothing. Their shares are not admitted here, and count as used by these hosts from then on.
	*/
	readonly absences: readonly Absence[];
	/**
	Tokens beyond the burst.
	*/
	readonly extraTokens: number;
	/**
	All usage of the last window is known here, so the burst may be admitted again in each window.
	*/
	readonly isAllUsageKnown: boolean;
	readonly windowMilliseconds: number;
};

/**
Entry hosts from which a dispatcher receives nothing, and that may still serve callers through other dispatchers.
*/
export type Absence = {
	/**
	When the last message was received from them.
	*/
	readonly since: number;
	/**
	Their share of all entry hosts, 0 to 1.
	*/
	readonly share: number;
};

/**
Limits the requests of one organisation. Times are in milliseconds of a monotonic clock.
*/
export class OrganisationLimiter {
	readonly #bucket: admission.RateLimit;
	/**
	Requests by service that every dispatcher knows of, so that all compute the same fractions.
	*/
	readonly #confirmedUsage = new Map<core.ServiceName, number>();
	/**
	Requests that were admitted here since the reports of all other dispatchers were last up to date.
	*/
	readonly #unconfirmedUsage = new Map<core.ServiceName, number>();
	/**
	Requests that were admitted here, or elsewhere for entry hosts that now request slots here.
	*/
	readonly #ownWindow: UsageWindow;
	/**
	Requests that other dispatchers reported.
	*/
	readonly #remoteWindow: UsageWindow;
	/**
	Shares of the entry hosts for which the burst, and the tokens beyond the burst, were added to the bucket.
	*/
	#addedBurstShare = 0;
	#addedExtraShare: number;
	#decayedAt: number;
	/**
	Lent time that the bucket was refilled with.
	*/
	#filledLentMilliseconds: number | undefined;
	#allotment: Allotment;
	#limits: AdmissionLimits;

	constructor(allotment: Allotment, limits: AdmissionLimits, tokens: number, now: number) {
		this.#allotment = allotment;
		this.#limits = limits;
		this.#addedExtraShare = limits.share;
		this.#decayedAt = now;
		this.#ownWindow = createUsageWindow(limits.windowMilliseconds);
		this.#remoteWindow = createUsageWindow(limits.windowMilliseconds);
		this.#filledLentMilliseconds = limits.lentMilliseconds;
		this.#bucket = admission.createRateLimit(getBucketRate(allotment, limits), now, {capacity: getBucketCapacity(allotment, limits), tokens});
		this.#addNewHostTokens(now);
	}

	setLimits(allotment: Allotment, limits: AdmissionLimits, now: number): void {
		if (isSameAllotment(allotment, this.#allotment) && isSameLimits(limits, this.#limits)) {
			return;
		}

		this.#allotment = allotment;
		this.#limits = limits;
		this.#bucket.setRate(getBucketRate(allotment, limits), now, getBucketCapacity(allotment, limits));
		this.#addLentTokens(now);
		this.#addNewHostTokens(now);
	}

	hasToken(now: number): boolean {
		return this.#bucket.hasToken(now) && !this.#isWindowFull(now);
	}

	/**
	Records requests that were admitted here; a negative number refunds them.
	*/
	recordAdmitted(service: core.ServiceName, requests: number, now: number): void {
		this.#deduct(requests, now);
		addRequests(this.#unconfirmedUsage, service, requests);
	}

	/**
	Records requests that another dispatcher reported. The debt of the bucket is bounded by what two dispatchers can admit before each receives the other's report:
	each by itself keeps to the allotment. Delayed reports arrive together, and the tokens for their requests have been refilled since: they count in the window only.
	*/
	recordRemoteUsage(service: core.ServiceName, requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		this.#deductRemote(requests, {at, now});
		this.#remoteWindow.add(requests, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	Records requests that another dispatcher admitted, for another service, on behalf of entry hosts that request slots here too. They count in the window only: the
	other dispatcher admitted them with what was lent to it.

	@param fraction Fraction of the requests that may come from these hosts, 0 to 1.
	*/
	recordSharedUsage(service: core.ServiceName, requests: number, {at, fraction}: {readonly at: number; readonly fraction: number}): void {
		this.#ownWindow.add(requests * fraction, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	Records requests that were admitted before this limiter existed. They count in the window only: this bucket never held the tokens for them.
	*/
	recordPastUsage(service: core.ServiceName, requests: number, at: number): void {
		this.#ownWindow.add(requests, at);
		this.#recordConfirmed(service, requests, at);
	}

	/**
	Marks all requests admitted here so far as known to the other dispatchers.
	*/
	confirmUsage(): void {
		for (const [service, requests] of this.#unconfirmedUsage) {
			addRequests(this.#confirmedUsage, service, requests);
		}

		this.#unconfirmedUsage.clear();
	}

	/**
	Returns the requests of the last window; of those that other dispatchers reported, only this dispatcher's share.
	*/
	getUsage(now: number): number {
		const {absences, share} = this.#limits;
		const getWeight = absences.length === 0 ? undefined : (at: number) => getPresentShare(absences.filter(({since}) => since >= at));
		return this.#ownWindow.count(now, getWeight) + (this.#remoteWindow.count(now, getWeight) * share);
	}

	/**
	Returns the fraction of the recent usage that belongs to some services, 0 to 1.
	*/
	getUsageFraction(services: ReadonlySet<core.ServiceName>): number {
		const all = sum(this.#confirmedUsage.values());
		return all === 0 ? 0 : sum(this.#confirmedUsage.entries().filter(([service]) => services.has(service)).map(([, requests]) => requests)) / all;
	}

	/**
	Returns the milliseconds until one more request may be admitted.
	*/
	getDelay(now: number): number {
		return Math.max(this.#getTokenDelay(now), this.#isWindowFull(now) ? this.#getWindowDelay(now) : 0);
	}

	/**
	Adds the tokens of entry hosts that began to request slots here since the last call: their share of the tokens beyond the burst, and the burst that they lent.
	*/
	#addNewHostTokens(now: number): void {
		const {share, lentBurstShare, burstFraction, extraTokens} = this.#limits;
		const burst = Math.max(0, lentBurstShare - this.#addedBurstShare) * this.#allotment.burst * burstFraction;
		this.#bucket.consumeTokens(now, -burst - (Math.max(0, share - this.#addedExtraShare) * extraTokens));
		this.#addedBurstShare = Math.max(this.#addedBurstShare, lentBurstShare);
		this.#addedExtraShare = Math.max(this.#addedExtraShare, share);
	}

	/**
	Adds the tokens of the time that was lent since the last call.
	*/
	#addLentTokens(now: number): void {
		const {lentMilliseconds} = this.#limits;
		if (lentMilliseconds !== undefined) {
			const newMilliseconds = lentMilliseconds - (this.#filledLentMilliseconds ?? lentMilliseconds);
			this.#bucket.consumeTokens(now, -newMilliseconds * this.#allotment.ratePerSecond / MILLISECONDS_PER_SECOND);
		}

		this.#filledLentMilliseconds = lentMilliseconds;
	}

	/**
	Returns the milliseconds until the bucket holds a token. The time that will be lent is unknown: the hosts that request slots here are expected to go on.
	*/
	#getTokenDelay(now: number): number {
		const missing = 1 - this.#bucket.getTokens(now);
		return this.#limits.lentMilliseconds === undefined
			? this.#bucket.getDelay(1, now)
			: Math.max(0, missing * MILLISECONDS_PER_SECOND / getRefillRate(this.#allotment, this.#limits));
	}

	#getWindowDelay(now: number): number {
		const delays = [this.#ownWindow, this.#remoteWindow].map(window => window.getDelay(now)).filter(delay => delay > 0);
		return Math.min(...delays, this.#limits.windowMilliseconds);
	}

	#isWindowFull(now: number): boolean {
		return this.getUsage(now) + 1 > getWindowCapacity(this.#allotment, this.#limits);
	}

	#deductRemote(requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		// The tokens of lent time are this dispatcher's own: what others admit was admitted with theirs.
		if (this.#limits.lentMilliseconds !== undefined || now - at >= DELAYED_REPORT_MILLISECONDS) {
			return;
		}

		const maxDebt = (getRefillRate(this.#allotment, this.#limits) * MAX_UNREPORTED_SECONDS * 2) + MAX_UNREPORTED_REQUESTS;
		this.#bucket.consumeTokens(at, Math.min(requests, this.#bucket.getTokens(at) + maxDebt));
	}

	#recordConfirmed(service: core.ServiceName, requests: number, at: number): void {
		this.#decayUsage(at);
		addRequests(this.#confirmedUsage, service, requests);
	}

	#deduct(requests: number, now: number): void {
		this.#bucket.consumeTokens(now, requests);
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
	return left.fraction === right.fraction && left.burstFraction === right.burstFraction && left.share === right.share && left.lentBurstShare === right.lentBurstShare
		&& left.extraTokens === right.extraTokens && left.lentMilliseconds === right.lentMilliseconds && left.isAllUsageKnown === right.isAllUsageKnown && left.absences === right.absences;
}

function getRefillRate(allotment: Allotment, limits: AdmissionLimits): number {
	const {ratePerSecond, burst} = allotment;
	const {fraction, isAllUsageKnown, windowMilliseconds} = limits;
	const renewed = isAllUsageKnown ? burst * RENEWED_BURST_FRACTION * MILLISECONDS_PER_SECOND / windowMilliseconds : 0;
	return (ratePerSecond + renewed) * fraction;
}

/**
Returns the tokens that the bucket gets by itself in a second. Tokens of lent time are added as it is lent.
*/
function getBucketRate(allotment: Allotment, limits: AdmissionLimits): number {
	return limits.lentMilliseconds === undefined ? getRefillRate(allotment, limits) : 0;
}

/**
Returns the requests that may be admitted in a window; at least one, as for the tokens.
*/
function getWindowCapacity({ratePerSecond, burst}: Allotment, {share, absences, extraTokens, windowMilliseconds}: AdmissionLimits): number {
	return Math.max(1, ((ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND) + burst + extraTokens) * share * getPresentShare(absences));
}

/**
Returns the share of the entry hosts that are not absent, 0 to 1.
*/
export function getPresentShare(absences: readonly Absence[]): number {
	return Math.max(0, 1 - sum(absences.map(({share}) => share)));
}

/**
Returns the tokens that a full bucket holds; at least one, otherwise no request could ever be admitted.
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
