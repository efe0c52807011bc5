/**
The targets of one request: those already tried, the next one, and the one to which it moves when an answer is overdue.
*/
import * as core from 'wagtailroute-core';
import * as retries from 'wagtailroute-retries';
import type {Attempt} from './attempts.ts';
import type * as failures from './failures.ts';
import {type OverdueWatch, startOverdueWatch} from './overdue.ts';
import type * as ports from './ports.ts';
import type {RequestAbortController} from './request-abort.ts';
import type * as requests from './requests.ts';

/**
The request whose targets are chosen.
*/
export type TargetsContext = {
	readonly request: requests.CallerRequest;
	readonly match: ports.RouteMatch;
	readonly service: ports.ServicePort;
	readonly ports: Pick<ports.TrafficPorts, 'onDefect'>;
};

/**
Properties of an attempt that decide whether it may be moved.
*/
export type MovableAttempt = {
	/**
	Number of attempts made, this one included.
	*/
	readonly count: number;
	/**
	The whole body is buffered, so that it can be sent again.
	*/
	readonly isReplayable: boolean;
};

/**
Remaining and elapsed time of a request.
*/
export type RequestClock = {
	/**
	Milliseconds until the deadline.
	*/
	readonly getRemainingMilliseconds: () => number;
	/**
	Milliseconds since the request arrived.
	*/
	readonly getElapsedMilliseconds: () => number;
};

/**
Chooses the targets of one request.
*/
export class Targets {
	readonly #tried = new Set<string>();
	readonly #context: TargetsContext;
	readonly #abortController: RequestAbortController;
	readonly #getRemainingMilliseconds: () => number;
	readonly #getElapsedMilliseconds: () => number;
	/**
	Target already granted to a request that moves, used by the next attempt.
	*/
	#nextTarget: ports.Target | undefined;

	constructor(context: TargetsContext, abortController: RequestAbortController, {getRemainingMilliseconds, getElapsedMilliseconds}: RequestClock) {
		this.#context = context;
		this.#abortController = abortController;
		this.#getRemainingMilliseconds = getRemainingMilliseconds;
		this.#getElapsedMilliseconds = getElapsedMilliseconds;
	}

	/**
	Excludes a target from all later choices.
	*/
	exclude(target: ports.Target): void {
		this.#tried.add(target.id);
	}

	/**
	Returns the target of the next attempt, or the reason why there is none; undefined when the service has no other target.

	@param isResend The request was sent to a target before.
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

		// A target that is granted after the cancellation is released by the port.
		this.#abortController.setListener(() => {
			chosen.cancel();
		});
		const target = await chosen.result;
		this.#abortController.setListener(() => undefined);
		return target;
	}

	/**
	Creates the request for a target, with the tried ones excluded.
	*/
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
	Starts a watch over an attempt that may be moved: the request is idempotent and its body buffered, another attempt is allowed, and
	the time left suffices for one. Returns undefined for other attempts.
	*/
	watch(attempt: Attempt, {count, isReplayable}: MovableAttempt): OverdueWatch | undefined {
		const {service: {retry, limits, choose}, match, request} = this.#context;
		const overdueMilliseconds = retry.getOverdueMilliseconds?.() ?? Infinity;
		const isMovable = core.isIdempotent(match.route.class)
			&& count < (limits.attempts ?? retries.MAX_ATTEMPTS)
			&& isReplayable
			// The host that forwarded the request has made an attempt already.
			&& request.tierRetry === undefined
			&& overdueMilliseconds + retry.getUsualMilliseconds() < this.#getRemainingMilliseconds();
		return isMovable
			? startOverdueWatch({
				attempt,
				overdueMilliseconds,
				choose: () => choose({...this.createChoice(true), isMove: true}),
				releaseTarget: target => {
					this.#releaseTarget(target);
				},
				onDefect: this.#context.ports.onDefect,
			})
			: undefined;
	}

	/**
	Keeps the target to which a watch moved the request, for the next attempt. Returns whether the request moves.
	*/
	recordMove(watch: OverdueWatch | undefined): boolean {
		this.#nextTarget = watch?.getNextTarget();
		return this.#nextTarget !== undefined;
	}

	/**
	Releases a granted target when the request is not sent any more. Otherwise its slot would stay occupied until a check finds it unused.
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
