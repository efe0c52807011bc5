/**
How an entry host comes to an upstream for each attempt: it asks the service's dispatcher on a control host, the next one when that
does not answer, one on an entry host as long as no control host does, and the one that it has itself when nobody else answers.

Asking only itself, a host sees only its own requests; it starts from the doubts that dispatchers told it. It costs slots that
are taken by others' requests and shed, never a wrong answer.
*/
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import {
	ASK_MILLISECONDS,
	ASKER_MILLISECONDS,
	MOST_UNANSWERED,
	PROBE_MILLISECONDS,
	UNKNOWN_SERVICE_MILLISECONDS,
} from './constants.ts';
import {type Advertisements, type Closure, createAdvertisements} from './advertisements.ts';
import {
	type RouteReference,
	createSlotRequestId,
	createOrganisationNumbering,
	createRouteNumbering,
	getRouteParameters,
	getSlotRequestNumber,
	type NumberedOrganisation,
	decodeAnswer,
	type NumberedRoute,
	type EncodedAdvertisements,
	type EncodedAnswer,
	type EncodedSlotRequest,
	encodeSlotRequest,
	type EncodedEnd,
} from './slot-request-encoding.ts';
import type {FleetContext} from './context.ts';
import type {OpenControl} from './control-links.ts';
import {createDispatcherFinder, type DispatcherFinder} from './dispatcher-finder.ts';
import type {HostDispatcher} from './host-dispatcher.ts';
import {type SlotAnswer, type SlotDecision, METHODS} from './messages.ts';
import {createHeldPlaces, type Held, type HeldPlaces} from './held-places.ts';
import type {EntrySettings} from './settings.ts';
import {createRecentUses, type RecentUses} from './recent-uses.ts';
import type {Standbys} from './standbys.ts';

/**
The final answer to an ask.
*/
export type FinalAnswer =
	| (Extract<SlotAnswer, {kind: 'grant'}> & {
		/**
		Names the place, for its end.
		*/
		readonly id: dispatch.AskId;
	})
	| Extract<SlotAnswer, {kind: 'refuse'}>;

/**
A request that waits for its upstream.
*/
export type Asked = {
	readonly answer: Promise<FinalAnswer>;
	/**
	Gives the request up; a place that comes all the same is given back.
	*/
	readonly cancel: () => void;
};

/**
An ask before it has its name and its host.
*/
export type AskDraft = Omit<dispatch.Ask, 'id' | 'host' | 'failureDomain'>;

/**
Asks for upstreams.
*/
export type Asking = {
	readonly ask: (ask: AskDraft) => Asked;
	/**
	A granted request has ended.
	*/
	readonly end: (id: dispatch.AskId, ending: dispatch.Ending, milliseconds: number) => void;
	/**
	The answer to a granted request advertises something about its upstream.
	*/
	readonly recordAdvertisements: (id: dispatch.AskId, advertisements: readonly core.Advertisement[]) => void;
	/**
	Says whether this host sends nothing to an upstream now, by what the upstream's answers told it.
	*/
	readonly isClosed: (upstream: core.UpstreamId) => boolean;
	readonly hearAnswer: (ask: number, answer: EncodedAnswer) => void;
	/**
	Says whether the dispatcher at the other end of a link still counts this host among those that ask it.
	*/
	readonly isAsked: (over: link.Link) => boolean;
	/**
	The link to a dispatcher is lost.
	*/
	readonly loseDispatcher: (dispatcher: OpenControl) => void;
};

/**
What asking needs.
*/
export type AskingPlan = {
	readonly settings: Pick<EntrySettings, 'hostId' | 'failureDomain' | 'allotments'>;
	/**
	Returns how many entry hosts serve callers, 0 when it is not known.
	*/
	readonly countEntryHosts: () => number;
	readonly getControls: () => readonly OpenControl[];
	readonly standbys: Pick<Standbys, 'getOpen' | 'open' | 'waitForOne' | 'isSelfNamed'>;
	/**
	The dispatcher of this host. What it decides later comes to `hearAnswer`.
	*/
	readonly own: Pick<HostDispatcher, 'requestSlot' | 'cancel' | 'end' | 'recordAdvertisements' | 'applyUpdates' | 'applyPastUsage'>;
	readonly isRetired: (upstream: core.UpstreamId) => boolean;
	/**
	Returns the milliseconds for which messages may wait behind large bodies on this host's own link.
	*/
	readonly getLinkDelay: () => number;
};

