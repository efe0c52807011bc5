/**
The way of one request: admitted, its key claimed, attempted, answered.

The rules that keep the promises stand here: a non-idempotent request is never sent again once a byte may have reached a
backend server; the claim comes before the first byte and its settlement after the whole answer; the outcome told follows
from how far all attempts came, not only the last one.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import type * as catalogue from 'wagtailroute-catalogue';
import * as answers from './answers.ts';
import * as attempts from './attempts.ts';
import * as bodies from './bodies.ts';
import type * as connections from './connections.ts';
import {MAXIMUM_ATTEMPTS, OUTCOME_HEADER} from './constants.ts';
import * as endings from './endings.ts';
import * as failures from './failures.ts';
import * as headers from './headers.ts';
import type * as ports from './ports.ts';
import type * as requests from './requests.ts';

/**
What an exchange is made from.
*/
export type ExchangeContext = {
	readonly ports: ports.TrafficPorts;
	readonly connections: connections.Connections;
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly request: requests.CallerRequest;
	readonly match: catalogue.RouteMatch;
	readonly service: ports.ServicePort;
};

type Abandonment = 'deadline' | 'cancelled';

type GrantedClaim = Extract<ports.ClaimAnswer, {kind: 'granted'}>;

/**
What became of a request: a failure to tell, or nothing more to do.
*/
type Conclusion = failures.RequestFailure | undefined;

/**
Serves one request to its end. Never rejects.
*/
export async function serveExchange(context: ExchangeContext): Promise<void> {
	await new Exchange(context).serve();
}

class Exchange {
	readonly #context: ExchangeContext;
	readonly #startedAt: number;
	readonly #deadlineAt: number;
	readonly #tried = new Set<string>();
	readonly #isRepeatable: boolean;
	#attempt: attempts.Attempt | undefined;
	#lastResult: attempts.AttemptResult | undefined;
	#abandonment: Abandonment | undefined;
	#claim: GrantedClaim | undefined;
	#wasSent = false;
	#fingerprint = '';
	#outcome: core.Outcome = 'not-run';

	constructor(context: ExchangeContext) {
		this.#context = context;
		this.#startedAt = context.ports.now();
		const limit = context.service.entry.limits.timeoutMilliseconds;
		this.#deadlineAt = this.#startedAt + Math.min(limit, context.request.timeoutMilliseconds ?? limit);
		this.#isRepeatable = core.isIdempotent(context.match.route.class);
	}

	async serve(): Promise<void> {
		const {response} = this.#context;
		const timer = setTimeout(() => {
			this.#abandon('deadline');
		}, this.#getRemaining());
		response.once('close', () => {
			if (!response.writableFinished) {
				this.#abandon('cancelled');
			}
		});
		const conclusion = await this.#conclude();
		clearTimeout(timer);
		this.#finish(conclusion);
	}

	async #conclude(): Promise<Conclusion> {
		try {
			return this.#makeTruthful(await this.#runAdmitted());
		} catch (error) {
			return failures.createRequestFailure('internal-error', error instanceof Error ? error.message : 'failed');
		}
	}

