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
	RETURNING_BURST_PART,
	STALE_MILLISECONDS,
	UNTOLD_MOST,
	UNTOLD_SECONDS,
	USE_MEMORY_MILLISECONDS,
} from './constants.ts';
import {createUseWindow, type UseWindow} from './use-window.ts';

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
export type Extent = {
	/**
	0 to 1.
	*/
	readonly part: number;
	/**
	Part of the burst that may come at once, 0 to 1.
	*/
	readonly burstPart: number;
	/**
	Share of the entry hosts that this dispatcher speaks for, 0 to 1. It bounds the window, and is the part of what other dispatchers admit that is taken here.
	*/
	readonly share: number;
	/**
	Share of the entry hosts that told what they were admitted before, 0 to 1: the burst is given out anew for these only, since what they have used of it is known.
	*/
	readonly toldShare: number;
	/**
	Entry hosts that are not heard here: their shares are not given out, and count as used by themselves from then on.
	*/
	readonly absences: readonly Absence[];
	/**
	Tokens beyond the burst.
	*/
	readonly extra: number;
	/**
	All use in the last window is known here, so that the burst may be had again in each.
	*/
	readonly isWhole: boolean;
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
export class Account {
	readonly #bucket: admission.RateLimit;
	/**
	Requests by service that every dispatcher knows of, so that all come to the same parts.
	*/
	readonly #uses = new Map<core.ServiceName, number>();
	/**
	Requests that were admitted here since the others were last heard.
	*/
	readonly #unsettled = new Map<core.ServiceName, number>();
	/**
	What was admitted here, or for the entry hosts that ask here before they did.
	*/
	readonly #window: UseWindow;
	/**
	What other dispatchers told.
	*/
	readonly #heardWindow: UseWindow;
	/**
	Share of the burst that was given out for what entry hosts told, and of the tokens beyond it for those that ask.
	*/
	#burstShare = 0;
	#extraShare: number;
	#fadedAt: number;
	#allotment: Allotment;
	#extent: Extent;

	constructor(allotment: Allotment, extent: Extent, tokens: number, now: number) {
		this.#allotment = allotment;
		this.#extent = extent;
		this.#extraShare = extent.share;
		this.#fadedAt = now;
		this.#window = createUseWindow(extent.windowMilliseconds);
		this.#heardWindow = createUseWindow(extent.windowMilliseconds);
		this.#bucket = admission.createRateLimit(getRate(allotment, extent), now, {capacity: getCapacity(allotment, extent), tokens});
		this.#addBurst(now);
	}

	setBounds(allotment: Allotment, extent: Extent, now: number): void {
		if (isSameAllotment(allotment, this.#allotment) && isSameExtent(extent, this.#extent)) {
			return;
		}

		this.#allotment = allotment;
		this.#extent = extent;
		this.#bucket.setRate(getRate(allotment, extent), now, getCapacity(allotment, extent));
		this.#addBurst(now);
	}

	hasToken(now: number): boolean {
		return this.#bucket.hasToken(now) && !this.#isWindowFull(now);
	}

	/**
	Takes what was admitted here; a negative number gives back.
	*/
	use(service: core.ServiceName, requests: number, now: number): void {
		this.#take(requests, now);
		add(this.#unsettled, service, requests);
	}

	/**
	Takes what another dispatcher tells that it admitted. What is owed is bounded by what both can have admitted before they heard of each other: each has
	kept to the allotment by itself. News that were held up come together, and the tokens that they took have long come back: they count in the window only.
	*/
	hearUse(service: core.ServiceName, requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		this.#takeHeard(requests * this.#extent.share, {at, now});
		this.#heardWindow.add(requests, at);
		this.#rememberUse(service, requests, at);
	}

	/**
	Takes what another dispatcher tells that it admitted on behalf of entry hosts that ask here too, for another service.

	@param part Part of the requests that these hosts may have sent, 0 to 1.
	*/
	hearSharedUse(service: core.ServiceName, requests: number, {at, now, part}: {readonly at: number; readonly now: number; readonly part: number}): void {
		this.#takeHeard(requests * part, {at, now});
		this.#window.add(requests * part, at);
		this.#rememberUse(service, requests, at);
	}

	/**
	Records what was admitted before this account began: it counts in the window, and the tokens that it took were never here.
	*/
	recordPast(service: core.ServiceName, requests: number, at: number): void {
		this.#window.add(requests, at);
		this.#rememberUse(service, requests, at);
	}

	/**
	The others are heard: what was admitted here until now is known to them.
	*/
	settle(): void {
		for (const [service, requests] of this.#unsettled) {
			add(this.#uses, service, requests);
		}

		this.#unsettled.clear();
	}

	/**
	Returns the requests used in the last window; of those that other dispatchers told, the share that this one speaks for.
	*/
	getUse(now: number): number {
		const {absences, share} = this.#extent;
		const getWeight = absences.length === 0 ? undefined : (at: number) => getPresentShare(absences.filter(({since}) => since >= at));
		return this.#window.count(now, getWeight) + (this.#heardWindow.count(now, getWeight) * share);
	}

	/**
	Returns the part of what was used lately that was used for some services, 0 to 1.
	*/
	getPart(services: ReadonlySet<core.ServiceName>): number {
		const all = sum(this.#uses.values());
		return all === 0 ? 0 : sum(this.#uses.entries().filter(([service]) => services.has(service)).map(([, use]) => use)) / all;
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
	#addBurst(now: number): void {
		const {share, toldShare, burstPart, extra} = this.#extent;
		const burst = Math.max(0, toldShare - this.#burstShare) * this.#allotment.burst * burstPart;
		this.#bucket.takeToken(now, -burst - (Math.max(0, share - this.#extraShare) * extra));
		this.#burstShare = Math.max(this.#burstShare, toldShare);
		this.#extraShare = Math.max(this.#extraShare, share);
	}

	#getWindowDelay(now: number): number {
		const delays = [this.#window, this.#heardWindow].map(window => window.getDelay(now)).filter(delay => delay > 0);
		return Math.min(...delays, this.#extent.windowMilliseconds);
	}

	#isWindowFull(now: number): boolean {
		return this.getUse(now) + 1 > getMost(this.#allotment, this.#extent);
	}

	#takeHeard(requests: number, {at, now}: {readonly at: number; readonly now: number}): void {
		if (now - at >= STALE_MILLISECONDS) {
			return;
		}

		const most = (getRate(this.#allotment, this.#extent) * UNTOLD_SECONDS * 2) + UNTOLD_MOST;
		this.#bucket.takeToken(at, Math.min(requests, this.#bucket.getTokens(at) + most));
	}

	#rememberUse(service: core.ServiceName, requests: number, at: number): void {
		this.#fade(at);
		add(this.#uses, service, requests);
	}

	#take(requests: number, now: number): void {
		this.#bucket.takeToken(now, requests);
		this.#window.add(requests, now);
		this.#fade(now);
	}

	#fade(now: number): void {
		const factor = Math.exp(Math.min(0, this.#fadedAt - now) / USE_MEMORY_MILLISECONDS);
		this.#fadedAt = Math.max(this.#fadedAt, now);
		for (const [service, use] of this.#uses) {
			this.#uses.set(service, use * factor);
		}
	}
}

function add(uses: Map<core.ServiceName, number>, service: core.ServiceName, requests: number): void {
	uses.set(service, Math.max(0, (uses.get(service) ?? 0) + requests));
}

function isSameAllotment(left: Allotment, right: Allotment): boolean {
	return left.ratePerSecond === right.ratePerSecond && left.burst === right.burst;
}

function isSameExtent(left: Extent, right: Extent): boolean {
	return left.part === right.part && left.burstPart === right.burstPart && left.share === right.share && left.toldShare === right.toldShare
		&& left.extra === right.extra && left.isWhole === right.isWhole && left.absences === right.absences;
}

function getRate(allotment: Allotment, extent: Extent): number {
	const {ratePerSecond, burst} = allotment;
	const {part, isWhole, windowMilliseconds} = extent;
	const returning = isWhole ? burst * RETURNING_BURST_PART * MILLISECONDS_PER_SECOND / windowMilliseconds : 0;
	return (ratePerSecond + returning) * part;
}

/**
Returns the requests of a window that may be given out; one at least, as for the tokens.
*/
function getMost({ratePerSecond, burst}: Allotment, {share, absences, extra, windowMilliseconds}: Extent): number {
	return Math.max(1, ((ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND) + burst + extra) * share * getPresentShare(absences));
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
export function getCapacity({burst}: Allotment, {part, burstPart, extra}: Extent): number {
	return Math.max(1, ((burst * burstPart) + extra) * part);
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
