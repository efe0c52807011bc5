/**
One exchange: admits the request, reads its body, checks it against the quarantine, claims its idempotency key, sends it and
answers it.

The key is claimed before the first byte is sent and settled after the whole answer. Whatever the request waits for, it is
answered as soon as its deadline passes or its host has to end, and its admission is released as soon as its caller disconnects.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as retries from 'wagtailroute-retries';
import * as utils from 'wagtailroute-utils';
import * as answers from './answers.ts';
import * as bodies from './bodies.ts';
import type * as connections from './connections.ts';
import {OUTCOME_HEADER} from './constants.ts';
import * as endings from './endings.ts';
import * as failures from './failures.ts';
import type {HeldBytes} from './held-bytes.ts';
import type * as ports from './ports.ts';
import {endResponse, isFullyRead, receiveNextRequest} from './remainder.ts';
import type {RequestAbortController} from './request-abort.ts';
import type {RequestProgress} from './request-progress.ts';
import {type GrantedClaim, RequestSender} from './request-sender.ts';
import type * as requests from './requests.ts';
import type {StopLimit} from './stop-limit.ts';

/**
The request of an exchange, its route, and the ports and connections that are used.
*/
export type ExchangeContext = {
	readonly ports: ports.TrafficPorts;
	readonly connections: connections.ConnectionPools;
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly request: requests.CallerRequest;
	/**
	The deadline counts from the arrival of the request.
	*/
	readonly progress: RequestProgress;
	readonly abortController: RequestAbortController;
	readonly stopLimit: StopLimit;
	/**
	See `SenderContext`.
	*/
	readonly closeIfDraining: () => void;
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
The failure to report to the caller; undefined when the request is answered.
*/
type OptionalFailure = failures.RequestFailure | undefined;

/**
Serves one request until it is answered or aborted.
*/
export async function serveExchange(context: ExchangeContext): Promise<void> {
	await new Exchange(context).serve();
}

class Exchange {
	readonly #context: ExchangeContext;
	readonly #startedAt: number;
	readonly #deadlineAt: number;
	readonly #abortController: RequestAbortController;
	readonly #sender: RequestSender;
	#claim: GrantedClaim | undefined;
	#storedOutcome: core.Outcome | undefined;

	constructor(context: ExchangeContext) {
		this.#context = context;
		this.#abortController = context.abortController;
		this.#startedAt = context.progress.arrivedAt;
		const limit = context.service.limits.timeoutMilliseconds;
		this.#deadlineAt = this.#startedAt + Math.min(limit, context.request.timeoutMilliseconds ?? limit);
		this.#sender = new RequestSender(context, this.#abortController, {
			getRemainingMilliseconds: () => this.#getRemainingMilliseconds(),
			getElapsedMilliseconds: () => context.ports.now() - this.#startedAt,
		});
	}

	async serve(): Promise<void> {
		const {response} = this.#context;
		const untilDeadline = Math.max(0, this.#deadlineAt - this.#context.ports.now());
		if (untilDeadline === 0) {
			// The deadline passed while the request waited for routes. The timer alone would fire only after the request was sent.
			this.#abortController.abort('deadline');
		}

		const timer = setTimeout(() => {
			this.#abortController.abort('deadline');
		}, untilDeadline);
		response.once('close', () => {
			// A claimed execution continues without its caller: if it were cancelled, the outcome of its key would stay unknown
			// for ever, although the caller resends the request to get the stored answer.
			if (!response.writableFinished && this.#claim === undefined) {
				this.#abortController.abort('cancelled');
			}
		});
		const failure = await this.#run();
		clearTimeout(timer);
		this.#finish(failure);
	}

	async #run(): Promise<OptionalFailure> {
		try {
			return this.#context.stopLimit.mayStart(this.#deadlineAt)
				? this.#correctOutcome(await this.#runWithAdmission())
				: failures.createStoppingFailure(this.#context.request);
		} catch (error) {
			this.#context.ports.onDefect(error as Error);
			return failures.createRequestFailure('internal-error', error instanceof Error ? error.message : 'failed');
		}
	}

	/**
	Replaces a `not-run` failure by an `unknown` one when an earlier attempt was sent. Otherwise a request whose first attempt was lost
	and whose second could not be sent would be reported as not run, be resent by its caller and possibly run twice.
	*/
	#correctOutcome(failure: OptionalFailure): OptionalFailure {
		const isReportedNotRun = failure !== undefined && retries.getFailureDefinition(failure.kind).outcome === 'not-run';
		return isReportedNotRun && this.#sender.outcome !== 'not-run'
			? failures.createRequestFailure('upstream-lost', `An earlier attempt was sent. ${failure.message}`)
			: failure;
	}

	async #runWithAdmission(): Promise<OptionalFailure> {
		const {service, request, match, ports: {now}} = this.#context;
		const admitted = service.admit({
			organisation: request.organisation,
			remainingMilliseconds: this.#getRemainingMilliseconds(),
			requestClass: match.route.class,
		});
		const refusal = admitted !== undefined && 'result' in admitted ? await this.#waitForAdmission(admitted) : admitted;
		if (refusal !== undefined) {
			return refusal;
		}

		const admittedAt = now();
		try {
			return await this.#runWithBody();
		} finally {
			service.release({
				organisation: request.organisation,
				latencyMilliseconds: now() - admittedAt,
				ending: endings.getReleaseEnding(this.#sender.lastEnding),
			});
		}
	}

	async #waitForAdmission(pending: ports.PendingAdmission): Promise<OptionalFailure> {
		this.#context.progress.waitsFor = 'admission';
		this.#abortController.setListener(() => {
			pending.cancel();
		});
		const refusal = await pending.result;
		return refusal === undefined ? undefined : this.#sender.describeAbort() ?? refusal;
	}

	async #runWithBody(): Promise<OptionalFailure> {
		const {
			message, request, service, ports, heldBytes, progress,
		} = this.#context;
		if (!request.hasBody) {
			return this.#runUnlessQuarantined(bodies.NO_BODY.value);
		}

		if (heldBytes.isExhausted()) {
			return failures.createRequestFailure('queue-timeout', 'This host holds as many bytes of requests and responses as it can.');
		}

		progress.waitsFor = 'body';
		let bodyBytes = 0;
		let isReleased = false;
		const pacer: bodies.BodyPacer = {
			reserve(bytes) {
				// After an abort the body is read up to its next chunk.
				const countedBytes = isReleased ? 0 : bytes;
				bodyBytes += countedBytes;
				heldBytes.add(countedBytes);
				return ports.pacers?.receiving.reserve(bytes) ?? 0;
			},
		};
		try {
			const body = await this.#abortController.race(bodies.readBody(message, request, service.limits.bodyBytes, pacer));
			if (body === undefined) {
				return this.#sender.describeAbort();
			}

			return body.isErr() ? body.error : await this.#runUnlessQuarantined(body.value);
		} finally {
			isReleased = true;
			heldBytes.add(-bodyBytes);
		}
	}

	async #runUnlessQuarantined(body: bodies.Body): Promise<OptionalFailure> {
		const {request, service, match, ports: {guard}} = this.#context;
		this.#sender.fingerprint = createFingerprint(request, body);
		if (!service.isCarried) {
			return this.#sender.run(body);
		}

		return guard.getQuarantineStatus(match.service, this.#sender.fingerprint) === 'quarantined'
			? failures.createRequestFailure('quarantined', 'This request crashed several backend servers and is not sent to another one.')
			: this.#runWithClaim(body);
	}

	async #runWithClaim(body: bodies.Body): Promise<OptionalFailure> {
		const {request, match, ports} = this.#context;
		if (core.isIdempotent(match.route.class)) {
			return this.#sender.run(body);
		}

		if (request.idempotencyKey === undefined) {
			return match.route.requireIdempotencyKey === true
				? failures.createRequestFailure('idempotency-key-missing', 'The route requires the header Idempotency-Key.')
				: this.#sender.run(body);
		}

		this.#context.progress.waitsFor = 'claim';
		const pending = this.#claimKey(request.idempotencyKey, body);
		const answer = await this.#abortController.race(pending);
		if (answer === undefined) {
			utils.runDetached(async () => releaseLateClaim(pending), ports.onDefect);
			return this.#sender.describeAbort();
		}

		if (answer.kind === 'refused') {
			return answer.failure;
		}

		if (answer.kind === 'granted') {
			return this.#runWithGrantedClaim(answer, body);
		}

		this.#sendStoredAnswer(answer.answer);
		return undefined;
	}

	async #runWithGrantedClaim(claim: GrantedClaim, body: bodies.Body): Promise<OptionalFailure> {
		this.#claim = claim;
		try {
			const failure = await this.#sender.run(body, claim);
			claim.settle(endings.getSettlement(this.#sender.lastResult, this.#sender.outcome !== 'not-run'));
			return failure;
		} catch (error) {
			// After an internal error it is unknown how far the request came: settled as not-run it could run twice.
			claim.settle({outcome: 'unknown'});
			throw error;
		}
	}

	async #claimKey(key: string, body: bodies.Body): Promise<ports.ClaimAnswer> {
		const {request, match} = this.#context;
		return this.#context.ports.claim({
			service: match.service,
			organisation: request.organisation,
			key,
			method: request.method,
			requestTarget: request.requestTarget,
			body: body.prefix,
			contentLength: request.contentLength,
			timeoutMilliseconds: this.#getRemainingMilliseconds(),
		});
	}

	#sendStoredAnswer(answer: ports.StoredAnswer): void {
		this.#storedOutcome = 'ran';
		const {response, closeIfDraining, ports: {onDefect}} = this.#context;
		closeIfDraining();
		response.writeHead(answer.status, {...answer.headers, [OUTCOME_HEADER]: 'ran'});
		response.write(buffer.Buffer.from(answer.body, 'base64'));
		endResponse(response);
		utils.runDetached(async () => receiveNextRequest(response), onDefect);
	}

	/**
	Returns the milliseconds until the deadline, or until the host ends its requests.
	*/
	#getRemainingMilliseconds(): number {
		const {stopLimit, ports: {now}} = this.#context;
		return Math.max(0, Math.min(this.#deadlineAt, stopLimit.getEnd()) - now());
	}

	#finish(failure: OptionalFailure): void {
		const {response, ports: {dialect, random}} = this.#context;
		try {
			if (failure !== undefined) {
				this.#context.closeIfDraining();
				answers.answerFailure(response, () => dialect.createProblem(failure, random));
			}
		} finally {
			this.#record(failure);
		}
	}

	#record(failure: OptionalFailure): void {
		const {
			message, response, match, request, organisation, ports: {recordRequest, now},
		} = this.#context;
		const failureDefinition = failure === undefined ? undefined : retries.getFailureDefinition(failure.kind);
		recordRequest({
			requestId: request.id,
			service: match.service,
			requestClass: match.route.class,
			organisation,
			attempts: this.#sender.getAttemptCount(),
			upstream: this.#sender.lastUpstream,
			advertised: this.#sender.advertised,
			choosingMilliseconds: this.#sender.choosingMilliseconds,
			outcome: failureDefinition?.outcome ?? this.#storedOutcome ?? this.#sender.reportedOutcome,
			status: response.headersSent ? response.statusCode : failureDefinition?.status ?? response.statusCode,
			milliseconds: now() - this.#startedAt,
			failure,
			isCancelled: this.#abortController.getReason() === 'cancelled',
			isForwarded: request.isForwarded,
			isBodyUnread: !isFullyRead(message),
		});
	}
}

/**
Settles a claim that was granted after the request was aborted: nothing was sent, so the key becomes free again.
*/
async function releaseLateClaim(pending: Promise<ports.ClaimAnswer>): Promise<void> {
	const answer = await pending;
	if (answer.kind === 'granted') {
		answer.settle({outcome: 'not-run'});
	}
}

/**
Returns a digest of what a request asks for, by which requests that crash backend servers are recognised.
*/
function createFingerprint(request: requests.CallerRequest, body: bodies.Body): string {
	const hash = crypto.createHash('sha1').update(`${request.method} ${request.requestTarget}\n`);
	return hash.update(body.prefix.length > 0 ? body.prefix : request.idempotencyKey ?? '').digest('base64url');
}