	/**
	A request whose first attempt was lost and whose second could not be sent looks like not-run by the second alone; it
	would be resent by its caller and could run twice. So whatever follows a sent attempt is at best unknown.
	*/
	#makeTruthful(conclusion: Conclusion): Conclusion {
		const isToldNotRun = conclusion !== undefined && failures.TELLINGS[conclusion.kind].outcome === 'not-run';
		return isToldNotRun && this.#wasSent
			? failures.createRequestFailure('upstream-lost', `An earlier attempt was sent. ${conclusion.message}`)
			: conclusion;
	}

	async #runAdmitted(): Promise<Conclusion> {
		const {service, request, match, ports: {now}} = this.#context;
		const admission = service.admit({
			organisation: request.organisation,
			remainingMilliseconds: this.#getRemaining(),
			requestClass: match.route.class,
		});
		const refusal = admission instanceof Promise ? await admission : admission;
		if (refusal !== undefined) {
			return refusal;
		}

		const admittedAt = now();
		try {
			return await this.#runGuarded();
		} finally {
			service.release(request.organisation, now() - admittedAt);
		}
	}

	async #runGuarded(): Promise<Conclusion> {
		const {message, request, service, match} = this.#context;
		const body = await bodies.readBody(message, request, service.entry.limits.bodyBytes);
		if (body.isErr()) {
			return body.error;
		}

		this.#fingerprint = createFingerprint(request, body.value);
		if (!service.isCarried) {
			return this.#attemptUntilAnswered(body.value);
		}

		const pending = this.#context.ports.guard(match.service, this.#fingerprint);
		const guard = pending instanceof Promise ? await pending : pending;
		if (guard.kind === 'refused') {
			return guard.failure;
		}

		const conclusion = await this.#runClaimed(body.value);
		if (guard.kind === 'held') {
			guard.finish(this.#lastResult?.kind === 'lost' && this.#abandonment === undefined);
		}

		return conclusion;
	}

	async #runClaimed(body: bodies.Body): Promise<Conclusion> {
		const {request, match} = this.#context;
		if (this.#isRepeatable) {
			return this.#attemptUntilAnswered(body);
		}

		if (request.idempotencyKey === undefined) {
			return match.route.requireIdempotencyKey === true
				? failures.createRequestFailure('idempotency-key-missing', 'The route requires the header Idempotency-Key.')
				: this.#attemptUntilAnswered(body);
		}

		const answer = await this.#claimKey(request.idempotencyKey, body);
		if (answer.kind === 'refused') {
			return answer.failure;
		}

		if (answer.kind === 'stored') {
			this.#answerStored(answer.answer);
			return undefined;
		}

		this.#claim = answer;
		const conclusion = await this.#attemptUntilAnswered(body);
		answer.settle(endings.getSettlement(this.#lastResult, this.#wasSent));
		return conclusion;
	}

	async #claimKey(key: string, body: bodies.Body): Promise<ports.ClaimAnswer> {
		const {request, match} = this.#context;
		return this.#context.ports.claim({
			service: match.service,
			organisation: request.organisation,
			key,
			method: request.method,
			target: request.target,
			body: body.prefix,
			contentLength: request.contentLength,
			timeoutMilliseconds: this.#getRemaining(),
		});
	}

	#answerStored(answer: ports.StoredAnswer): void {
		this.#outcome = 'ran';
		this.#context.response.writeHead(answer.status, {...answer.headers, [OUTCOME_HEADER]: 'ran'});
		this.#context.response.end(buffer.Buffer.from(answer.body, 'base64'));
	}

	async #attemptUntilAnswered(body: bodies.Body): Promise<Conclusion> {
		let conclusion: Conclusion;
		for (let count = 1; count <= MAXIMUM_ATTEMPTS; count++) {
			const target = this.#abandonment === undefined ? this.#choose() : undefined;
			if (target === undefined) {
				return this.#describeAbandonment() ?? conclusion ?? this.#createNoUpstream();
			}

			// eslint-disable-next-line no-await-in-loop -- One attempt follows the other.
			const result = await this.#attemptOnce(target, body, count);
			if (result.kind === 'relayed') {
				return undefined;
			}

			conclusion = this.#describeAbandonment() ?? endings.describeResult(result, target.id);
			if (!this.#mayAttemptAgain(result, body)) {
				return conclusion;
			}
		}

		return conclusion;
	}

	#choose(): ports.Target | undefined {
		return this.#context.service.choose(this.#tried, this.#context.match.route.class);
	}

	#createNoUpstream(): failures.RequestFailure {
		return failures.createRequestFailure('no-upstream', `No backend server of ${this.#context.match.service} can take the request.`);
	}

	async #attemptOnce(target: ports.Target, body: bodies.Body, count: number): Promise<attempts.AttemptResult> {
		if (this.#claim?.isSendable() === false) {
			// This host was stopped between the claim and here, and the key may be another's by now.
			this.#lastResult = {kind: 'not-sent', code: 'CLAIM_EXPIRED'};
			return this.#lastResult;
		}

		const {service, ports: {now}} = this.#context;
		this.#tried.add(target.id);
		service.begin(target);
		const startedAt = now();
		let answeredAt: number | undefined;
		this.#attempt = attempts.startAttempt(this.#createPlan(target, body, count, () => {
			answeredAt = now();
		}));
		const result = await this.#attempt.result;
		this.#attempt = undefined;
		this.#lastResult = result;
		this.#wasSent ||= endings.isPossiblyRun(result);
		service.end({
			target,
			ending: this.#getEnding(result),
			latencyMilliseconds: (answeredAt ?? now()) - startedAt,
			fingerprint: this.#fingerprint,
		});
		return result;
	}

	#createPlan(target: ports.Target, body: bodies.Body, count: number, onAnswered: () => void): attempts.AttemptPlan {
		const {service, request, message, response, ports: {hostId}} = this.#context;
		return {
			pool: this.#context.connections.getPool(target.address, service.entry.limits.connectionsPerUpstream),
			method: request.method,
			target: request.target,
			headers: headers.createRequestHeaders(message, {
				remainingMilliseconds: this.#getRemaining(),
				contentLength: body.rest === undefined ? undefined : request.contentLength,
				forwardedBy: target.kind === 'host' ? hostId : undefined,
			}),
			body: bodies.getSendable(body),
			response,
			decide: (status, received) => this.#decide(status, received, body, count),
			createHeaders: received => this.#createHeaders(received, target),
			isKept: this.#claim !== undefined,
			onAnswered,
		};
	}

	#decide(status: number, received: headers.HeaderFields, body: bodies.Body, count: number): attempts.Verdict {
		if (endings.isShedAnswer(status, received)) {
			return 'shed';
		}

		const isCandidate = status >= 500 && this.#isRepeatable && bodies.isReplayable(body) && count < MAXIMUM_ATTEMPTS;
		return isCandidate && this.#choose() !== undefined && this.#context.service.spendRetry() ? 'repeat' : 'relay';
	}

	#createHeaders(received: headers.HeaderFields, target: ports.Target): Record<string, string | string[]> {
		const told = target.kind === 'host' ? endings.readOutcome(received) : 'ran';
		this.#outcome = told === 'not-run' && this.#wasSent ? 'unknown' : told;
		return headers.createAnswerHeaders(received, this.#outcome);
	}

	#getEnding(result: attempts.AttemptResult): ports.AttemptEnding {
		if (this.#abandonment === undefined || result.kind === 'relayed') {
			return endings.getEnding(result);
		}

		if (this.#abandonment === 'cancelled') {
			return 'cancelled';
		}

		const {request, service} = this.#context;
		const isImpatient = (request.timeoutMilliseconds ?? Infinity) < service.entry.limits.timeoutMilliseconds;
		return isImpatient ? 'impatience' : 'timeout';
	}

	#describeAbandonment(): failures.RequestFailure | undefined {
		if (this.#abandonment === undefined) {
			return undefined;
		}

		return this.#wasSent
			? failures.createRequestFailure('deadline-after-send', 'The request was sent and not answered before its deadline.')
			: failures.createRequestFailure('deadline-before-send', 'The deadline passed before the request was sent.');
	}

	#mayAttemptAgain(result: attempts.AttemptResult, body: bodies.Body): boolean {
		if (this.#abandonment !== undefined || !bodies.isReplayable(body)) {
			return false;
		}

		// The token of a repeated answer was spent when it was discarded.
		const isPaid = result.kind === 'discarded' && !result.isShed;
		const isSafe = !endings.isPossiblyRun(result) || this.#isRepeatable;
		const isExpired = result.kind === 'not-sent' && result.code === 'CLAIM_EXPIRED';
		return isPaid || (isSafe && !isExpired && this.#context.service.spendRetry());
	}

	#abandon(reason: Abandonment): void {
		// A claimed execution goes on without its caller: cancelled, its key would stay unknown for ever, while its caller
		// asks again for the stored answer.
		if (reason === 'cancelled' && this.#claim !== undefined) {
			return;
		}

		this.#abandonment ??= reason;
		this.#attempt?.abort(reason);
	}

	#getRemaining(): number {
		return Math.max(0, this.#deadlineAt - this.#context.ports.now());
	}

	#finish(conclusion: Conclusion): void {
		const {response, match, ports: {note, now}} = this.#context;
		if (conclusion !== undefined) {
			this.#outcome = failures.TELLINGS[conclusion.kind].outcome;
			answers.answerFailure(response, conclusion);
		}

		note({
			service: match.service,
			outcome: this.#outcome,
			status: conclusion === undefined ? response.statusCode : failures.TELLINGS[conclusion.kind].status,
			milliseconds: now() - this.#startedAt,
			failure: conclusion,
			isCancelled: this.#abandonment === 'cancelled',
		});
	}
}

/**
Names what a request asks for, so that requests that crash backend servers can be told apart from others.
*/
function createFingerprint(request: requests.CallerRequest, body: bodies.Body): string {
	const hash = crypto.createHash('sha1').update(`${request.method} ${request.target}\n`);
	return hash.update(body.prefix).digest('base64url');
}
