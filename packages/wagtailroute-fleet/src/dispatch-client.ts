/**
Requests a slot at an upstream for each attempt of a request. The request goes to the service's dispatcher on a control host, to the next one
when that does not answer, to a standby on an entry host while no control host answers, and to this host's own dispatcher last.

The own dispatcher counts only the slots that this host holds, and starts from the doubts that other dispatchers reported. Its grants may exceed
an upstream's slots, so that the upstream sheds requests; they never cause a wrong answer.
*/
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {
	MAX_FAILED_DISPATCHERS,
	PROBE_TIMEOUT_MILLISECONDS,
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	SLOT_REQUEST_TIMEOUT_MILLISECONDS,
	SLOW_DISPATCHER_TIMEOUT_MILLISECONDS,
	UNKNOWN_SERVICE_RETRY_MILLISECONDS,
} from './constants.ts';
import {type Advertisements, type Closure, createAdvertisements} from './advertisements.ts';
import {
	createOrganisationNumbering,
	createRouteNumbering,
	createSlotRequestId,
	decodeAnswer,
	type EncodedAdvertisements,
	type EncodedAnswer,
	type EncodedCancellation,
	type EncodedSlotRequest,
	encodeEnd,
	encodeSlotRequest,
	getRouteParameters,
	getSlotRequestNumber,
	type NumberedOrganisation,
	type NumberedRoute,
	type RouteReference,
} from './slot-request-encoding.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import type {LinkedHost} from './control-links.ts';
import {createDispatcherFinder, type DispatcherFinder} from './dispatcher-finder.ts';
import type {HostDispatcher} from './host-dispatcher.ts';
import type {OverloadControl} from './overload-control.ts';
import type {PoolChoice} from './pools/pool-choice.ts';
import {METHODS, type SlotAnswer, type SlotDecision} from './messages.ts';
import {createHeldSlots, type HeldSlot, type HeldSlots} from './held-slots.ts';
import type {EntrySettings} from './settings.ts';
import {createRecentUsage, type RecentUsage} from './recent-usage.ts';
import type {Standbys} from './standbys.ts';
import type {Pool} from './pools/pool-key.ts';
import {createTimeLender, type TimeLender} from './time-lender.ts';

/**
The final answer to a slot request: a granted slot, or a refusal.
*/
export type FinalAnswer =
	| (Extract<SlotAnswer, {kind: 'grant'}> & {
		/**
		Identifies the granted slot when its end or an advertisement is reported.
		*/
		readonly id: dispatch.SlotRequestId;
	})
	| Extract<SlotAnswer, {kind: 'refuse'}>;

/**
A slot request in progress.
*/
export type SlotRequestHandle = {
	readonly answer: Promise<FinalAnswer>;
	/**
	Cancels the slot request. A slot that is granted nevertheless is given back.
	*/
	readonly cancel: () => void;
};

/**
A slot request without the ID and the host, which the client fills in.
*/
export type SlotRequestDraft = Omit<dispatch.SlotRequest, 'id' | 'host' | 'failureDomain' | 'pool'>;

/**
Requests slots from dispatchers, and reports to them what becomes of granted ones.
*/
export type DispatchClient = {
	/**
	@param usualMilliseconds Usual time from the send of such a request to its answer. Absent: unknown.
	*/
	readonly requestSlot: (draft: SlotRequestDraft, usualMilliseconds?: number) => SlotRequestHandle;
	/**
	Gives a slot back with the ending of its attempt, the milliseconds that the attempt took and the size of its response, if that is known. Ignored
	for a slot that is not held.
	*/
	readonly reportEnd: (id: dispatch.SlotRequestId, ending: dispatch.Ending, milliseconds: number, responseBytes?: number) => void;
	/**
	Records what the answer to an attempt advertised about its upstream, and passes it on to the dispatcher that granted the slot.
	*/
	readonly recordAdvertisements: (id: dispatch.SlotRequestId, advertisements: readonly core.Advertisement[]) => void;
	/**
	Returns whether an advertised backoff or drain forbids this host to send to an upstream now.
	*/
	readonly isClosed: (upstream: core.UpstreamId) => boolean;
	/**
	Handles the final answer to a slot request that had to wait.
	*/
	readonly handleAnswer: (requestNumber: number, answer: EncodedAnswer) => void;
	/**
	Returns whether the dispatcher at the other end of a link still counts this host among its requesting hosts.
	*/
	readonly isRecentlyAsked: (dispatcherLink: link.Link) => boolean;
	/**
	Sends the slot requests that are pending at a dispatcher whose link was lost to other dispatchers.
	*/
	readonly handleDispatcherLost: (dispatcher: LinkedHost) => void;
};

