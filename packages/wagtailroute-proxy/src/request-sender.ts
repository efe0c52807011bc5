/**
Sends one request to a target, and to further ones where the rules of the retries package allow it.

The outcome reported to the caller takes all attempts into account, not only the last one. A request that is suspected of
crashing backend servers is sent only on trial.
*/
import type * as http from 'node:http';
import * as timers from 'node:timers/promises';
import type * as core from 'wagtailroute-core';
import type * as undici from 'undici';
import * as retries from 'wagtailroute-retries';
import * as utils from 'wagtailroute-utils';
import * as attempts from './attempts.ts';
import * as bodies from './bodies.ts';
import type * as connections from './connections.ts';
import type {AnswerKind} from './dialect.ts';
import * as endings from './endings.ts';
import * as failures from './failures.ts';
import type {HeldBytes} from './held-bytes.ts';
import type {Transfer} from './large-responses.ts';
import type * as headers from './headers.ts';
import type * as ports from './ports.ts';
import {receiveNextRequest} from './remainder.ts';
import type {AbortReason, RequestAbortController} from './request-abort.ts';
import type {RequestProgress} from './request-progress.ts';
import type * as requests from './requests.ts';
import {type RequestClock, Targets} from './targets.ts';
import {startUnansweredWatch, type UnansweredWatch} from './unanswered.ts';

/**
The request to send, its route, and the ports and connections that are used.
*/
export type SenderContext = {
	readonly ports: ports.TrafficPorts;
	readonly connections: connections.ConnectionPools;
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly request: requests.CallerRequest;
	readonly progress: RequestProgress;
	readonly match: ports.RouteMatch;
	readonly service: ports.ServicePort;
	readonly heldBytes: HeldBytes;
	/**
	See `RoutedRequest`.
	*/
	readonly organisation?: core.Organisation;
	/**
	See `RoutedRequest`.
	*/
	readonly catalogueVersion?: number;
};

/**
A claim of an idempotency key under which the request may be sent.
*/
export type GrantedClaim = Extract<ports.ClaimAnswer, {kind: 'granted'}>;

type OptionalFailure = failures.RequestFailure | undefined;
type GrantedTrial = Extract<ports.TrialAnswer, {kind: 'granted'}>;
type FailedAttempt = Exclude<attempts.AttemptResult, {kind: 'relayed'}>;

/**
Sends one request, in one or more attempts.
*/
export class RequestSender {
	/**
	Identifies what the request asks for; set before `run`.
	*/
	fingerprint = '';
	/**
	Merged outcome of all failed attempts: `not-run` until one may have run.
	*/
	outcome: core.Outcome = 'not-run';
	/**
	Outcome that the caller was told with a relayed answer.
	*/
	reportedOutcome: core.Outcome = 'not-run';
	lastResult: attempts.AttemptResult | undefined;
	lastEnding: ports.AttemptEnding | undefined;
	lastUpstream: core.UpstreamId | undefined;
	/**
	Advertisements in the answers to all attempts.
	*/
	readonly advertised: ports.UpstreamAdvertisement[] = [];
	/**
	Milliseconds spent waiting for targets, over all attempts.
	*/
	choosingMilliseconds = 0;
	readonly #context: SenderContext;
	readonly #abortController: RequestAbortController;
	readonly #getRemainingMilliseconds: () => number;
	readonly #targets: Targets;
	#claim: GrantedClaim | undefined;
	#body: bodies.Body | undefined;
	#attemptCount = 0;
	#transfer: Transfer | undefined;
	#isDelivered = true;
	#decision: retries.RetryDecision | undefined;
	#isTrialBusy = false;
	#isMoving = false;
	/**
	The request was sent to a target, whether or not that target ran it.
	*/
	#hasBeenSent = false;

	constructor(context: SenderContext, abortController: RequestAbortController, clock: RequestClock) {
		this.#context = context;
		this.#abortController = abortController;
		this.#getRemainingMilliseconds = clock.getRemainingMilliseconds;
		this.#targets = new Targets(context, abortController, clock);
	}

