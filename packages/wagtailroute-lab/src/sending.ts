/**
The attempts of one request in virtual time, with the decisions of the real packages: the router of an entry host chooses and moves, the rules of
resends decide what may follow.

It stands for the proxy, whose own way of a request is bound to sockets and timers.
*/
import * as core from 'wagtailroute-core';
import * as fleet from 'wagtailroute-fleet';
import * as proxy from 'wagtailroute-proxy';
import * as retries from 'wagtailroute-retries';
import type * as utils from 'wagtailroute-utils';
import type {Arrival} from './arrivals.ts';
import type {Backend, BackendOutcome} from './backend.ts';
import type {Clock} from './clock.ts';
import type {Fate} from './tally.ts';

/**
What the attempts of a request need.
*/
export type SendingPlan = {
	readonly clock: Clock;
	readonly random: utils.Random;
	readonly arrival: Arrival;
	/**
	The entry host that serves the request.
	*/
	readonly host: core.HostId;
	readonly port: proxy.ServicePort;
	readonly deadlineAt: number;
	/**
	Milliseconds from the entry host to an upstream.
	*/
	readonly getWay: (backend: Backend) => number;
	readonly findBackend: (id: core.UpstreamId) => Backend | undefined;
	readonly isPathBad: (backend: Backend) => boolean;
	/**
	Has another entry host serve the request. Resolves with `shed` if that one reaches no upstream either, and with `unreachable` if it does not run.
	*/
	readonly forward: (target: proxy.Target) => Promise<SendingEnd | 'shed' | 'unreachable'>;
	/**
	A request is on its way to an upstream, the first or another one.
	*/
	readonly onSent: (upstream: core.UpstreamId, isResend: boolean) => void;
	/**
	The entry host ends: the connection of the caller breaks.
	*/
	readonly ended: Promise<'left'>;
};

/**
What the caller is told. A refusal may be followed by another try.
*/
export type SendingEnd = Fate | {readonly kind: 'refused'; readonly retryAfterMilliseconds: number};

type AttemptEnd = BackendOutcome | 'deadline' | 'unreachable' | 'moved' | 'left';

const RETRY_AFTER_MILLISECONDS = 300;

const ENDINGS: Readonly<Record<AttemptEnd, proxy.AttemptEnding>> = {
	success: 'success',
	error: 'server-error',
	reset: 'reset',
	shed: 'shed',
	refused: 'connect-error',
	unreachable: 'connect-error',
	deadline: 'timeout',
	moved: 'overdue',
	left: 'cancelled',
};

const FAILURES: Readonly<Record<Exclude<AttemptEnd, 'success' | 'moved' | 'left'>, retries.RequestFailureKind>> = {
	error: 'upstream-error',
	reset: 'upstream-lost',
	shed: 'upstream-shed',
	refused: 'connect-refused',
	unreachable: 'connect-timeout',
	deadline: 'deadline-after-send',
};

const CAUSES = {
	error: 'error', reset: 'reset', shed: 'refused', refused: 'no-connection', unreachable: 'no-connection', deadline: 'hung',
} as const;

/**
Serves one request at an entry host.
*/
export async function serve(plan: SendingPlan): Promise<SendingEnd> {
	return new Sending(plan).run();
}

class Sending {
	readonly #plan: SendingPlan;
	readonly #tried = new Set<string>();
	#count = 0;
	#outcome: core.Outcome = 'not-run';
	#hasArrived = false;
	#next: proxy.Target | undefined;
	readonly #startedAt: number;

	constructor(plan: SendingPlan) {
		this.#plan = plan;
		this.#startedAt = plan.clock.now();
	}

