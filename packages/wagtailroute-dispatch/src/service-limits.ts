/**
The upstreams of a service that name a rate limit, and what the other dispatchers are to be told of them.

Two dispatchers may be asked at the same time, since some hosts take one of them for lost. So each tells the others what it grants after it began to be
asked, and as long as it hears of another one that is; alone it tells changed rates only. A host that dispatches for few others gives out only their part
of a rate.
*/
import type * as core from 'wagtailroute-core';
import type {RateLimitNews} from './asks.ts';
import {SHARING_MILLISECONDS, UNASKED_MILLISECONDS} from './constants.ts';
import {type NamedRate, UpstreamLimit} from './upstream-limit.ts';
import type {Upstream} from './upstreams.ts';

/**
What the limits of a service need.
*/
export type ServiceLimitsPlan = {
	/**
	Returns the part of the fleet's requests that this dispatcher is asked for, 0 to 1.
	*/
	readonly getPart: (now: number) => number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

/**
Rate limits of a service. Times are in milliseconds of a monotonic clock.
*/
export class ServiceLimits {
	readonly #plan: ServiceLimitsPlan;
	readonly #limited = new Map<core.UpstreamId, Upstream>();
	readonly #lifted = new Set<core.UpstreamId>();
	#askedAt = -Infinity;
	#sharedUntil = -Infinity;

	constructor(plan: ServiceLimitsPlan) {
		this.#plan = plan;
	}

	/**
	Takes the rate that an answer of the upstream named.
	*/
	set(upstream: Upstream, named: NamedRate, now: number): void {
		if (upstream.limit !== undefined) {
			upstream.limit.name(named, now);
			return;
		}

		const {getPart, random} = this.#plan;
		upstream.limit = new UpstreamLimit({
			named, burstSeconds: upstream.policy.rateBurstSeconds, part: getPart(now), random,
		}, now);
		this.#limited.set(upstream.candidate.upstream, upstream);
		this.#lifted.delete(upstream.candidate.upstream);
	}

	/**
	Takes an answer that names no limit, and returns whether it lifts one: only if its request was sent after the limit was named, since answers overtake
	each other.
	*/
	lift(upstream: Upstream, sentAt: number): boolean {
		if (upstream.limit === undefined || sentAt <= upstream.limit.namedAt) {
			return false;
		}

		this.forget(upstream);
		this.#lifted.add(upstream.candidate.upstream);
		return true;
	}

	forget(upstream: Upstream): void {
		upstream.limit = undefined;
		this.#limited.delete(upstream.candidate.upstream);
	}

	/**
	Takes what another host tells of an upstream.
	*/
	hear(upstream: Upstream, {ratePerSecond, ageMilliseconds, granted}: RateLimitNews, now: number): void {
		if (ratePerSecond === null) {
			this.forget(upstream);
			return;
		}

		this.set(upstream, {ratePerSecond, namedAt: now - ageMilliseconds, isTold: true}, now);
		upstream.limit!.hearUse(granted, now);
		this.#sharedUntil = granted > 0 ? now + SHARING_MILLISECONDS : this.#sharedUntil;
	}

	/**
	The service is asked for here.
	*/
	noteAsked(now: number): void {
		if (now - this.#askedAt > UNASKED_MILLISECONDS) {
			this.#sharedUntil = now + SHARING_MILLISECONDS;
		}

		this.#askedAt = now;
		if (this.#limited.size === 0) {
			return;
		}

		const part = this.#plan.getPart(now);
		for (const {limit} of this.#limited.values()) {
			limit!.setPart(part, now);
		}
	}

	/**
	Takes requests that were granted at an upstream; a negative number gives back.
	*/
	use({limit}: Upstream, requests: number, now: number): void {
		limit?.use(requests, this.#isShared(now), now);
	}

	/**
	Says whether other dispatchers are to be told what is granted here.
	*/
	isSharing(now: number): boolean {
		return this.#limited.size > 0 && this.#isShared(now);
	}

	/**
	Returns the limits in force, as a host that knows nothing is told them.
	*/
	list(now: number): readonly RateLimitNews[] {
		return this.#limited.entries().map(([upstream, {limit}]): RateLimitNews => ({
			upstream, ratePerSecond: limit!.getRatePerSecond(), ageMilliseconds: now - limit!.namedAt, granted: 0,
		})).toArray();
	}

	/**
	Returns what the other dispatchers are to be told since it was asked last.
	*/
	takeNews(now: number): readonly RateLimitNews[] {
		const news: RateLimitNews[] = this.#lifted.values().map((upstream): RateLimitNews => ({
			upstream, ratePerSecond: null, ageMilliseconds: 0, granted: 0,
		})).toArray();
		this.#lifted.clear();
		for (const [upstream, {limit}] of this.#limited) {
			const {isChanged, granted} = limit!.takeNews();
			if (isChanged || granted > 0) {
				news.push({
					upstream, ratePerSecond: limit!.getRatePerSecond(), ageMilliseconds: now - limit!.namedAt, granted,
				});
			}
		}

		return news;
	}

	#isShared(now: number): boolean {
		return now < this.#sharedUntil;
	}
}
