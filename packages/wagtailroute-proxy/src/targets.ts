/**
The targets of one request: which had it, which gets it next, and which takes it from one that leaves it unanswered.
*/
import * as core from 'wagtailroute-core';
import * as retries from 'wagtailroute-retries';
import type {Attempt} from './attempts.ts';
import type * as failures from './failures.ts';
import type {GivingUp} from './giving-up.ts';
import {type OverdueWatch, watchOverdue} from './overdue.ts';
import type * as ports from './ports.ts';
import type * as requests from './requests.ts';

/**
What choosing targets needs.
*/
export type TargetsContext = {
	readonly request: requests.CallerRequest;
	readonly match: ports.Match;
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
export type RequestTime = {
	/**
	Until its deadline.
	*/
	readonly getRemaining: () => number;
	/**
	Since it came.
	*/
	readonly getWaited: () => number;
};

/**
The targets of one request.
*/
export class Targets {
	readonly #tried = new Set<string>();
	readonly #context: TargetsContext;
	readonly #givingUp: GivingUp;
	readonly #getRemaining: () => number;
	readonly #getWaited: () => number;
	/**
	Granted already, to a request that moves.
	*/
	#next: ports.Target | undefined;

	constructor(context: TargetsContext, givingUp: GivingUp, {getRemaining, getWaited}: RequestTime) {
		this.#context = context;
		this.#givingUp = givingUp;
		this.#getRemaining = getRemaining;
		this.#getWaited = getWaited;
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
		const next = this.#next;
		this.#next = undefined;
		if (next !== undefined) {
			return next;
		}

		const chosen = this.#context.service.choose(this.createChoice(isResend));
		if (chosen === undefined || 'address' in chosen) {
			return chosen;
		}

		// Whoever gave up waiting gives the target back.
		this.#givingUp.setListener(() => {
			chosen.cancel();
		});
		const result = await chosen.result;
		this.#givingUp.setListener(() => undefined);
		return result;
	}

	createChoice(isResend: boolean): ports.ChoiceRequest {
		const {match, request} = this.#context;
		return {
			excluded: this.#tried,
			requestClass: match.route.class,
			requestId: request.id,
			remainingMilliseconds: this.#getRemaining(),
			waitedMilliseconds: this.#getWaited(),
			isResend,
			isMove: false,
		};
	}

	/**
	Watches an attempt that may be moved: it may be repeated, another attempt is allowed, and its time suffices.
	*/
	watch(attempt: Attempt, {count, isReplayable}: MovableAttempt): OverdueWatch | undefined {
		const {service: {retry, limits, choose}, match} = this.#context;
		const patienceMilliseconds = retry.getPatienceMilliseconds?.() ?? Infinity;
		const isMovable = core.isIdempotent(match.route.class)
			&& count < (limits.attempts ?? retries.MAX_ATTEMPTS)
			&& isReplayable
			&& patienceMilliseconds + retry.getUsualMilliseconds() < this.#getRemaining();
		return isMovable
			? watchOverdue({
				attempt,
				patienceMilliseconds,
				choose: () => choose({...this.createChoice(true), isMove: true}),
				giveBack: target => {
					this.#giveBack(target);
				},
			})
			: undefined;
	}

	/**
	Takes what came of a watch; returns whether the request moves.
	*/
	keepNext(watch: OverdueWatch | undefined): boolean {
		this.#next = watch?.getNext();
		return this.#next !== undefined;
	}

	/**
	The request is not sent any more. A target that was granted and never used would stay taken until somebody looked for it.
	*/
	abandon(): void {
		if (this.#next === undefined) {
			return;
		}

		this.#giveBack(this.#next);
		this.#next = undefined;
	}

	#giveBack(target: ports.Target): void {
		this.#context.service.end({
			target, ending: 'cancelled', latencyMilliseconds: 0, fingerprint: '', hasCrashed: false,
		});
	}
}