/**
Settings and collaborators of a dispatch client.
*/
export type DispatchClientOptions = {
	readonly settings: Pick<EntrySettings, 'hostId' | 'failureDomain' | 'allotments'>;
	/**
	Returns how many entry hosts serve callers, 0 when it is not known.
	*/
	readonly countEntryHosts: () => number;
	readonly getControlHosts: () => readonly LinkedHost[];
	/**
	Chooses the pool of a service from which slots are requested. Absent: services are not divided.
	*/
	readonly pools?: Pick<PoolChoice, 'find'>;
	/**
	Absent: off.
	*/
	readonly overloadControl?: OverloadControl;
	readonly standbys: Pick<Standbys, 'getOpen' | 'open' | 'waitForOne' | 'isOwnHostStandby'>;
	/**
	This host's own dispatcher. Its later decisions are passed to {@link DispatchClient.handleAnswer}.
	*/
	readonly ownDispatcher: Pick<HostDispatcher, 'requestSlot' | 'cancel' | 'end' | 'recordAdvertisements' | 'applyUpdates' | 'applyPastUsage'>;
	readonly isRetired: (upstream: core.UpstreamId) => boolean;
	/**
	Returns the milliseconds for which messages may wait behind large bodies on this host's own network link.
	*/
	readonly getLinkDelay: () => number;
};

type PendingSlotRequest = {
	request: dispatch.SlotRequest;
	requestedAt: number;
	readonly usualMilliseconds: number;
	/**
	The host's own pool, while the request is lent to another one.
	*/
	ownPool?: core.FailureDomain;
	/**
	Number of dispatchers that gave no decision: they did not answer, their link was lost, or they answered `elsewhere`.
	*/
	failedDispatchers: number;
	/**
	The dispatcher answered `wait`: it has queued the request until a slot is free.
	*/
	isWaiting?: boolean;
	readonly resolve: (answer: FinalAnswer) => void;
	/**
	The dispatcher that has the request; absent for this host's own.
	*/
	dispatcher?: LinkedHost;
	/**
	Time that was lent to the dispatcher with the request; absent once it has answered.
	*/
	lentMilliseconds?: number;
};

/**
Creates the client without any held slot or known dispatcher.
*/
export function createDispatchClient(context: FleetContext, options: DispatchClientOptions): DispatchClient {
	return new HostDispatchClient(context, options);
}

class HostDispatchClient implements DispatchClient {
	readonly #context: FleetContext;
	readonly #options: DispatchClientOptions;
	readonly #pending = new Map<dispatch.SlotRequestId, PendingSlotRequest>();
	readonly #heldSlots: HeldSlots;
	readonly #advertisements: Advertisements;
	readonly #recentUsage: RecentUsage;
	readonly #finder: DispatcherFinder;
	readonly #timeLender: TimeLender;
	readonly #routeNumbering = createRouteNumbering();
	readonly #organisationNumbering = createOrganisationNumbering();
	readonly #lastRequestAt = new WeakMap<link.Link, number>();
	#lastRequestNumber = 0;
	#isProbing = false;
	readonly #onDefect: (error: Error) => void;

