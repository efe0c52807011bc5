/**
The way of one request: admitted, read, guarded, its key claimed, sent, answered.

The claim comes before the first byte and its settlement after the whole answer. Whatever the request waits for, it is
answered as soon as its deadline is over, and leaves its place as soon as its caller has gone.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from 'wagtailroute-core';
import * as retries from 'wagtailroute-retries';
import * as answers from './answers.ts';
import * as bodies from './bodies.ts';
import type * as connections from './connections.ts';
import {OUTCOME_HEADER} from './constants.ts';
import * as endings from './endings.ts';
import * as failures from './failures.ts';
import {createGivingUp} from './giving-up.ts';
import type * as ports from './ports.ts';
import type * as requests from './requests.ts';
import {type GrantedClaim, Sending} from './sending.ts';

/**
What an exchange is made from.
*/
export type ExchangeContext = {
	readonly ports: ports.TrafficPorts;
	readonly connections: connections.Connections;
	readonly message: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly request: requests.CallerRequest;
	/**
	Monotonic milliseconds when its header section was there: its caller's time runs from then on.
	*/
	readonly arrivedAt: number;
	readonly match: ports.Match;
	readonly service: ports.ServicePort;
	/**
	See `RoutedRequest`.
	*/
	readonly organisation?: core.Organisation;
};

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
	readonly #givingUp = createGivingUp();
	readonly #sending: Sending;
	#claim: GrantedClaim | undefined;
	#storedOutcome: core.Outcome | undefined;

	constructor(context: ExchangeContext) {
		this.#context = context;
		this.#startedAt = context.arrivedAt;
		const limit = context.service.limits.timeoutMilliseconds;
		this.#deadlineAt = this.#startedAt + Math.min(limit, context.request.timeoutMilliseconds ?? limit);
		this.#sending = new Sending(context, this.#givingUp, {
			getRemaining: () => this.#getRemaining(),
			getWaited: () => context.ports.now() - this.#startedAt,
		});
	}

	async serve(): Promise<void> {
		const {response} = this.#context;
		if (this.#getRemaining() === 0) {
			// Its time was used up before its way began: a timer would only say so after it was sent.
			this.#givingUp.giveUp('deadline');
		}

		const timer = setTimeout(() => {
			this.#givingUp.giveUp('deadline');
		}, this.#getRemaining());
		response.once('close', () => {
			// A claimed execution goes on without its caller: cancelled, its key would stay unknown for ever, while its
			// caller asks again for the stored answer.
			if (!response.writableFinished && this.#claim === undefined) {
				this.#givingUp.giveUp('cancelled');
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
		const isToldNotRun = conclusion !== undefined && retries.getRequestFailure(conclusion.kind).outcome === 'not-run';
		return isToldNotRun && this.#sending.outcome !== 'not-run'
			? failures.createRequestFailure('upstream-lost', `An earlier attempt was sent. ${conclusion.message}`)
			: conclusion;
	}

	async #runAdmitted(): Promise<Conclusion> {
		const {service, request, match, ports: {now}} = this.#context;
		const admitted = service.admit({
			organisation: request.organisation,
			remainingMilliseconds: this.#getRemaining(),
			requestClass: match.route.class,
		});
		const refusal = admitted !== undefined && 'result' in admitted ? await this.#waitForPlace(admitted) : admitted;
		if (refusal !== undefined) {
			return refusal;
		}

		const admittedAt = now();
		try {
			return await this.#runRead();
		} finally {
			service.release({
				organisation: request.organisation,
				latencyMilliseconds: now() - admittedAt,
				ending: endings.getReleaseEnding(this.#sending.lastEnding),
			});
		}
	}

	async #waitForPlace(place: ports.WaitingPlace): Promise<Conclusion> {
		this.#givingUp.setListener(() => {
			place.cancel();
		});
		const refusal = await place.result;
		return refusal === undefined ? undefined : this.#sending.describeGivenUp() ?? refusal;
	}

	async #runRead(): Promise<Conclusion> {
		const {message, request, service, ports} = this.#context;
		const body = request.hasBody
			? await this.#givingUp.race(bodies.readBody(message, request, service.limits.bodyBytes, ports.paces?.receiving))
			: bodies.NO_BODY;
		if (body === undefined) {
			return this.#sending.describeGivenUp();
		}

		return body.isErr() ? body.error : this.#runGuarded(body.value);
	}

	async #runGuarded(body: bodies.Body): Promise<Conclusion> {
		const {request, service, match, ports: {guard}} = this.#context;
		this.#sending.fingerprint = createFingerprint(request, body);
		if (!service.isCarried) {
			return this.#sending.run(body);
		}

		return guard.getStanding(match.service, this.#sending.fingerprint) === 'quarantined'
			? failures.createRequestFailure('quarantined', 'This request crashed two backend servers and is not sent to another one.')
			: this.#runClaimed(body);
	}

	async #runClaimed(body: bodies.Body): Promise<Conclusion> {
		const {request, match} = this.#context;
		if (core.isIdempotent(match.route.class)) {
			return this.#sending.run(body);
		}

		if (request.idempotencyKey === undefined) {
			return match.route.requireIdempotencyKey === true
				? failures.createRequestFailure('idempotency-key-missing', 'The route requires the header Idempotency-Key.')
				: this.#sending.run(body);
		}

		const pending = this.#claimKey(request.idempotencyKey, body);
		const answer = await this.#givingUp.race(pending);
		if (answer === undefined) {
			void releaseLateClaim(pending);
			return this.#sending.describeGivenUp();
		}

		if (answer.kind === 'refused') {
			return answer.failure;
		}

		if (answer.kind === 'granted') {
			return this.#runGranted(answer, body);
		}

		this.#answerStored(answer.answer);
		return undefined;
	}

	async #runGranted(claim: GrantedClaim, body: bodies.Body): Promise<Conclusion> {
		this.#claim = claim;
		try {
			const conclusion = await this.#sending.run(body, claim);
			claim.settle(endings.getSettlement(this.#sending.lastResult, this.#sending.outcome !== 'not-run'));
			return conclusion;
		} catch (error) {
			// After a defect nobody knows how far the request came: settled as not-run it could run twice.
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
			target: request.target,
			body: body.prefix,
			contentLength: request.contentLength,
			timeoutMilliseconds: this.#getRemaining(),
		});
	}

	#answerStored(answer: ports.StoredAnswer): void {
		this.#storedOutcome = 'ran';
		this.#context.response.writeHead(answer.status, {...answer.headers, [OUTCOME_HEADER]: 'ran'});
		this.#context.response.end(buffer.Buffer.from(answer.body, 'base64'));
	}

	#getRemaining(): number {
		return Math.max(0, this.#deadlineAt - this.#context.ports.now());
	}

	#finish(conclusion: Conclusion): void {
		const {response, match, request, organisation, ports: {dialect, note, now, random}} = this.#context;
		const told = conclusion === undefined ? undefined : retries.getRequestFailure(conclusion.kind);
		if (conclusion !== undefined) {
			answers.answerFailure(response, () => dialect.createProblem(conclusion, random));
		}

		note({
			requestId: request.id,
			service: match.service,
			requestClass: match.route.class,
			organisation,
			attempts: this.#sending.getCount(),
			upstream: this.#sending.lastUpstream,
			advertised: this.#sending.advertised,
			choosingMilliseconds: this.#sending.choosingMilliseconds,
			outcome: told?.outcome ?? this.#storedOutcome ?? this.#sending.toldOutcome,
			status: response.headersSent ? response.statusCode : told?.status ?? response.statusCode,
			milliseconds: now() - this.#startedAt,
			failure: conclusion,
			isCancelled: this.#givingUp.getReason() === 'cancelled',
			isForwarded: request.isForwarded,
		});
	}
}

/**
The claim of a request that was given up meanwhile: nothing was sent with it, so the key is free again.
*/
async function releaseLateClaim(pending: Promise<ports.ClaimAnswer>): Promise<void> {
	const answer = await pending;
	if (answer.kind === 'granted') {
		answer.settle({outcome: 'not-run'});
	}
}

/**
Names what a request asks for, so that requests that crash backend servers can be told apart from others.
*/
function createFingerprint(request: requests.CallerRequest, body: bodies.Body): string {
	const hash = crypto.createHash('sha1').update(`${request.method} ${request.target}\n`);
	return hash.update(body.prefix.length > 0 ? body.prefix : request.idempotencyKey ?? '').digest('base64url');
}
