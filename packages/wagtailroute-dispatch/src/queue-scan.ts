/**
Choice of upstreams for several queued requests at one moment. What depends only on the kind of a request is determined once for all of them.
*/
import * as core from 'wagtailroute-core';
import {
	type Choice,
	type ChoiceContext,
	choose,
	chooseTrial,
	isTrialDue,
} from './choosing.ts';
import type {WaitingRequest} from './domain-wait.ts';
import {describeResponse, type ExpectedResponse} from './response-bytes.ts';
import {createTrialContext, getUsualMilliseconds, type Service} from './services.ts';
import type {SlotRequest} from './slot-requests.ts';
import type {Upstream} from './upstreams.ts';

/**
Grants may happen between the choices of a scan, other changes may not.
*/
export class QueueScan {
	readonly #service: Service;
	readonly #context: Omit<ChoiceContext, keyof WaitingRequest>;
	readonly #trials = new Map<string, readonly Upstream[]>();

	constructor(service: Service, context: Omit<ChoiceContext, keyof WaitingRequest>) {
		this.#service = service;
		this.#context = context;
	}

	/**
	Returns whether no request can be granted a slot.
	*/
	isOver(): boolean {
		const {index, now} = this.#context;
		return index.countFree(now) === 0 && index.listTrials(now).length === 0;
	}

	choose(request: SlotRequest, queuedMilliseconds: number): Choice | undefined {
		const response = describeResponse(this.#service, request, this.#context.now);
		return this.#chooseTrial(request, response) ?? choose(request, {
			...this.#context, queuedMilliseconds, usualMilliseconds: getUsualMilliseconds(this.#service, request), response,
		});
	}

	#chooseTrial(request: SlotRequest, response: ExpectedResponse): Choice | undefined {
		const {index, now, needsIdleUpstreams} = this.#context;
		if (request.isResend) {
			return undefined;
		}

		const isFull = index.countFree(now) === 0;
		const context = createTrialContext(this.#service, now, {isFull, needsIdleUpstreams, response});
		// When a trial is due doesn't depend on the response. `chooseTrial` decides about large ones.
		const kind = `${request.failureDomain} ${core.isIdempotent(request.requestClass)} ${isFull}`;
		const trials = this.#trials.get(kind) ?? index.listTrials(now).filter(upstream => isTrialDue(upstream, request, context));
		this.#trials.set(kind, trials);
		return chooseTrial(trials, request, context);
	}
}
