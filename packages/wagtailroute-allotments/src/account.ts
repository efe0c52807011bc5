/**
What one dispatcher knows of one organisation's allotment: a bucket of tokens that its own admissions and those told by other dispatchers
are taken from, and which service used how much lately.
*/
import * as admission from 'wagtailroute-admission';
import type * as core from 'wagtailroute-core';
import {UNTOLD_MOST, UNTOLD_SECONDS, USE_MEMORY_MILLISECONDS} from './constants.ts';

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
	Tokens beyond the burst.
	*/
	readonly extra: number;
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
	#used = 0;
	#fadedAt: number;
	#allotment: Allotment;
	#extent: Extent;

	constructor(allotment: Allotment, extent: Extent, tokens: number, now: number) {
		this.#allotment = allotment;
		this.#extent = extent;
		this.#fadedAt = now;
		this.#bucket = admission.createRateLimit(getRate(allotment, extent), now, {capacity: getCapacity(allotment, extent), tokens});
	}

	get allotment(): Allotment {
		return this.#allotment;
	}

	setBounds(allotment: Allotment, extent: Extent, now: number): void {
		if (isSameAllotment(allotment, this.#allotment) && extent.part === this.#extent.part && extent.extra === this.#extent.extra) {
			return;
		}

		this.#allotment = allotment;
		this.#extent = extent;
		this.#bucket.setRate(getRate(allotment, extent), now, getCapacity(allotment, extent));
	}

	hasToken(now: number): boolean {
		return this.#bucket.hasToken(now);
	}

	/**
	Takes what was admitted here; a negative number gives back.
	*/
	use(service: core.ServiceName, requests: number, now: number): void {
		this.#take(requests, now);
		add(this.#unsettled, service, requests);
	}

	/**
	Takes what another dispatcher tells that it admitted. What is owed is bounded by what both can have admitted before they heard of each other: news that
	were held up come together, and each dispatcher has kept to the allotment by itself.
	*/
	hearUse(service: core.ServiceName, requests: number, at: number): void {
		const most = (getRate(this.#allotment, this.#extent) * UNTOLD_SECONDS * 2) + UNTOLD_MOST;
		this.#take(Math.min(requests, this.#bucket.getTokens(at) + most), at);
		add(this.#uses, service, requests);
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
	Returns the requests used lately, weighed by how long ago.
	*/
	getUse(now: number): number {
		this.#fade(now);
		return this.#used;
	}

	/**
	Returns the part of what was used lately that was used for some services, 0 to 1.
	*/
	getPart(services: ReadonlySet<core.ServiceName>): number {
		const all = sum(this.#uses.values());
		return all === 0 ? 0 : sum(this.#uses.entries().filter(([service]) => services.has(service)).map(([, use]) => use)) / all;
	}

	getTokens(now: number): number {
		return this.#bucket.getTokens(now);
	}

	/**
	Returns the milliseconds until one more request may be admitted.
	*/
	getDelay(now: number): number {
		return this.#bucket.getDelay(1, now);
	}

	#take(requests: number, now: number): void {
		this.#bucket.takeToken(now, requests);
		this.#fade(now);
		this.#used = Math.max(0, this.#used + requests);
	}

	#fade(now: number): void {
		const factor = Math.exp(Math.min(0, this.#fadedAt - now) / USE_MEMORY_MILLISECONDS);
		this.#fadedAt = Math.max(this.#fadedAt, now);
		this.#used *= factor;
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

function getRate({ratePerSecond}: Allotment, {part}: Extent): number {
	return ratePerSecond * part;
}

/**
Returns the tokens that a full account holds; one at least, otherwise nothing could ever be admitted.
*/
export function getCapacity({burst}: Allotment, {part, extra}: Extent): number {
	return Math.max(1, (burst + extra) * part);
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