	/**
	Makes attempts until an answer is relayed or no further attempt is allowed. Returns the failure to report, undefined when an answer was relayed.
	*/
	async run(body: bodies.Body, claim?: GrantedClaim): Promise<OptionalFailure> {
		this.#body = body;
		this.#claim = claim;
		const {service, ports: {pacers}} = this.#context;
		const transfer = pacers?.largeResponses.admit({
			bytes: service.getExpectedResponseBytes?.() ?? 0,
			remainingMilliseconds: this.#getRemainingMilliseconds(),
			usualMilliseconds: service.retry.getUsualMilliseconds(),
		});
		if (transfer !== undefined && 'retryAfterMilliseconds' in transfer) {
			return failures.createRequestFailure('queue-timeout', 'The link of this host carries as many large responses as it can.', transfer.retryAfterMilliseconds);
		}

		this.#transfer = transfer;
		try {
			return await this.#makeAttempts();
		} finally {
			transfer?.end();
		}
	}

	async #makeAttempts(): Promise<OptionalFailure> {
		let failure: OptionalFailure;
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- One attempt follows the other.
			const target = this.#abortController.getReason() === undefined ? await this.#chooseTarget() : undefined;
			if (target === undefined || !('address' in target)) {
				this.#targets.releaseUnused();
				return this.describeAbort() ?? failure ?? target ?? this.#createNoUpstreamFailure();
			}

			// eslint-disable-next-line no-await-in-loop -- See above.
			const trial = await this.#requestTrial(target);
			if (trial?.kind === 'busy') {
				this.#isTrialBusy = true;
				this.#targets.exclude(target);
				continue;
			}

			if (trial?.kind === 'refused') {
				return trial.failure;
			}

			// eslint-disable-next-line no-await-in-loop -- See above.
			const step = await this.#attemptOnce(target, trial?.kind === 'granted' ? trial : undefined);
			failure = step.failure;
			if (step.delayMilliseconds === undefined) {
				return failure;
			}