	async run(): Promise<SendingEnd> {
		const {arrival, clock} = this.#plan;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- One attempt follows the other.
			const target = this.#next ?? await this.#choose();
			this.#next = undefined;
			if (target === 'left') {
				return {kind: 'unserved', cause: 'left'};
			}

			if (!('address' in target)) {
				return this.#outcome === 'not-run'
					? {kind: 'refused', retryAfterMilliseconds: target.retryAfterMilliseconds ?? RETRY_AFTER_MILLISECONDS}
					: {kind: 'unserved', cause: 'hung'};
			}

			if (target.kind === 'host') {
				// eslint-disable-next-line no-await-in-loop -- See above.
				const forwarded = await this.#forward(target);
				if (forwarded !== undefined) {
					return forwarded;
				}

				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- See above.
			const end = await this.#attempt(target);
			if (end === 'success') {
				return {kind: 'served', milliseconds: clock.now() - arrival.at};
			}

			if (end === 'left') {
				return {kind: 'unserved', cause: 'left'};
			}

			if (end === 'moved') {
				this.#outcome = 'unknown';
				continue;
			}

			const decision = this.#decide(end);
			this.#outcome = decision.outcome;
			if (decision.kind === 'give-up') {
				return decision.outcome === 'not-run'
					? {kind: 'refused', retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS}
					: {kind: 'unserved', cause: CAUSES[end]};
			}

			// eslint-disable-next-line no-await-in-loop -- See above.
			await this.#wait(decision.delayMilliseconds);
		}
	}

	#getRemaining(): number {
		return Math.max(0, this.#plan.deadlineAt - this.#plan.clock.now());
	}

