/**
The rate limit that one upstream names in its answers, as one dispatcher keeps it: a bucket that fills at the rate.

Several dispatchers may give out places of the same upstream for a while. Each tells the others what it granted, and takes what it is told
from its own bucket.
*/
import * as admission from 'wagtailroute-admission';
import {
	LEAST_RATE_PER_SECOND,
	MILLISECONDS_PER_SECOND,
	MOST_OWED_SECONDS,
} from './constants.ts';

/**
A rate that an answer named.
*/
export type NamedRate = {
	/**
	Requests a second that the upstream takes from all hosts together.
	*/
	readonly ratePerSecond: number;
	readonly namedAt: number;
	/**
	Another host has told it, so the other dispatchers know it.
	*/
	readonly isTold: boolean;
};

/**
What a limit begins with.
*/
export type UpstreamLimitPlan = {
	readonly named: NamedRate;
	/**
	Seconds' worth of the rate that may be sent at once.
	*/
	readonly burstSeconds: number;
	/**
	Part of the rate that this dispatcher may give out, 0 to 1.
	*/
	readonly part: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

/**
A rate limit. Times are in milliseconds of a monotonic clock.
*/
export class UpstreamLimit {
	/**
	When an answer named it last.
	*/
	namedAt: number;
	/**
	Requests that were granted and not told to the other dispatchers.
	*/
	#untold = 0;
	/**
	The other dispatchers do not know the rate.
	*/
	#isChanged: boolean;
	#ratePerSecond: number;
	#part: number;
	readonly #burstSeconds: number;
	readonly #bucket: admission.RateLimit;

	constructor({
		named, burstSeconds, part, random,
	}: UpstreamLimitPlan, now: number) {
		this.namedAt = named.namedAt;
		this.#isChanged = !named.isTold;
		this.#ratePerSecond = named.ratePerSecond;
		this.#burstSeconds = burstSeconds;
		this.#part = part;
		// Many hosts that begin with a small part each must not all come to their first token at the same time.
		const tokens = part < 1 ? random() : 0;
		this.#bucket = admission.createRateLimit(this.#getRate(), now, {capacity: this.#getCapacity(), tokens});
	}

	/**
	Returns the rate as the upstream named it.
	*/
	getRatePerSecond(): number {
		return this.#ratePerSecond;
	}

	/**
	Takes the rate that an answer named. One that was named before the last is passed over.
	*/
	name({ratePerSecond, namedAt, isTold}: NamedRate, now: number): void {
		if (namedAt < this.namedAt) {
			return;
		}

		this.namedAt = namedAt;
		this.#isChanged = !isTold && (this.#isChanged || ratePerSecond !== this.#ratePerSecond);
		this.#ratePerSecond = ratePerSecond;
		this.#bucket.setRate(this.#getRate(), now, this.#getCapacity());
	}

	setPart(part: number, now: number): void {
		if (part === this.#part) {
			return;
		}

		this.#part = part;
		this.#bucket.setRate(this.#getRate(), now, this.#getCapacity());
	}

	allows(now: number): boolean {
		return this.#bucket.hasToken(now);
	}

	/**
	Returns the milliseconds until one more request may be sent.
	*/
	getDelay(now: number): number {
		return this.#bucket.getDelay(1, now);
	}

	/**
	Returns how many requests are under way on average at the full rate.

	@param milliseconds What a request takes.
	*/
	getConcurrency(milliseconds: number): number {
		return this.#getRate() * milliseconds / MILLISECONDS_PER_SECOND;
	}

	/**
	Takes what was granted here; a negative number gives back.

	@param isShared Other dispatchers grant at the same time, and are told.
	*/
	use(requests: number, isShared: boolean, now: number): void {
		this.#bucket.takeToken(now, requests);
		this.#untold += isShared ? requests : 0;
	}

	/**
	Takes what another dispatcher granted. News that were held up come together: what is owed for them is bounded.
	*/
	hearUse(requests: number, now: number): void {
		const most = this.#bucket.getTokens(now) + (this.#getRate() * MOST_OWED_SECONDS);
		this.#bucket.takeToken(now, Math.min(requests, Math.max(0, most)));
	}

	/**
	Returns what the other dispatchers do not know yet, and takes it as told.
	*/
	takeNews(): {readonly isChanged: boolean; readonly granted: number} {
		const news = {isChanged: this.#isChanged, granted: this.#untold};
		this.#isChanged = false;
		this.#untold = 0;
		return news;
	}

	#getRate(): number {
		return Math.max(LEAST_RATE_PER_SECOND, this.#ratePerSecond) * this.#part;
	}

	#getCapacity(): number {
		return Math.max(1, this.#getRate() * this.#burstSeconds);
	}
}
