/**
The targets of one request: which had it, which gets it next, and which takes it from one that leaves it unanswered.
*/
import * as core from 'wagtailroute-core';
import * as retries from 'wagtailroute-retries';
import type {Attempt} from './attempts.ts';
import type * as failures from './failures.ts';
import type {RequestAbortController} from './request-abort.ts';
import {type OverdueWatch, startOverdueWatch} from './overdue.ts';
import type * as ports from './ports.ts';
import type * as requests from './requests.ts';

/**
What choosing targets needs.
*/
export type TargetsContext = {
	readonly request: requests.CallerRequest;
	readonly match: ports.RouteMatch;
	readonly service: ports.ServicePort;
};

/**
What is known of an attempt that may be moved.
*/
export type MovableAttempt = {
	/**
	Targets that got the request, this one included.
	*/
	readonly count: number;
	/**
	Its body is still at hand, whole.
	*/
	readonly isReplayable: boolean;
};

/**
The time of a request, in milliseconds.
*/
export type RequestClock = {
	/**
	Until its deadline.
	*/
	readonly getRemainingMilliseconds: () => number;
	/**
	Since it came.
	*/
	readonly getElapsedMilliseconds: () => number;
};

/**
The targets of one request.
*/
export class Targets {
	readonly #tried = new Set<string>();
	readonly #context: TargetsContext;
	readonly #abortController: RequestAbortController;
	readonly #getRemainingMilliseconds: () => number;
	readonly #getElapsedMilliseconds: () => number;
	/**
	Granted already, to a request that moves.
	*/
	#nextTarget: ports.Target | undefined;

	constructor(context: TargetsContext, abortController: RequestAbortController, {getRemainingMilliseconds, getElapsedMilliseconds}: RequestClock) {
		this.#context = context;
		this.#abortController = abortController;
		this.#getRemainingMilliseconds = getRemainingMilliseconds;
		this.#getElapsedMilliseconds = getElapsedMilliseconds;
	}

	/**
	Leaves a target out from now on.
	*/
	exclude(target: ports.Target): void {
		this.#tried.add(target.id);
	}

	/**
	Returns the next target, or why there is none.
	*/
	async choose(isResend: boolean): Promise<ports.Target | failures.RequestFailure | undefined> {
		const next = this.#nextTarget;
		this.#nextTarget = undefined;
		if (next !== undefined) {
			return next;
		}

		const chosen = this.#context.service.choose(this.createChoice(isResend));
		if (chosen === undefined || 'address' in chosen) {
			return chosen;
		}

		// Whoever gave up waiting gives the target back.
		this.#abortController.setListener(() => {
			chosen.cancel();
		});
		const target = await chosen.result;
		this.#abortController.setListener(() => undefined);
		return target;
	}

	createChoice(isResend: boolean): ports.ChoiceRequest {
		const {match, request} = this.#context;
		return {
			excluded: this.#tried,
			requestClass: match.route.class,
			requestId: request.id,
			remainingMilliseconds: this.#getRemainingMilliseconds(),
			waitedMilliseconds: this.#getElapsedMilliseconds(),
			isResend,
			isMove: false,
		};
	}

	/**
	Watches an attempt that may be moved: it may be repeated, another attempt is allowed, and its time suffices.
	*/
	watch(attempt: Attempt, {count, isReplayable}: MovableAttempt): OverdueWatch | undefined {
		const {service: {retry, limits, choose}, match} = this.#context;
		const overdueMilliseconds = retry.getOverdueMilliseconds?.() ?? Infinity;
		const isMovable = core.isIdempotent(match.route.class)
			&& count < (limits.attempts ?? retries.MAX_ATTEMPTS)
			&& isReplayable
			&& overdueMilliseconds + retry.getUsualMilliseconds() < this.#getRemainingMilliseconds();
		return isMovable
			? startOverdueWatch({
				attempt,
				overdueMilliseconds,
				choose: () => choose({...this.createChoice(true), isMove: true}),
				releaseTarget: target => {
					this.#releaseTarget(target);
				},
			})
			: undefined;
	}

	/**
	Takes what came of a watch; returns whether the request moves.
	*/
	recordMove(watch: OverdueWatch | undefined): boolean {
		this.#nextTarget = watch?.getNextTarget();
		return this.#nextTarget !== undefined;
	}

	/**
	The request is not sent any more. A target that was granted and never used would stay taken until somebody looked for it.
	*/
	releaseUnused(): void {
		if (this.#nextTarget === undefined) {
			return;
		}

		this.#releaseTarget(this.#nextTarget);
		this.#nextTarget = undefined;
	}

	#releaseTarget(target: ports.Target): void {
		this.#context.service.end({
			target, ending: 'cancelled', latencyMilliseconds: 0, fingerprint: '', hasCrashed: false,
		});
	}
}