			this.#context.progress.waitsFor = 'retry';
			// eslint-disable-next-line no-await-in-loop -- See above.
			await this.#abortController.race(timers.setTimeout(step.delayMilliseconds));
		}
	}

	async #chooseTarget(): Promise<ports.Target | failures.RequestFailure | undefined> {
		const {ports: {now}, progress} = this.#context;
		progress.waitsFor = 'slot';
		const choosingStartedAt = now();
		const target = await this.#targets.choose(this.#hasBeenSent);
		this.choosingMilliseconds += now() - choosingStartedAt;
		return target;
	}

	/**
	Returns the number of attempts made.
	*/
	getAttemptCount(): number {
		return this.#attemptCount;
	}

	/**
	Returns the failure that describes the abort of the request, if it was aborted.
	*/
	describeAbort(): OptionalFailure {
		const reason = this.#abortController.getReason();
		if (reason === undefined) {
			return undefined;
		}

		const {request} = this.#context;
		return ABORT_FAILURES[reason][this.outcome === 'not-run' ? 'unsent' : 'sent'](request);
	}

	#createNoUpstreamFailure(): failures.RequestFailure {
		return this.#isTrialBusy
			? failures.createRequestFailure('trial-busy', 'Other requests that may crash backend servers are on trial at all of them.')
			: failures.createRequestFailure('no-upstream', `No backend server of ${this.#context.match.service} can take the request.`);
	}

	async #requestTrial(target: ports.Target): Promise<ports.TrialAnswer | undefined> {
		const {service, match, ports: {guard, onDefect}} = this.#context;
		const {fingerprint} = this;
		// Checked before each attempt, as the previous attempt may have made the request a suspect.
		if (!service.isCarried || guard.getQuarantineStatus(match.service, fingerprint) === 'free') {
			return undefined;
		}

		this.#context.progress.waitsFor = 'trial';
		const pending = guard.requestTrial({
			service: match.service, fingerprint, upstream: target.id, budgetMilliseconds: Math.ceil(this.#getRemainingMilliseconds()),
		});
		const answer = await this.#abortController.race(pending);
		if (answer === undefined) {
			utils.runDetached(async () => releaseLateTrial(pending), onDefect);
			return {kind: 'refused', failure: this.describeAbort()!};
		}

		return answer;
	}

	async #attemptOnce(
		target: ports.Target,
		trial: GrantedTrial | undefined,
	): Promise<{readonly failure?: failures.RequestFailure; readonly delayMilliseconds?: number}> {
		this.#decision = undefined;
		const expired = this.#checkExpiry(trial);
		const {result, hasCrashed} = expired === undefined
			? await this.#send(target, trial !== undefined)
			: {result: expired, hasCrashed: false};
		this.lastResult = result;
		this.#hasBeenSent ||= result.kind !== 'not-sent';
		this.#recordSurvival(target, result, trial);
		if (result.kind === 'relayed') {
			return {failure: this.#isDelivered ? undefined : this.describeAbort()};
		}

		const kind = endings.getFailureKind(result, hasCrashed);
		this.#decision ??= this.#isMoving
			? {kind: 'retry', delayMilliseconds: 0, outcome: retries.mergeOutcomes(this.outcome, 'unknown')}
			: this.#decideRetry(kind, result);
		this.outcome = this.#decision.outcome;
		return {
			failure: this.describeAbort() ?? failures.createRequestFailure(kind, endings.describeResult(result, target.id)),
			delayMilliseconds: this.#decision.kind === 'retry' ? this.#decision.delayMilliseconds : undefined,
		};
	}

	/**
	Returns a result without sending when the claim or the trial has expired, as after a pause of this process: another host may hold the
	key by now, or another copy of the request may be on trial.
	*/
	#checkExpiry(trial: GrantedTrial | undefined): FailedAttempt | undefined {
		if (this.#claim?.isSendable() === false) {
			return {kind: 'not-sent', code: 'CLAIM_EXPIRED'};
		}

		return trial?.isUsable() === false ? {kind: 'not-sent', code: 'TRIAL_EXPIRED'} : undefined;
	}

	async #detectCrash(target: ports.Target, isOnTrial: boolean): Promise<boolean> {
		const {match, ports: {guard}} = this.#context;
		return await this.#abortController.race(guard.detectCrash({
			service: match.service, target, fingerprint: this.fingerprint, isOnTrial,
		})) ?? false;
	}

	/**
	The answer of another host may be its refusal, and it records the survival itself.
	*/
	#recordSurvival({kind}: ports.Target, result: attempts.AttemptResult, trial: GrantedTrial | undefined): void {
		const {match, ports: {guard}} = this.#context;
		const ending = endings.getTrialEnding(result);
		if (ending === 'completed' && kind === 'upstream') {
			guard.recordSurvival(match.service, this.fingerprint);
		}

		trial?.end(ending);
	}

	async #send(
		target: ports.Target,
		isOnTrial: boolean,
	): Promise<{readonly result: attempts.AttemptResult; readonly hasCrashed: boolean}> {
		const {service, progress, ports: {now}} = this.#context;
		this.#targets.exclude(target);
		this.lastUpstream = target.id;
		this.#attemptCount++;
		service.begin(target);
		const startedAt = now();
		progress.waitsFor = 'upstream';
		progress.attempts = this.#attemptCount;
		progress.upstream = target.id;
		progress.sentAt = startedAt;
		let answerHeadersAt: number | undefined;
		const listener: {onAnswerHeaders?: () => void} = {};
		const attempt = this.#startAttempt(target, () => {
			answerHeadersAt = now();
			listener.onAnswerHeaders?.();
		});
		const unanswered = this.#watchUnanswered(target, attempt, startedAt);
		const watch = this.#targets.watch(attempt, {count: this.#attemptCount, isReplayable: bodies.isReplayable(this.#body!)});
		listener.onAnswerHeaders = () => {
			unanswered?.recordAnswer();
			watch?.end();
		};

		this.#abortController.setListener(reason => {
			watch?.end();
			attempt.abort(reason);
		});
		const result = await attempt.result;
		watch?.end();
		unanswered?.end(result, this.#abortController.getReason() !== undefined);
		this.#isMoving = this.#targets.recordMove(watch);
		this.#abortController.setListener(() => undefined);
		const latencyMilliseconds = (answerHeadersAt ?? now()) - startedAt;
		this.lastEnding = this.#getEnding(result);
		const isLost = endings.isConnectionLost(result) && this.#abortController.getReason() === undefined;
		const hasCrashed = isLost && target.kind === 'upstream' && await this.#detectCrash(target, isOnTrial);
		service.end({
			target,
			ending: this.lastEnding,
			latencyMilliseconds,
			fingerprint: this.fingerprint,
			hasCrashed,
			failure: result.kind === 'relayed' ? undefined : endings.getFailureKind(result, hasCrashed),
			responseSize: 'responseSize' in result ? result.responseSize : undefined,
		});
		await this.#deliver(attempt, result);
		return {result, hasCrashed};
	}

	/**
	Waits until what the host holds of a paced response was written. Its slot is released before, as the upstream is done.
	*/
	async #deliver({delivered}: attempts.Attempt, result: attempts.AttemptResult): Promise<void> {
		if (result.kind !== 'relayed') {
			return;
		}

		// A caller may send its whole request before it reads the response.
		utils.runDetached(async () => receiveNextRequest(this.#context.response), this.#context.ports.onDefect);
		this.#isDelivered = await this.#abortController.race(waitForDelivery(delivered)) ?? false;
		if (!this.#isDelivered) {
			this.outcome = 'ran';
		}
	}

	#watchUnanswered(target: ports.Target, attempt: attempts.Attempt, sentAt: number): UnansweredWatch | undefined {
		const {match, service, ports: {guard, now}} = this.#context;
		const overdueMilliseconds = service.retry.getOverdueMilliseconds?.();
		return overdueMilliseconds === undefined || target.kind === 'host'
			? undefined
			: startUnansweredWatch({
				attempt,
				guard,
				sent: {
					service: match.service, target, fingerprint: this.fingerprint, sentAt,
				},
				overdueMilliseconds,
				usualMilliseconds: service.retry.getUsualMilliseconds(),
				now,
			});
	}

	#startAttempt(target: ports.Target, onAnswerHeaders: () => void): attempts.Attempt {
		const {connections, service} = this.#context;
		const pool = connections.getPool(target.address, service.limits.connectionsPerUpstream);
		return pool === undefined
			? attempts.createUnsentAttempt(endings.UNCONNECTABLE_CODE)
			: attempts.startAttempt(this.#createAttemptOptions(target, pool, onAnswerHeaders));
	}

	#createAttemptOptions(target: ports.Target, pool: undici.Dispatcher, onAnswerHeaders: () => void): attempts.AttemptOptions {
		const {
			service, request, organisation, catalogueVersion, message, response, ports: {dialect, hostId, pacers},
		} = this.#context;
		const body = this.#body!;
		return {
			pool,
			method: request.method,
			requestTarget: request.requestTarget,
			headers: dialect.createRequestHeaders(message, {
				instance: target.id,
				remainingMilliseconds: this.#getRemainingMilliseconds(),
				contentLength: bodies.getContentLength(body, request),
				organisation,
				forwardedBy: target.kind === 'host' ? hostId : undefined,
				catalogueVersion,
				retry: this.#isResendTo(target) ? String(this.#attemptCount - 1) : request.tierRetry,
			}),
			body: bodies.getSendableBody(body, pacers?.sending),
			response,
			pacer: pacers?.sending,
			heldBytes: this.#context.heldBytes,
			transfer: this.#transfer,
			decideAnswer: (status, received) => this.#decideAnswer(status, received, target),
			createAnswerHeaders: received => this.#createAnswerHeaders(received, target),
			isAnswerStored: this.#claim !== undefined,
			onAnswerHeaders,
		};
	}

	/**
	Returns whether the target must count the request as sent before. Another host that did not take it has not sent it to an upstream.
	*/
	#isResendTo({kind}: ports.Target): boolean {
		return kind === 'host' ? this.outcome !== 'not-run' : this.#attemptCount > 1;
	}

	/**
	Decides what is done with an answer when its header section has arrived. A relayed answer rules out further attempts.
	*/
	#decideAnswer(status: number, received: headers.HeaderFields, target: ports.Target): attempts.AnswerAction {
		const {service, request, ports: {dialect}} = this.#context;
		const kind = dialect.readAnswer(status, received, request, target.kind);
		this.#recordAdvertisements(kind, {status, received}, target);
		if (kind === 'foreign') {
			return 'foreign';
		}

		if (kind === 'final' || (kind === 'answer' && status < 500)) {
			return 'relay';
		}

		const isShed = kind === 'shed' || kind === 'misdirected';
		const result: FailedAttempt = {kind: 'discarded', status, isShed};
		const decision = service.hasOtherTarget(this.#targets.createChoice(true)) ? this.#decideRetry(endings.getFailureKind(result, false), result) : undefined;
		if (decision?.kind === 'retry') {
			this.#decision = decision;
			return isShed ? kind : 'repeat';
		}

		// The answer of a carrier states why the request was not run, which tells the caller more than a shed answer of this host.
		const isRelayed = kind === 'answer' || (isShed && target.kind === 'host');
		return isRelayed ? 'relay' : (isShed ? kind : 'repeat');
	}

	/**
	Records the advertisements of an upstream. Answers from another instance or to another request are ignored.
	*/
	#recordAdvertisements(
		kind: AnswerKind,
		{status, received}: {readonly status: number; readonly received: headers.HeaderFields},
		target: ports.Target,
	): void {
		const {service, ports: {dialect}} = this.#context;
		const isOfTarget = kind !== 'foreign' && kind !== 'misdirected' && target.kind === 'upstream';
		const advertisements = isOfTarget ? dialect.readAdvertisements(status, received) : [];
		if (advertisements.length === 0) {
			return;
		}

		this.advertised.push(...advertisements.map(advertisement => ({...advertisement, upstream: target.id})));
		service.recordAdvertisements?.(target, advertisements);
	}

	/**
	Decides whether the request is sent again, and spends a retry of the budget if so.
	*/
	#decideRetry(failure: failures.RequestFailureKind, result: FailedAttempt): retries.RetryDecision {
		const {service, request, match, ports: {dialect, random}} = this.#context;
		const isExpired = this.#claim?.isSendable() === false;
		const isAnswerable = result.kind !== 'truncated' && this.#abortController.getReason() === undefined;
		const decision = retries.decideRetry({
			requestClass: match.route.class,
			isKeyed: this.#claim !== undefined,
			failure,
			isShedPromise: dialect.isShedPromise,
			sent: result.kind === 'not-sent' ? 'none' : 'some',
			attempts: Math.max(1, this.#attemptCount),
			maxAttempts: service.limits.attempts ?? retries.MAX_ATTEMPTS,
			earlierOutcome: this.outcome,
			remainingMilliseconds: this.#getRemainingMilliseconds(),
			usualMilliseconds: service.retry.getUsualMilliseconds(),
			hasBudget: service.retry.hasBudget(),
			isTierRetry: request.tierRetry !== undefined,
			canResend: isAnswerable && !isExpired && bodies.isReplayable(this.#body!),
		}, random);
		if (decision.kind === 'retry') {
			service.retry.spend();
		}

		return decision;
	}

	#createAnswerHeaders(received: headers.HeaderFields, target: ports.Target): Record<string, string | string[]> {
		const targetOutcome = target.kind === 'host' ? endings.readOutcome(received) : 'ran';
		this.reportedOutcome = retries.mergeOutcomes(this.outcome, targetOutcome);
		return this.#context.ports.dialect.createAnswerHeaders(received, this.reportedOutcome);
	}

	#getEnding(result: attempts.AttemptResult): ports.AttemptEnding {
		const reason = this.#abortController.getReason();
		if (reason === undefined || result.kind === 'relayed') {
			return endings.getAttemptEnding(result);
		}

		if (reason !== 'deadline') {
			return 'cancelled';
		}

		const {request, service} = this.#context;
		const isCallerDeadline = (request.timeoutMilliseconds ?? Infinity) < service.limits.timeoutMilliseconds;
		return isCallerDeadline ? 'impatience' : 'timeout';
	}
}

