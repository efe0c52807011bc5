/**
Choice of upstreams for several queued requests at one moment. Under load hundreds of queued requests wait for the same upstreams, so the result for
one request is reused for the others of its kind.
*/
import * as core from 'wagtailroute-core';
import {keyBarredHosts} from './barred-hosts.ts';
import {
	type Choice,
	type ChoiceContext,
	chooseTrial,
	decide,
	isChosen,
	isTrialDue,
	listFree,
	type Unchosen,
} from './choosing.ts';
import type {WaitingRequest} from './domain-wait.ts';
import {isEligible} from './eligibility.ts';
import {getKind} from './request-kinds.ts';
import {describeResponse, type ExpectedResponse, getResponseBytes} from './response-bytes.ts';
import {createTrialContext, getUsualMilliseconds, type Service} from './services.ts';
import type {SlotRequest} from './slot-requests.ts';
import type {Upstream} from './upstreams.ts';

/**
Choice of upstreams for queued requests, one after the other. Grants may happen between the choices, other changes may not.
*/
export type QueueScan = {
	/**
	Returns whether no request can be granted a slot.
	*/
	readonly isOver: () => boolean;
	/**
	Returns the upstream for a request; undefined when it stays queued. A returned choice has to be granted.
	*/
	readonly choose: (request: SlotRequest, queuedMilliseconds: number) => Choice | undefined;
};

export type CreateQueueScan = (service: Service, context: Omit<ChoiceContext, keyof WaitingRequest>) => QueueScan;

export const createQueueScan: CreateQueueScan = (service, context) => new KindScan(service, context);

/**
Requests of a kind that stay queued, whose hosts are barred from the same upstreams.
*/
type Queued = {
	/**
	Host of one of them.
	*/
	readonly host: core.HostId;
	/**
	Upstreams on which the answer depends.
	*/
	readonly upstreams: readonly Upstream[];
	/**
	Whether they stay queued however long they have waited.
	*/
	readonly isUnavailable: boolean;
	/**
	Those that wait at least for this time stay queued, if the awaited upstream can take them later.
	*/
	readonly remainingWait: number;
	readonly awaited: Upstream | undefined;
};

/**
What is known of a kind of requests.
*/
type Kind = {
	readonly response: ExpectedResponse;
	trials?: readonly Upstream[];
	readonly queued: Queued[];
};

class KindScan implements QueueScan {
	readonly #service: Service;
	readonly #context: Omit<ChoiceContext, keyof WaitingRequest>;
	readonly #trials = new Map<string, readonly Upstream[]>();
	readonly #kinds = new Map<string, Kind>();
	/**
	Kinds of requests with a response that isn't small, by route.
	*/
	readonly #kindsByRoute = new Map<string, Map<string, Kind>>();
	readonly #barredHosts = new Map<readonly Upstream[], ReadonlyMap<core.HostId, string>>();

	constructor(service: Service, context: Omit<ChoiceContext, keyof WaitingRequest>) {
		this.#service = service;
		this.#context = context;
	}

	isOver(): boolean {
		const {index, now} = this.#context;
		return index.countFree(now) === 0 && index.listTrials(now).length === 0;
	}

	choose(request: SlotRequest, queuedMilliseconds: number): Choice | undefined {
		const kind = this.#getKind(request);
		const choice = this.#chooseTrial(request, kind) ?? this.#chooseFree(request, kind, queuedMilliseconds);
		if (choice !== undefined) {
			this.#forget();
		}

		return choice;
	}

	#getKind(request: SlotRequest): Kind {
		const kinds = this.#getKinds(request);
		const name = getKind(request);
		const known = kinds.get(name);
		if (known !== undefined) {
			return known;
		}