type Pending = {
	ask: dispatch.Ask;
	askedAt: number;
	/**
	Dispatchers that did not answer.
	*/
	unanswered: number;
	/**
	The dispatcher has said that it waits for a slot.
	*/
	isWaiting?: boolean;
	readonly resolve: (answer: FinalAnswer) => void;
	/**
	The dispatcher that was asked; absent for this host's own.
	*/
	dispatcher?: OpenControl;
};

/**
Creates the asking of a host.
*/
export function createAsking(context: FleetContext, plan: AskingPlan): Asking {
	return new HostAsking(context, plan);
}

class HostAsking implements Asking {
	readonly #context: FleetContext;
	readonly #plan: AskingPlan;
	readonly #pending = new Map<dispatch.AskId, Pending>();
	readonly #held: HeldPlaces;
	readonly #advertisements: Advertisements;
	readonly #recentUses: RecentUses;
	readonly #finder: DispatcherFinder;
	readonly #routeNumbers = createRouteNumbering();
	readonly #organisationNumbers = createOrganisationNumbering();
	readonly #askedAt = new WeakMap<link.Link, number>();
	#count = 0;
	#isProbing = false;

	constructor(context: FleetContext, plan: AskingPlan) {
		this.#context = context;
		this.#plan = plan;
		this.#advertisements = createAdvertisements(plan.settings.hostId, context.now);
		this.#recentUses = createRecentUses(context.now, plan.settings.allotments.windowMilliseconds);
		this.#held = createHeldPlaces(context.now, {
			advertisements: this.#advertisements, recentUses: this.#recentUses, countEntryHosts: plan.countEntryHosts,
		});
		this.#finder = createDispatcherFinder(context, {
			self: plan.settings.hostId,
			getControls: plan.getControls,
			getStandbys: plan.standbys.getOpen,
			isStandby: plan.standbys.isSelfNamed,
		});
		context.metrics.registerGauge('requests_held', this.#held.count);
	}

	ask(draft: AskDraft): Asked {
		const {hostId, failureDomain} = this.#plan.settings;
		const ask: dispatch.Ask = {
			...draft, id: this.#createId(), host: hostId, failureDomain,
		};
		const {promise, resolve} = Promise.withResolvers<FinalAnswer>();
		const pending: Pending = {
			ask, askedAt: this.#context.now(), unanswered: 0, resolve,
		};
		this.#pending.set(ask.id, pending);
		void this.#start(pending);
		return {
			answer: promise,
			cancel: () => {
				this.#cancel(pending);
			},
		};
	}

	end(id: dispatch.AskId, ending: dispatch.Ending, milliseconds: number): void {
		const held = this.#held.take(id);
		if (held === undefined) {
			return;
		}

		if (ending === 'success') {
			this.#advertisements.liftRateLimit(held.ask.service, held.upstream, held.grantedAt);
		}

		this.#tellEnd(held, ending, milliseconds);
	}

	recordAdvertisements(id: dispatch.AskId, advertisements: readonly core.Advertisement[]): void {
		const held = this.#held.find(id);
		if (held === undefined) {
			return;
		}

		const {ask, upstream, dispatcher} = held;
		for (const advertisement of advertisements) {
			this.#advertisements.record(ask.service, upstream, advertisement);
		}

		if (dispatcher === undefined) {
			this.#plan.own.recordAdvertisements(id, advertisements);
		} else {
			dispatcher.link.notify(METHODS.advertised, [getSlotRequestNumber(id), advertisements] satisfies EncodedAdvertisements);
		}
	}

	isClosed(upstream: core.UpstreamId): boolean {
		return this.#advertisements.findClosure(upstream) !== undefined;
	}

	hearAnswer(ask: number, answer: EncodedAnswer): void {
		const pending = this.#pending.get(createSlotRequestId(this.#plan.settings.hostId, ask));
		const restored = decodeAnswer(answer);
		if (pending !== undefined && (restored.kind === 'grant' || restored.kind === 'refuse')) {
			this.#settle(pending, restored);
		}
	}

	isAsked(over: link.Link): boolean {
		return this.#context.now() - (this.#askedAt.get(over) ?? -Infinity) < ASKER_MILLISECONDS + ASK_MILLISECONDS;
	}

	loseDispatcher(lost: OpenControl): void {
		this.#plan.standbys.open();
		const left = this.#pending.values().filter(({dispatcher}) => dispatcher?.link === lost.link).toArray();
		this.#askElsewhere(left);
	}

	#createId(): dispatch.AskId {
		this.#count++;
		return createSlotRequestId(this.#plan.settings.hostId, this.#count);
	}

	#shorten(over: link.Link, ask: dispatch.Ask): EncodedSlotRequest {
		return encodeSlotRequest(ask, this.#tellOrigin(over, ask));
	}

	#tellOrigin(over: link.Link, ask: dispatch.Ask): RouteReference {
		const route = getRouteParameters(ask);
		const {number, isNew} = this.#routeNumbers.assign(over, route);
		if (isNew) {
			over.notify(METHODS.route, [number, route] satisfies NumberedRoute);
		}

		return ask.organisation === undefined ? number : [number, this.#tellOrganisation(over, ask.organisation)];
	}

	#tellOrganisation(over: link.Link, organisation: core.Organisation): number {
		const {number, isNew} = this.#organisationNumbers.assign(over, organisation);
		if (isNew) {
			over.notify(METHODS.organisation, [number, organisation] satisfies NumberedOrganisation);
		}

		return number;
	}

	async #start(pending: Pending): Promise<void> {
		const {ask} = pending;
		const dispatcher = pending.unanswered < MOST_UNANSWERED
			? this.#finder.find(ask.service) ?? await this.#waitForStandby(ask.service)
			: undefined;
		// Given up while the first standby was reached.
		if (pending.ask !== ask || !this.#pending.has(ask.id)) {
			return;
		}

		if (dispatcher === undefined) {
			this.#askOwn(pending);
			return;
		}

		pending.dispatcher = dispatcher;
		this.#askedAt.set(dispatcher.link, this.#context.now());
		this.#held.tell(ask.service, dispatcher);
		const answer = await dispatcher.link.call(METHODS.ask, this.#shorten(dispatcher.link, ask), ASK_MILLISECONDS + this.#plan.getLinkDelay());
		// Otherwise the ask was taken elsewhere already.
		if (pending.ask !== ask || pending.dispatcher !== dispatcher) {
			return;
		}

		if (answer.isOk()) {
			this.#take(pending, decodeAnswer(answer.value as EncodedAnswer));
		} else {
			this.#leave(dispatcher, answer.error.kind);
		}
	}

	/**
	Right after the loss of the control hosts no standby is linked yet: it takes some milliseconds, which is less than a wrong choice costs.
	*/
	async #waitForStandby(service: core.ServiceName): Promise<OpenControl | undefined> {
		const {standbys} = this.#plan;
		if (standbys.isSelfNamed()) {
			return undefined;
		}

		standbys.open();
		await standbys.waitForOne();
		return this.#finder.find(service);
	}

	/**
	Takes the first answer to an ask.
	*/
	#take(pending: Pending, answer: SlotAnswer): void {
		if (answer.kind === 'wait') {
			pending.isWaiting = true;
		} else if (answer.kind === 'elsewhere') {
			this.#finder.noteSlow(pending.dispatcher!);
			this.#askElsewhere([pending]);
		} else {
			this.#settle(pending, answer);
		}
	}

	/**
	A dispatcher did not answer an ask in time. What was asked there meanwhile would run into the same limit, one after the other; what
	waits there for a slot is left if nothing at all was heard: its dispatcher may stand still, and would call nobody.
	*/
	#leave(dispatcher: OpenControl, reason: string): void {
		this.#finder.noteSlow(dispatcher);
		const isSilent = dispatcher.link.getSilence() >= ASK_MILLISECONDS;
		const left = this.#pending.values()
			.filter(pending => pending.dispatcher === dispatcher && (isSilent || !pending.isWaiting))
			.toArray();
		this.#context.logs('dispatch').warn('Dispatcher left.', {
			dispatcher: dispatcher.host.id, reason, isSilent, asks: left.length,
		});
		this.#context.metrics.count('dispatchers_left', {reason});
		this.#plan.standbys.open();
		void this.#probe();
		for (const pending of left) {
			// Should it answer after all, the place is given back.
			notifyGivenUp(dispatcher.link, pending.ask);
		}

		this.#askElsewhere(left);
	}

	/**
	Finds out at once which control hosts answer. One by one, asks would run into the time limit at each of five that lost power together.
	*/
	async #probe(): Promise<void> {
		if (this.#isProbing) {
			return;
		}

		this.#isProbing = true;
		await Promise.all(this.#finder.listAnswering().map(async control => {
			const answer = await control.link.call(METHODS.probe, {}, PROBE_MILLISECONDS + this.#plan.getLinkDelay());
			if (answer.isErr() && answer.error.kind === 'call-timeout') {
				this.#leave(control, 'probe');
			}
		}));
		this.#isProbing = false;
	}

	#askElsewhere(left: readonly Pending[]): void {
		for (const pending of left) {
			this.#pending.delete(pending.ask.id);
			pending.unanswered++;
			this.#askAgain(pending);
		}
	}

	#askOwn(pending: Pending): void {
		pending.dispatcher = undefined;
		const {ask} = pending;
		const reason = pending.unanswered === 0 ? 'no-dispatcher' : 'no-answer';
		const remainingMilliseconds = ask.remainingMilliseconds - (this.#context.now() - pending.askedAt);
		this.#context.metrics.count('asks_own', {reason});
		this.#context.logs('dispatch').warn('Own dispatcher asked.', {id: ask.id, service: ask.service, reason});
		this.#plan.own.applyUpdates({service: ask.service, updates: this.#advertisements.list(ask.service)});
		const uses = this.#recentUses.takeUntold(this.#plan.own);
		if (uses !== undefined) {
			this.#plan.own.applyPastUsage(this.#plan.settings.hostId, uses);
		}

		const answer = this.#plan.own.requestSlot({...ask, remainingMilliseconds});
		this.#take(pending, answer.kind === 'elsewhere' ? NOBODY : answer);
	}

	#settle(pending: Pending, answer: SlotDecision): void {
		const {ask, dispatcher} = pending;
		if (!this.#pending.delete(ask.id)) {
			// Given up meanwhile, or granted twice.
			if (answer.kind === 'grant') {
				this.#tellEnd({
					ask, upstream: answer.upstream, grantedAt: 0, dispatcher,
				}, 'unused', 0);
			}

			return;
		}

		if (answer.kind === 'grant') {
			const held: Held = {
				ask, upstream: answer.upstream, grantedAt: this.#context.now(), dispatcher,
			};
			const cause = this.#plan.isRetired(answer.upstream) ? 'retired' : this.#advertisements.findClosure(answer.upstream);
			if (cause !== undefined) {
				// The dispatcher has not heard of it yet; this host is bound by it.
				this.#giveBack(held, cause);
				this.#askAgain(pending, [answer.upstream]);
				return;
			}

			this.#held.add(held);
			this.#recordUse(held);
		}

		pending.resolve(answer.kind === 'grant' ? {...answer, id: ask.id} : answer);
	}

	/**
	Only the first place of a request takes from its organisation's allotment.
	*/
	#recordUse({ask, dispatcher}: Held): void {
		const {service, organisation} = ask;
		if (organisation !== undefined && dispatch.isFirst(ask)) {
			this.#recentUses.record({service, organisation, by: dispatcher?.link ?? this.#plan.own});
		}
	}

	#giveBack(held: Held, cause: Closure | 'retired'): void {
		const {ask, upstream} = held;
		this.#context.metrics.count('places_given_back', {cause});
		this.#context.logs('dispatch').info('Place given back.', {
			id: ask.id, service: ask.service, upstream, cause,
		});
		this.#tellEnd(held, 'unused', 0);
	}

	#askAgain(pending: Pending, without: readonly core.UpstreamId[] = []): void {
		const now = this.#context.now();
		const {ask} = pending;
		pending.ask = {
			...ask,
			id: this.#createId(),
			isAgain: true,
			excluded: [...ask.excluded, ...without],
			remainingMilliseconds: ask.remainingMilliseconds - (now - pending.askedAt),
			waitedMilliseconds: ask.waitedMilliseconds + (now - pending.askedAt),
		};
		pending.askedAt = now;
		pending.isWaiting = false;
		this.#pending.set(pending.ask.id, pending);
		void this.#start(pending);
	}

	#cancel(pending: Pending): void {
		if (!this.#pending.delete(pending.ask.id)) {
			return;
		}

		if (pending.dispatcher === undefined) {
			this.#plan.own.cancel(pending.ask.id);
		} else {
			notifyGivenUp(pending.dispatcher.link, pending.ask);
		}

		pending.resolve({kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 0});
	}

	#tellEnd({ask, dispatcher}: Held, ending: dispatch.Ending, milliseconds: number): void {
		if (dispatcher === undefined) {
			this.#plan.own.end({id: ask.id, ending, milliseconds});
		} else {
			dispatcher.link.notify(METHODS.end, [getSlotRequestNumber(ask.id), ending, Math.round(milliseconds)] satisfies EncodedEnd);
		}
	}
}

/**
The answer when not even this host knows an upstream of the service.
*/
const NOBODY: SlotDecision = {kind: 'refuse', reason: 'no-upstream', retryAfterMilliseconds: UNKNOWN_SERVICE_MILLISECONDS};

/**
Tells a dispatcher that an ask is given up, wherever it is: waiting, or granted on its way back.
*/
function notifyGivenUp(over: link.Link, ask: dispatch.Ask): void {
	over.notify(METHODS.cancel, [getSlotRequestNumber(ask.id)]);
	over.notify(METHODS.end, [getSlotRequestNumber(ask.id), 'unused', 0] satisfies EncodedEnd);
}
