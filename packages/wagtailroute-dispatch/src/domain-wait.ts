/**
Waiting for a slot in the failure domain of the entry host. Under load one becomes free there within milliseconds. If each request took the first free
slot of any domain, nearly half of all requests would cross, each leaving a slot in its own domain to another that crosses.
*/
import type * as core from 'wagtailroute-core';
import {getDomainCost} from './costs/index.ts';
import {isEligible} from './eligibility.ts';
import type {Policy} from './policy.ts';
import type {ExpectedResponse} from './response-bytes.ts';
import type {SlotRequest} from './slot-requests.ts';
import type {UpstreamIndex} from './upstream-index.ts';
import {getRisk, type Upstream} from './upstreams.ts';

/**
Most milliseconds until the next tick: no event ends a wait by itself.
*/
const TICK_MILLISECONDS = 50;

const DOMAIN_WAIT_FIELDS = {
	read: 'domainWaitMilliseconds',
	idempotent: 'domainWaitMilliseconds',
	'non-idempotent': 'unrepeatableDomainWaitMilliseconds',
	upload: 'uploadDomainWaitMilliseconds',
} as const satisfies Record<core.RequestClass, keyof Policy>;

/**
State on which the wait depends.
*/
export type DomainWaitContext = {
	readonly now: number;
	/**
	Upstreams of the service.
	*/
	readonly index: UpstreamIndex;
	readonly policy: Policy;
};

/**
What the wait depends on besides the message of the request.
*/
export type WaitingRequest = {
	/**
	Milliseconds that the request has been queued here.
	*/
	readonly queuedMilliseconds: number;
	/**
	Usual response time of the request's route.
	*/
	readonly usualMilliseconds: number;
	readonly response: ExpectedResponse;
};

/**
Waits of several requests at one moment. Most of them wait for the same upstreams, so the last one found is examined first.
*/
export class DomainWait {
	readonly #context: DomainWaitContext;
	/**
	Usable upstreams by failure domain and cost of crossing; undefined where the risk of each is too high.
	*/
	readonly #found = new Map<core.FailureDomain, Map<number, Upstream | undefined>>();

	constructor(context: DomainWaitContext) {
		this.#context = context;
	}

	/**
	Returns whether a request should wait for a slot in its own failure domain.
	*/
	isWaiting(request: SlotRequest, waiting: WaitingRequest): boolean {
		const remainingWait = getDomainWait(request, waiting, this.#context.policy) - waiting.queuedMilliseconds;
		return !request.isResend && remainingWait > 0 && this.#hasUsable(request, waiting.response, remainingWait);
	}

	#hasUsable(request: SlotRequest, {bytes}: ExpectedResponse, remainingWait: number): boolean {
		const {now, index, policy} = this.#context;
		const cost = getDomainCost(request, bytes, policy);
		const foundByCost = this.#found.get(request.failureDomain) ?? new Map<number, Upstream | undefined>();
		this.#found.set(request.failureDomain, foundByCost);
		const known = foundByCost.get(cost);
		const isUsable = (upstream: Upstream) => (upstream.rateLimit?.getDelay(now) ?? 0) < remainingWait && isEligible(upstream, request, now);
		if (known !== undefined && isUsable(known)) {
			return true;
		}

		if (known === undefined && foundByCost.has(cost)) {
			return false;
		}

		// Crossing is better than an upstream at which the request is likely to fail.
		const isLikelyToSucceed = (upstream: Upstream) => getRisk(upstream, now) * policy.riskCost < cost;
		const upstreams = index.listUsableInDomain(now, request.failureDomain);
		const found = upstreams.find(upstream => isUsable(upstream) && isLikelyToSucceed(upstream));
		if (found !== undefined || upstreams.every(upstream => !isLikelyToSucceed(upstream))) {
			foundByCost.set(cost, found);
		}

		return found !== undefined;
	}
}

/**
Returns the milliseconds that a request waits for a slot in its own failure domain. Those for a large response end while the request can still meet
its objective; all end at a tick after which another slot serves the request before its deadline.
*/
function getDomainWait(request: SlotRequest, {response: {largePart}, usualMilliseconds}: WaitingRequest, policy: Policy): number {
	const deadlineWait = request.remainingMilliseconds - (usualMilliseconds * policy.worthwhilePart) - TICK_MILLISECONDS;
	const classWait = Math.min(policy[DOMAIN_WAIT_FIELDS[request.requestClass]], deadlineWait);
	if (largePart === 0) {
		return classWait;
	}

	const largeWait = classWait + (Math.max(0, policy.largeDomainWaitMilliseconds - classWait) * largePart);
	const objectiveWait = request.objectiveMilliseconds - request.waitedMilliseconds - (usualMilliseconds * policy.objectivePart);
	return Math.max(classWait, Math.min(largeWait, objectiveWait, deadlineWait));
}