		const kind: Kind = {response: describeResponse(this.#service, request, this.#context.now), queued: []};
		kinds.set(name, kind);
		return kind;
	}

	/**
	Returns the kinds of the request's route. Small responses all count the same, whatever their route.
	*/
	#getKinds(request: SlotRequest): Map<string, Kind> {
		if (getResponseBytes(this.#service, request) <= this.#service.policy.smallResponseBytes) {
			return this.#kinds;
		}

		const kinds = this.#kindsByRoute.get(request.route) ?? new Map<string, Kind>();
		this.#kindsByRoute.set(request.route, kinds);
		return kinds;
	}

	/**
	A grant changes what others are answered: the upstream may have been the best one, and its rate limit has a token less.
	*/
	#forget(): void {
		this.#kinds.clear();
		this.#kindsByRoute.clear();
		this.#barredHosts.clear();
	}

	#chooseFree(request: SlotRequest, {response, queued}: Kind, queuedMilliseconds: number): Choice | undefined {
		const waiting: WaitingRequest = {queuedMilliseconds, usualMilliseconds: getUsualMilliseconds(this.#service, request), response};
		const known = queued.find(other => this.#isBarredAlike(request.host, other));
		if (known !== undefined && this.#staysQueued(request, waiting, known)) {
			return undefined;
		}

		let candidates: readonly Upstream[] | undefined;
		const listCandidates = () => {
			candidates ??= listFree(request, this.#context);
			return candidates;
		};

		const decision = decide(request, {...this.#context, ...waiting, listCandidates});
		if (isChosen(decision)) {
			return decision;
		}

		const described = this.#describeQueued(request, waiting, {decision, candidates});
		queued.splice(known === undefined ? queued.length : queued.indexOf(known), known === undefined ? 0 : 1, described);
		return undefined;
	}

	#isBarredAlike(host: core.HostId, {host: knownHost, upstreams}: Queued): boolean {
		if (host === knownHost) {
			return true;
		}

		const keys = this.#barredHosts.get(upstreams) ?? keyBarredHosts(upstreams, this.#context.now);
		this.#barredHosts.set(upstreams, keys);
		return keys.get(host) === keys.get(knownHost);
	}

	#staysQueued(request: SlotRequest, waiting: WaitingRequest, known: Queued): boolean {
		const {domainWait, now} = this.#context;
		const {host, isUnavailable, remainingWait, awaited} = known;
		return isUnavailable || (awaited !== undefined
			&& domainWait.getRemainingWait(request, waiting) >= remainingWait
			&& (request.host === host || isEligible(awaited, request, now)));
	}

	#describeQueued(
		request: SlotRequest,
		waiting: WaitingRequest,
		{decision, candidates}: {readonly decision: Unchosen; readonly candidates: readonly Upstream[] | undefined},
	): Queued {
		const {domainWait, index, now} = this.#context;
		const isUnavailable = decision === 'unavailable';
		return {
			host: request.host,
			// Without candidates the free upstreams of the failure domain decided, and whether any upstream is rested.
			upstreams: isUnavailable ? index.listOpen(now) : candidates ?? index.listOpen(now, request.failureDomain),
			isUnavailable,
			remainingWait: domainWait.getRemainingWait(request, waiting),
			awaited: isUnavailable ? undefined : domainWait.findAwaited(request, waiting),
		};
	}

	#chooseTrial(request: SlotRequest, kind: Kind): Choice | undefined {
		if (request.isResend) {
			return undefined;
		}

		kind.trials ??= this.#listTrials(request, kind.response);
		return kind.trials.length === 0 ? undefined : chooseTrial(kind.trials, request, this.#createTrialContext(kind.response));
	}

	#listTrials(request: SlotRequest, response: ExpectedResponse): readonly Upstream[] {
		const {index, now} = this.#context;
		const context = this.#createTrialContext(response);
		// When a trial is due doesn't depend on the response. `chooseTrial` decides about large ones.
		const trialKind = `${request.failureDomain} ${core.isIdempotent(request.requestClass)} ${context.isFull}`;
		const trials = this.#trials.get(trialKind) ?? index.listTrials(now).filter(upstream => isTrialDue(upstream, request, context));
		this.#trials.set(trialKind, trials);
		return trials;
	}

	#createTrialContext(response: ExpectedResponse) {
		const {index, now, needsIdleUpstreams} = this.#context;
		return createTrialContext(this.#service, now, {isFull: index.countFree(now) === 0, needsIdleUpstreams, response});
	}
}
