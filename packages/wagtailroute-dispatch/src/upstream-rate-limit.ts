/**
Token bucket at one dispatcher for the rate limit that an upstream advertises in its answers.

Several dispatchers may grant requests to the same upstream for some time. Each reports its grants to its peers and subtracts theirs from its own
bucket.
*/
import * as admission from 'wagtailroute-admission';
import {
	MAX_DEBT_REQUESTS,
	MAX_DEBT_SECONDS,
	MILLISECONDS_PER_SECOND,
	MIN_RATE_PER_SECOND,
} from './constants.ts';

/**
A rate that an answer advertised.
*/
export type AdvertisedRate = {
	/**
	Requests per second that the upstream accepts from all hosts together.
	*/
	readonly ratePerSecond: number;
	readonly advertisedAt: number;
	/**
	Whether another host reported the rate, so that the peers know it as well.
	*/
	readonly isPublished: boolean;
};

/**
Initial values of a limit.
*/
export type UpstreamRateLimitOptions = {
	readonly advertised: AdvertisedRate;
	/**
	Capacity of the bucket, in seconds of the rate.
	*/
	readonly burstSeconds: number;
	/**
	Share of the rate that this dispatcher may grant, 0 to 1.
	*/
	readonly share: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

/**
What the peers have not received yet: grants, and whether the rate changed.
*/
export type PendingUpdate = {
	readonly isRateChanged: boolean;
	readonly granted: number;
};

/**
A rate limit. Times are monotonic, in milliseconds.
*/
export class UpstreamRateLimit {
	#advertisedAt: number;
	#ratePerSecond: number;
	#share: number;
	#pending: PendingUpdate;
	readonly #burstSeconds: number;
	readonly #bucket: admission.RateLimit;

	constructor({
		advertised, burstSeconds, share, random,
	}: UpstreamRateLimitOptions, now: number) {
		this.#advertisedAt = advertised.advertisedAt;
		this.#ratePerSecond = advertised.ratePerSecond;
		this.#share = share;
		this.#pending = {isRateChanged: !advertised.isPublished, granted: 0};
		this.#burstSeconds = burstSeconds;
		// Otherwise all hosts that dispatch with a small share would get their first token at the same time.
		const tokens = share < 1 ? random() : 0;
		this.#bucket = admission.createRateLimit(this.#getRate(), now, {capacity: this.#getCapacity(), tokens});
	}

	/**
	Returns the rate that the upstream advertised, in requests per second.
	*/
	getRatePerSecond(): number {
		return this.#ratePerSecond;
	}

	/**
	Returns the time of the last answer that advertised the limit.
	*/
	getAdvertisedAt(): number {
		return this.#advertisedAt;
	}

	/**
	Applies a newly advertised rate, unless it is older than the present one.
	*/
	update({ratePerSecond, advertisedAt, isPublished}: AdvertisedRate, now: number): void {
		if (advertisedAt < this.#advertisedAt) {
			return;
		}

		const isRateChanged = !isPublished && (this.#pending.isRateChanged || ratePerSecond !== this.#ratePerSecond);
		this.#pending = {...this.#pending, isRateChanged};
		this.#advertisedAt = advertisedAt;
		this.#ratePerSecond = ratePerSecond;
		this.#bucket.setRate(this.#getRate(), now, this.#getCapacity());
	}

	setShare(share: number, now: number): void {
		if (share === this.#share) {
			return;
		}

		this.#share = share;
		this.#bucket.setRate(this.#getRate(), now, this.#getCapacity());
	}

	hasToken(now: number): boolean {
		return this.#bucket.hasToken(now);
	}

	/**
	Returns the milliseconds until the next token.
	*/
	getDelay(now: number): number {
		return this.#bucket.getDelay(1, now);
	}

	/**
	Returns the average number of concurrent requests at the full rate.

	@param milliseconds Duration of a request.
	*/
	getConcurrency(milliseconds: number): number {
		return this.#getRate() * milliseconds / MILLISECONDS_PER_SECOND;
	}

	/**
	Consumes tokens for requests granted here; a negative number returns tokens.

	@param isShared Whether peers grant at the same time, so that the grants have to be reported to them.
	*/
	consume(requests: number, isShared: boolean, now: number): void {
		this.#bucket.consumeTokens(now, requests);
		this.#pending = {...this.#pending, granted: this.#pending.granted + (isShared ? requests : 0)};
	}

	/**
	Consumes tokens for requests granted by a peer. Delayed updates arrive together, so the debt is bounded.
	*/
	consumePeerGrants(requests: number, now: number): void {
		const maxTokens = this.#bucket.getTokens(now) + Math.max(MAX_DEBT_REQUESTS, this.#getRate() * MAX_DEBT_SECONDS);
		this.#bucket.consumeTokens(now, Math.min(requests, Math.max(0, maxTokens)));
	}

	/**
	Returns what the peers have not received yet, and marks it as sent.
	*/
	flushPending(): PendingUpdate {
		const pending = this.#pending;
		this.#pending = {isRateChanged: false, granted: 0};
		return pending;
	}

	#getRate(): number {
		return Math.max(MIN_RATE_PER_SECOND, this.#ratePerSecond) * this.#share;
	}

	#getCapacity(): number {
		return Math.max(1, this.#getRate() * this.#burstSeconds);
	}
}