	constructor(context: FleetContext, options: DispatchClientOptions) {
		this.#context = context;
		this.#options = options;
		this.#onDefect = createDefectHandler(context, 'slot-request');
		this.#advertisements = createAdvertisements(options.settings.hostId, context.now);
		this.#recentUsage = createRecentUsage(context.now, options.settings.allotments.windowMilliseconds);
		this.#timeLender = createTimeLender(context.now);
		this.#heldSlots = createHeldSlots(context.now, {
			advertisements: this.#advertisements, recentUsage: this.#recentUsage, countEntryHosts: options.countEntryHosts,
		});
		this.#finder = createDispatcherFinder(context, {
			hostId: options.settings.hostId,
			failureDomain: options.settings.failureDomain,
			getControlHosts: options.getControlHosts,
			getStandbys: options.standbys.getOpen,
			isOwnHostStandby: options.standbys.isOwnHostStandby,
		});
		context.metrics.registerGauge('requests_held', this.#heldSlots.count);
	}

	requestSlot(draft: SlotRequestDraft, usualMilliseconds = 0): SlotRequestHandle {
		const {hostId, failureDomain} = this.#options.settings;
		const pool = this.#options.pools?.find(draft.service);
		const request: dispatch.SlotRequest = {
			...draft, ...pool !== undefined && {pool}, id: this.#createId(), host: hostId, failureDomain,
		};
		const {promise, resolve} = Promise.withResolvers<FinalAnswer>();
		const pending: PendingSlotRequest = {
			request, requestedAt: this.#context.now(), usualMilliseconds, failedDispatchers: 0, resolve,
		};
		this.#pending.set(request.id, pending);
		this.#startSending(pending);
		return {
			answer: promise,
			cancel: () => {
				this.#cancel(pending);
			},
		};
	}

	reportEnd(id: dispatch.SlotRequestId, ending: dispatch.Ending, milliseconds: number, responseBytes?: number): void {
		const held = this.#heldSlots.remove(id);
		if (held === undefined) {
			return;
		}

		if (ending === 'success') {
			this.#advertisements.liftRateLimit(held.request.service, held.upstream, held.grantedAt);
		}

		this.#notifyEnd(held, {ending, milliseconds, ...responseBytes !== undefined && {responseBytes}});
	}

	recordAdvertisements(id: dispatch.SlotRequestId, advertisements: readonly core.Advertisement[]): void {
		const held = this.#heldSlots.find(id);
		if (held === undefined) {
			return;
		}

		const {request, upstream, dispatcher} = held;
		for (const advertisement of advertisements) {
			this.#advertisements.record(request.service, upstream, advertisement);
		}

		if (dispatcher === undefined) {
			this.#options.ownDispatcher.recordAdvertisements(id, advertisements);
		} else {
			dispatcher.link.notify(METHODS.advertised, [getSlotRequestNumber(id), advertisements] satisfies EncodedAdvertisements);
		}
	}

	isClosed(upstream: core.UpstreamId): boolean {
		return this.#advertisements.findClosure(upstream) !== undefined;
	}

	handleAnswer(requestNumber: number, answer: EncodedAnswer): void {
		const pending = this.#pending.get(createSlotRequestId(this.#options.settings.hostId, requestNumber));
		const decoded = decodeAnswer(answer);
		if (pending !== undefined && (decoded.kind === 'grant' || decoded.kind === 'refuse')) {
			this.#settle(pending, decoded);
		}
	}

	isRecentlyAsked(dispatcherLink: link.Link): boolean {
		return this.#context.now() - (this.#lastRequestAt.get(dispatcherLink) ?? -Infinity) < REQUESTING_HOST_EXPIRY_MILLISECONDS + SLOT_REQUEST_TIMEOUT_MILLISECONDS;
	}

	handleDispatcherLost(lostDispatcher: LinkedHost): void {
		this.#options.standbys.open();
		const affected = this.#pending.values().filter(({dispatcher}) => dispatcher?.link === lostDispatcher.link).toArray();
		for (const pending of affected) {
			this.#reclaimTime(pending);
		}

		this.#retryElsewhere(affected);
	}

	#createId(): dispatch.SlotRequestId {
		this.#lastRequestNumber++;
		return createSlotRequestId(this.#options.settings.hostId, this.#lastRequestNumber);
	}

	#encode(dispatcherLink: link.Link, request: dispatch.SlotRequest): EncodedSlotRequest {
		return encodeSlotRequest(request, this.#registerRoute(dispatcherLink, request));
	}

	/**
	Lends time, and the bursts once in a window, to the dispatcher that gets a request. A resend uses no allotment.
	*/
	#addLoan(request: dispatch.SlotRequest, dispatcher: object): dispatch.SlotRequest {
		return request.organisation === undefined || !dispatch.isFirstAttempt(request)
			? request
			: {...request, lentMilliseconds: this.#timeLender.lend(), isBurstLent: this.#recentUsage.lendBurst(dispatcher)};
	}

	#registerRoute(dispatcherLink: link.Link, request: dispatch.SlotRequest): RouteReference {
		const route = getRouteParameters(request);
		const {number, isNew} = this.#routeNumbering.assign(dispatcherLink, route);
		if (isNew) {
			dispatcherLink.notify(METHODS.route, [number, route] satisfies NumberedRoute);
		}

		if (request.organisation === undefined) {
			return number;
		}

		const organisation = this.#registerOrganisation(dispatcherLink, request.organisation);
		const lentMilliseconds = request.lentMilliseconds ?? 0;
		return request.isBurstLent === true ? [number, organisation, lentMilliseconds, 1] : [number, organisation, lentMilliseconds];
	}

	#registerOrganisation(dispatcherLink: link.Link, organisation: core.Organisation): number {
		const {number, isNew} = this.#organisationNumbering.assign(dispatcherLink, organisation);
		if (isNew) {
			dispatcherLink.notify(METHODS.organisation, [number, organisation] satisfies NumberedOrganisation);
		}

		return number;
	}

	async #send(pending: PendingSlotRequest): Promise<void> {
		const {request} = pending;
		const dispatcher = pending.failedDispatchers < MAX_FAILED_DISPATCHERS
			? this.#finder.find(request) ?? await this.#waitForStandby(request)
			: undefined;
		// Cancelled, or sent anew, while this waited for a link to a standby.
		if (pending.request !== request || !this.#pending.has(request.id)) {
			return;
		}

		if (dispatcher === undefined) {
			this.#requestFromOwnDispatcher(pending);
			return;
		}

		pending.dispatcher = dispatcher;
		this.#lastRequestAt.set(dispatcher.link, this.#context.now());
		this.#heldSlots.reportTo(request, dispatcher);
		const lending = this.#addLoan(request, dispatcher.link);
		pending.lentMilliseconds = lending.lentMilliseconds;
		const answer = await this.#callDispatcher(pending, dispatcher, this.#encode(dispatcher.link, lending));
		// The request has been sent to another dispatcher meanwhile.
		if (pending.request !== request || pending.dispatcher !== dispatcher) {
			return;
		}

		if (answer.isOk()) {
			this.#recentUsage.recordAnswer(dispatcher.link);
			// The dispatcher has received the loan.
			pending.lentMilliseconds = undefined;
			this.#handleFirstAnswer(pending, decodeAnswer(answer.value as EncodedAnswer));
		} else if (answer.error.kind === 'call-timeout' && this.#isHeard(dispatcher) && this.#context.now() - pending.requestedAt < SLOW_DISPATCHER_TIMEOUT_MILLISECONDS) {
			// Only this request can wait no longer. Another dispatcher would find that it can't be served either.
			this.#context.metrics.count('dispatchers_left', {reason: 'slow'});
			notifyCancelled(dispatcher.link, request, this.#reclaimTime(pending));
			this.#settle(pending, TOO_SLOW_REFUSAL);
		} else {
			this.#abandonDispatcher(dispatcher, answer.error.kind);
		}
	}

	/**
	Returns whether messages of a dispatcher arrive, although it may be slow. Without overload control a slow dispatcher counts as silent.
	*/
	#isHeard(dispatcher: LinkedHost): boolean {
		return this.#options.overloadControl?.isOn() === true
			&& dispatcher.link.getSilenceMilliseconds() < SLOT_REQUEST_TIMEOUT_MILLISECONDS + this.#options.getLinkDelay();
	}

	/**
	Waits for the first answer of a dispatcher. With overload control on, waits longer for one that is slow but not silent, unless the request could no
	longer be served then.
	*/
	async #callDispatcher(pending: PendingSlotRequest, dispatcher: LinkedHost, encoded: EncodedSlotRequest): ReturnType<link.Link['call']> {
		const {request, usualMilliseconds} = pending;
		const timeout = SLOT_REQUEST_TIMEOUT_MILLISECONDS + this.#options.getLinkDelay();
		if (this.#options.overloadControl?.isOn() !== true) {
			return dispatcher.link.call(METHODS.ask, encoded, timeout);
		}

		const stopChecks = this.#context.repeat(timeout, () => {
			if (pending.request !== request || pending.dispatcher !== dispatcher) {
				return;
			}

			if (this.#isHeard(dispatcher)) {
				this.#context.metrics.count('slow_answers');
			} else {
				this.#abandonDispatcher(dispatcher, 'silent');
			}
		});
		const limit = Math.min(SLOW_DISPATCHER_TIMEOUT_MILLISECONDS + timeout - SLOT_REQUEST_TIMEOUT_MILLISECONDS, request.remainingMilliseconds - usualMilliseconds);
		const answer = await dispatcher.link.call(METHODS.ask, encoded, Math.max(timeout, limit));
		stopChecks();
		return answer;
	}

	/**
	Right after the control hosts are lost, no link to a standby is open yet. Opening one takes some milliseconds, which costs less than a choice by this host alone.
	*/
	async #waitForStandby(pool: Pool): Promise<LinkedHost | undefined> {
		const {standbys} = this.#options;
		if (standbys.isOwnHostStandby()) {
			return undefined;
		}

		standbys.open();
		await standbys.waitForOne();
		return this.#finder.find(pool);
	}

	/**
	Handles the first answer to a slot request; after `wait`, the final one comes to {@link handleAnswer}.
	*/
	#handleFirstAnswer(pending: PendingSlotRequest, answer: SlotAnswer): void {
		if (answer.kind === 'wait') {
			pending.isWaiting = true;
		} else if (pending.ownPool !== undefined && answer.kind !== 'grant') {
			this.#pending.delete(pending.request.id);
			this.#retry(pending);
		} else if (answer.kind === 'elsewhere' && answer.pool !== undefined) {
			this.#lend(pending, answer.pool);
		} else if (answer.kind === 'elsewhere') {
			this.#finder.markUnresponsive(pending.dispatcher!);
			this.#retryElsewhere([pending]);
		} else {
			this.#settle(pending, answer);
		}
	}

	/**
	Sends a request to a pool that has free slots. If it gets none there, it returns to the own pool, and stays.
	*/
	#lend(pending: PendingSlotRequest, pool: core.FailureDomain): void {
		const {id, service, pool: ownPool} = pending.request;
		this.#context.metrics.count('slot_requests_elsewhere', {service, pool});
		this.#pending.delete(id);
		pending.request = {...pending.request, pool};
		this.#retry(pending);
		pending.ownPool = ownPool;
	}

	/**
	Sends the requests of a dispatcher that did not answer to other dispatchers: each would reach the same timeout, one after the other. Requests
	that are queued there for a slot stay, unless the link was silent for the whole timeout: the dispatcher may be frozen, and would then never answer.
	*/
	#abandonDispatcher(dispatcher: LinkedHost, reason: string): void {
		this.#finder.markUnresponsive(dispatcher);
		const isSilent = dispatcher.link.getSilenceMilliseconds() >= SLOT_REQUEST_TIMEOUT_MILLISECONDS;
		const affected = this.#pending.values()
			.filter(pending => pending.dispatcher === dispatcher && (isSilent || !pending.isWaiting))
			.toArray();
		this.#context.logs('dispatch').warn('A dispatcher did not answer; its slot requests go to other dispatchers.', {
			dispatcher: dispatcher.host.id, reason, isSilent, asks: affected.length,
		});
		this.#context.metrics.count('dispatchers_left', {reason});
		this.#options.standbys.open();
		utils.runDetached(async () => this.#probeControlHosts(), this.#onDefect);
		for (const pending of affected) {
			// A slot that the dispatcher grants late is given back.
			notifyCancelled(dispatcher.link, pending.request, this.#reclaimTime(pending));
		}

		this.#retryElsewhere(affected);
	}

	/**
	Takes the time that was lent with a request back, for the dispatcher that gets it next.
	*/
	#reclaimTime(pending: PendingSlotRequest): number {
		const {lentMilliseconds = 0} = pending;
		this.#timeLender.reclaim(lentMilliseconds);
		pending.lentMilliseconds = undefined;
		return lentMilliseconds;
	}

	/**
	Probes all control hosts at once. Otherwise, after five have lost power together, slot requests reach the timeout at one after the other.
	*/
	async #probeControlHosts(): Promise<void> {
		if (this.#isProbing) {
			return;
		}

		this.#isProbing = true;
		try {
			await Promise.all(this.#finder.listResponsiveControlHosts().map(async control => {
				const answer = await control.link.call(METHODS.probe, {}, PROBE_TIMEOUT_MILLISECONDS + this.#options.getLinkDelay());
				if (answer.isErr() && answer.error.kind === 'call-timeout' && !this.#isHeard(control)) {
					this.#abandonDispatcher(control, 'probe');
				}
			}));
		} finally {
			this.#isProbing = false;
		}
	}

	#retryElsewhere(requests: readonly PendingSlotRequest[]): void {
		for (const pending of requests) {
			this.#pending.delete(pending.request.id);
			pending.failedDispatchers++;
			this.#retry(pending);
		}
	}

	#requestFromOwnDispatcher(pending: PendingSlotRequest): void {
		pending.dispatcher = undefined;
		// Other hosts request no slots here, so nothing would keep two of its pools apart.
		const {pool: _, ...request} = pending.request;
		const reason = pending.failedDispatchers === 0 ? 'no-dispatcher' : 'no-answer';
		const remainingMilliseconds = request.remainingMilliseconds - (this.#context.now() - pending.requestedAt);
		this.#context.metrics.count('asks_own', {reason});
		this.#context.logs('dispatch').warn('No other dispatcher is available; the host requests the slot from its own.', {id: request.id, service: request.service, reason});
		this.#options.ownDispatcher.applyUpdates({service: request.service, updates: this.#advertisements.list(request.service)});
		const uses = this.#recentUsage.collectUnreported(this.#options.ownDispatcher);
		if (uses !== undefined) {
			this.#options.ownDispatcher.applyPastUsage(this.#options.settings.hostId, uses);
		}

		const answer = this.#options.ownDispatcher.requestSlot({...this.#addLoan(request, this.#options.ownDispatcher), remainingMilliseconds});
		this.#handleFirstAnswer(pending, answer.kind === 'elsewhere' ? NO_UPSTREAM_REFUSAL : answer);
	}

	#settle(pending: PendingSlotRequest, answer: SlotDecision): void {
		const {request, dispatcher} = pending;
		if (!this.#pending.delete(request.id)) {
			// Cancelled meanwhile, or answered twice.
			if (answer.kind === 'grant') {
				this.#notifyEnd({
					request, upstream: answer.upstream, grantedAt: 0, dispatcher,
				}, UNUSED);
			}

			return;
		}

		if (answer.kind === 'grant') {
			const held: HeldSlot = {
				request, upstream: answer.upstream, grantedAt: this.#context.now(), dispatcher,
			};
			const cause = this.#options.isRetired(answer.upstream) ? 'retired' : this.#advertisements.findClosure(answer.upstream);
			if (cause !== undefined) {
				// The dispatcher does not know yet that the upstream is closed; this host must not send there.
				this.#giveBack(held, cause);
				this.#retry(pending, [answer.upstream]);
				return;
			}

			this.#heldSlots.add(held);
			this.#recordUse(held);
		}

		pending.resolve(answer.kind === 'grant' ? {...answer, id: request.id} : answer);
	}

	/**
	Only the first attempt of a request counts against its organisation's allotment.
	*/
	#recordUse({request, dispatcher}: HeldSlot): void {
		const {service, organisation} = request;
		if (organisation !== undefined && dispatch.isFirstAttempt(request)) {
			this.#recentUsage.record({service, organisation, admittedBy: dispatcher?.link ?? this.#options.ownDispatcher});
		}
	}

	#giveBack(held: HeldSlot, cause: Closure | 'retired'): void {
		const {request, upstream} = held;
		this.#context.metrics.count('places_given_back', {cause});
		this.#context.logs('dispatch').info('The granted slot is given back, because its upstream is closed or retired.', {
			id: request.id, service: request.service, upstream, cause,
		});
		this.#notifyEnd(held, UNUSED);
	}

	#retry(pending: PendingSlotRequest, excluded: readonly core.UpstreamId[] = []): void {
		const now = this.#context.now();
		const {request, ownPool} = pending;
		pending.ownPool = undefined;
		pending.request = {
			...request,
			...ownPool !== undefined && {pool: ownPool},
			id: this.#createId(),
			isAgain: true,
			excluded: [...request.excluded, ...excluded],
			remainingMilliseconds: request.remainingMilliseconds - (now - pending.requestedAt),
			waitedMilliseconds: request.waitedMilliseconds + (now - pending.requestedAt),
		};
		pending.requestedAt = now;
		pending.isWaiting = false;
		this.#pending.set(pending.request.id, pending);
		this.#startSending(pending);
	}

	#startSending(pending: PendingSlotRequest): void {
		utils.runDetached(async () => this.#send(pending), error => {
			this.#onDefect(error);
			this.#cancel(pending);
		});
	}

	#cancel(pending: PendingSlotRequest): void {
		if (!this.#pending.delete(pending.request.id)) {
			return;
		}

		if (pending.dispatcher === undefined) {
			this.#options.ownDispatcher.cancel(pending.request.id);
		} else {
			notifyCancelled(pending.dispatcher.link, pending.request);
		}

		pending.resolve({kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 0});
	}

	#notifyEnd({request, dispatcher}: HeldSlot, outcome: dispatch.Outcome): void {
		if (dispatcher === undefined) {
			this.#options.ownDispatcher.end({id: request.id, ...outcome});
		} else {
			dispatcher.link.notify(METHODS.end, encodeEnd(request.id, outcome));
		}
	}
}

