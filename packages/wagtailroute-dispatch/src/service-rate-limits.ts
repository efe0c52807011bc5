/**
Rate limits that the upstreams of one service advertise, and the updates that peer dispatchers need.

Two dispatchers may serve a service at the same time when some hosts consider one of them lost. So a dispatcher reports its grants to its peers after
it has taken over a service, and as long as it receives reports of another dispatcher. Otherwise it reports only changed rates.
*/
import type * as core from 'wagtailroute-core';
import type {RateLimitUpdate} from './slot-requests.ts';
import {PEER_ACTIVE_MILLISECONDS, TAKEOVER_IDLE_MILLISECONDS} from './constants.ts';
import {type AdvertisedRate, UpstreamRateLimit} from './upstream-rate-limit.ts';
import type {Upstream} from './upstreams.ts';

/**
Share and random numbers from which new limits are created.
*/
export type ServiceRateLimitsOptions = {
	/**
	Returns the share of the fleet's requests that this dispatcher handles, 0 to 1.
	*/
	readonly getShare: (now: number) => number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

/**
Rate limits of a service. Times are monotonic, in milliseconds.
*/
export class ServiceRateLimits {
	readonly #options: ServiceRateLimitsOptions;
	readonly #limits = new Map<core.UpstreamId, UpstreamRateLimit>();
	readonly #unpublishedLifts = new Set<core.UpstreamId>();
	/**
	Share that all limits have; undefined while they may differ.
	*/
	#appliedShare: number | undefined;
	#lastRequestAt = -Infinity;
	#peersActiveUntil = -Infinity;

	constructor(options: ServiceRateLimitsOptions) {
		this.#options = options;
	}

	/**
	Records the rate that an answer of the upstream advertised.
	*/
	record(upstream: Upstream, advertised: AdvertisedRate, now: number): void {
		if (upstream.rateLimit !== undefined) {
			upstream.rateLimit.update(advertised, now);
			return;
		}

		const {getShare, random} = this.#options;
		const share = getShare(now);
		this.#appliedShare = share === this.#appliedShare ? share : undefined;
		upstream.rateLimit = new UpstreamRateLimit({
			advertised, burstSeconds: upstream.policy.rateBurstSeconds, share, random,
		}, now);
		this.#limits.set(upstream.candidate.upstream, upstream.rateLimit);
		this.#unpublishedLifts.delete(upstream.candidate.upstream);
	}

	/**
	Lifts a limit after an answer without one. Answers may arrive out of order, so the request must have been sent after the limit was advertised.

	@returns Whether a limit was lifted.
	*/
	lift(upstream: Upstream, sentAt: number): boolean {
		if (upstream.rateLimit === undefined || sentAt <= upstream.rateLimit.getAdvertisedAt()) {
			return false;
		}

		this.remove(upstream);
		this.#unpublishedLifts.add(upstream.candidate.upstream);
		return true;
	}

	remove(upstream: Upstream): void {
		upstream.rateLimit = undefined;
		this.#limits.delete(upstream.candidate.upstream);
	}

	/**
	Applies the update of another host.
	*/
	apply(upstream: Upstream, {ratePerSecond, ageMilliseconds, granted}: RateLimitUpdate, now: number): void {
		if (ratePerSecond === null) {
			this.remove(upstream);
			return;
		}

		this.record(upstream, {ratePerSecond, advertisedAt: now - ageMilliseconds, isPublished: true}, now);
		upstream.rateLimit?.consumePeerGrants(granted, now);
		this.#peersActiveUntil = granted > 0 ? now + PEER_ACTIVE_MILLISECONDS : this.#peersActiveUntil;
	}

	/**
	Records a request of the service, and applies the present share to the limits.

	@returns Whether the rates changed with the share.
	*/
	recordRequest(now: number): boolean {
		if (now - this.#lastRequestAt > TAKEOVER_IDLE_MILLISECONDS) {
			this.#peersActiveUntil = now + PEER_ACTIVE_MILLISECONDS;
		}

		this.#lastRequestAt = now;
		if (this.#limits.size === 0) {
			return false;
		}

		const share = this.#options.getShare(now);
		if (share === this.#appliedShare) {
			return false;
		}

		this.#appliedShare = share;
		for (const limit of this.#limits.values()) {
			limit.setShare(share, now);
		}

		return true;
	}

	/**
	Consumes tokens for requests granted to an upstream; a negative number returns tokens.
	*/
	consume({rateLimit}: Upstream, requests: number, now: number): void {
		rateLimit?.consume(requests, this.#arePeersActive(now), now);
	}

	/**
	Returns whether grants have to be reported to peers.
	*/
	isShared(now: number): boolean {
		return this.#limits.size > 0 && this.#arePeersActive(now);
	}

	/**
	Lists the limits in force.
	*/
	list(now: number): readonly RateLimitUpdate[] {
		return this.#limits.entries().map(([upstream, limit]) => describe(upstream, limit, {granted: 0, now})).toArray();
	}

	/**
	Returns the updates since the last call.
	*/
	flushUpdates(now: number): readonly RateLimitUpdate[] {
		const updates: RateLimitUpdate[] = this.#unpublishedLifts.values().map((upstream): RateLimitUpdate => ({
			kind: 'rate-limit', upstream, ratePerSecond: null, ageMilliseconds: 0, granted: 0,
		})).toArray();
		this.#unpublishedLifts.clear();
		for (const [upstream, limit] of this.#limits) {
			const {isRateChanged, granted} = limit.flushPending();
			if (isRateChanged || granted > 0) {
				updates.push(describe(upstream, limit, {granted, now}));
			}
		}

		return updates;
	}

	#arePeersActive(now: number): boolean {
		return now < this.#peersActiveUntil;
	}
}

function describe(
	upstream: core.UpstreamId,
	limit: UpstreamRateLimit,
	{granted, now}: {readonly granted: number; readonly now: number},
): RateLimitUpdate {
	return {
		kind: 'rate-limit', upstream, ratePerSecond: limit.getRatePerSecond(), ageMilliseconds: now - limit.getAdvertisedAt(), granted,
	};
}