async function waitForDelivery(delivered: Promise<void>): Promise<true> {
	await delivered;
	return true;
}

/**
Ends a trial that was granted after the request was aborted: nothing was sent, so another copy may be tried.
*/
async function releaseLateTrial(pending: Promise<ports.TrialAnswer>): Promise<void> {
	const answer = await pending;
	if (answer.kind === 'granted') {
		answer.end('not-sent');
	}
}

type AbortFailure = (request: requests.CallerRequest) => failures.RequestFailure;

const ABORT_FAILURES: Readonly<Record<AbortReason, Readonly<Record<'sent' | 'unsent', AbortFailure>>>> = {
	deadline: {
		sent: () => failures.createRequestFailure('deadline-after-send', 'The request was sent and not answered before its deadline.'),
		unsent: () => failures.createRequestFailure('deadline-before-send', 'The deadline passed before the request was sent.'),
	},
	cancelled: {
		sent: () => failures.createRequestFailure('cancelled-after-send', 'The caller left after the request was sent.'),
		unsent: () => failures.createRequestFailure('cancelled-before-send', 'The caller left before the request was sent.'),
	},
	stopping: {
		sent: () => failures.createRequestFailure('deadline-after-send', 'The request was sent and not answered before this host had to stop.'),
		unsent: failures.createStoppingFailure,
	},
};