/**
The end of a slot that is given back without an attempt.
*/
const UNUSED: dispatch.Outcome = {ending: 'unused', milliseconds: 0};

/**
The answer when not even this host's own dispatcher knows an upstream of the service.
*/
const NO_UPSTREAM_REFUSAL: SlotDecision = {kind: 'refuse', reason: 'no-upstream', retryAfterMilliseconds: UNKNOWN_SERVICE_RETRY_MILLISECONDS};

/**
The answer when a slow dispatcher has not decided while the request could be served.
*/
const TOO_SLOW_REFUSAL: SlotDecision = {kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: SLOW_DISPATCHER_TIMEOUT_MILLISECONDS};

/**
Notifies a dispatcher that a slot request is cancelled, and gives its slot back in case the grant is already on its way.

@param reclaimedMilliseconds Time lent with the request that the host takes back.
*/
function notifyCancelled(dispatcherLink: link.Link, request: dispatch.SlotRequest, reclaimedMilliseconds = 0): void {
	const number = getSlotRequestNumber(request.id);
	dispatcherLink.notify(METHODS.cancel, (reclaimedMilliseconds === 0 ? [number] : [number, reclaimedMilliseconds]) satisfies EncodedCancellation);
	dispatcherLink.notify(METHODS.end, encodeEnd(request.id, UNUSED));
}