	async #wait(milliseconds: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.#plan.clock.schedule(milliseconds, resolve);
		});
	}

	#createChoice(isMove: boolean): proxy.ChoiceRequest {
		const {arrival} = this.#plan;
		return {
			excluded: this.#tried,
			requestClass: arrival.route.requestClass,
			requestId: arrival.id,
			remainingMilliseconds: this.#getRemaining(),
			waitedMilliseconds: this.#plan.clock.now() - this.#startedAt,
			isResend: this.#hasArrived || isMove,
			isMove,
		};
	}

	async #choose(): Promise<proxy.Target | proxy.RequestFailure | 'left'> {
		const {port, clock, ended} = this.#plan;
		const chosen = port.choose(this.#createChoice(false));
		if (chosen === undefined) {
			return proxy.createRequestFailure('no-upstream', 'none');
		}

		if ('address' in chosen) {
			return chosen;
		}

		const cancelDeadline = clock.schedule(this.#getRemaining(), chosen.cancel);
		const result = await Promise.race([chosen.result, ended]);
		cancelDeadline();
		return result;
	}

	/**
	Returns undefined where another host may be asked.
	*/
	async #forward(target: proxy.Target): Promise<SendingEnd | undefined> {
		const {clock, port, forward} = this.#plan;
		const startedAt = clock.now();
		this.#tried.add(target.id);
		this.#count++;
		const end = await forward(target);
		const isTaken = end !== 'shed' && end !== 'unreachable';
		const untaken: proxy.AttemptEnding = end === 'shed' ? 'shed' : 'connect-error';
		port.end({
			target, ending: isTaken ? 'success' : untaken, latencyMilliseconds: clock.now() - startedAt, fingerprint: '', hasCrashed: false,
		});
		if (isTaken) {
			return end;
		}

		return this.#count < (port.limits.attempts ?? 1) ? undefined : {kind: 'refused', retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS};
	}

	async #attempt(target: proxy.Target): Promise<AttemptEnd> {
		const {clock, arrival, host, port, findBackend, getWay, isPathBad, onSent, ended} = this.#plan;
		const backend = findBackend(target.id);
		const luck = arrival.lucks[Math.min(this.#count, arrival.lucks.length - 1)]!;
		this.#tried.add(target.id);
		this.#count++;
		port.begin(target);
		const startedAt = clock.now();
		const {promise, resolve} = Promise.withResolvers<AttemptEnd>();
		const cancelDeadline = clock.schedule(this.#getRemaining(), () => {
			resolve('deadline');
		});
		const way = backend === undefined ? 0 : getWay(backend);
		let giveUp: utils.Teardown = () => undefined;
		if (backend === undefined) {
			resolve('refused');
		} else if (isPathBad(backend)) {
			// Half of the requests have a connection already, on which nothing comes back.
			if (luck.harm < 0.5) {
				clock.schedule(fleet.UPSTREAM_CONNECT_TIMEOUT_MILLISECONDS, () => {
					resolve('unreachable');
				});
			}
		} else {
			onSent(target.id, this.#hasArrived);
			this.#hasArrived = true;
			clock.schedule(way, () => {
				giveUp = backend.take({
					route: arrival.route,
					failureDomain: arrival.failureDomain,
					host,
					luck,
					end(outcome, advertisements) {
						clock.schedule(way, () => {
							if (advertisements.length > 0) {
								port.recordAdvertisements?.(target, advertisements);
							}

							resolve(outcome);
						});
					},
				});
			});
		}

		const stopWatching = this.#watch(resolve);
		const end = await Promise.race([promise, ended]);
		cancelDeadline();
		stopWatching();
		clock.schedule(way, () => {
			giveUp();
		});
		const wasSent = end !== 'refused' && end !== 'unreachable';
		port.end({
			target,
			ending: ENDINGS[end],
			latencyMilliseconds: clock.now() - startedAt,
			fingerprint: '',
			hasCrashed: false,
			failure: end === 'refused' ? 'connect-refused' : undefined,
		});
		this.#hasArrived ||= wasSent;
		return end;
	}

	/**
	Asks for another place once the answer is overdue, like the proxy does.
	*/
	#watch(resolve: (end: AttemptEnd) => void): utils.Teardown {
		const {clock, arrival, port} = this.#plan;
		const {retry} = port;
		const patience = retry.getOverdueMilliseconds?.() ?? Infinity;
		const isMovable = core.isIdempotent(arrival.route.requestClass)
			&& this.#count < arrival.route.attempts
			&& patience + retry.getUsualMilliseconds() < this.#getRemaining();
		if (!isMovable) {
			return () => undefined;
		}

		let isEnded = false;
		let cancelAsk: utils.Teardown = () => undefined;
		const move = async () => {
			const chosen = port.choose(this.#createChoice(true));
			if (chosen === undefined || 'address' in chosen) {
				return;
			}

			cancelAsk = chosen.cancel;
			const cancelWait = clock.schedule(proxy.MOVE_TIMEOUT_MILLISECONDS, chosen.cancel);
			const target = await chosen.result;
			cancelWait();
			if (!('address' in target)) {
				return;
			}

			if (isEnded) {
				port.end({
					target, ending: 'cancelled', latencyMilliseconds: 0, fingerprint: '', hasCrashed: false,
				});
				return;
			}

			this.#next = target;
			resolve('moved');
		};

		const cancel = clock.schedule(patience, () => {
			void move();
		});
		return () => {
			isEnded = true;
			cancel();
			if (this.#next === undefined) {
				cancelAsk();
			}
		};
	}

	#decide(end: Exclude<AttemptEnd, 'success' | 'moved' | 'left'>): retries.RetryDecision {
		const {arrival: {route}, port, random} = this.#plan;
		const wasSent = end !== 'refused' && end !== 'unreachable';
		return retries.decideRetry({
			requestClass: route.requestClass,
			isKeyed: false,
			failure: FAILURES[end],
			isShedPromise: true,
			sent: wasSent ? 'some' : 'none',
			attempts: this.#count,
			maxAttempts: route.attempts,
			earlierOutcome: this.#outcome,
			remainingMilliseconds: this.#getRemaining(),
			usualMilliseconds: port.retry.getUsualMilliseconds(),
			hasBudget: true,
			isTierRetry: false,
			canResend: end !== 'deadline',
		}, random);
	}
}
