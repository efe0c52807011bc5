/**
How an entry host comes to an upstream for each attempt: it asks the service's dispatcher on a control host, the next one when that
does not answer, and dispatches alone as long as none does.

Dispatching alone, a host sees only its own requests; it starts from the doubts that dispatchers told it. It costs slots that
are taken by others' requests and shed, never a wrong answer.
*/
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type * as utils from 'wagtailroute-utils';
import {ASK_MILLISECONDS, DISPATCH_TICK_MILLISECONDS, MOST_UNANSWERED} from './constants.ts';
import {
	createAskId,
	createRouteNumbers,
	getAskedRoute,
	getAskNumber,
	restoreAnswer,
	type RouteTelling,
	type ShortAnswer,
	type ShortAsk,
	shortenAsk,
	type ShortEnd,
} from './ask-wire.ts';
import type {FleetContext} from './context.ts';
import type {OpenControl} from './control-links.ts';
import {createDispatcherFinder, type DispatcherFinder} from './dispatcher-finder.ts';
import {toAnswer} from './dispatching.ts';
import {
	type AskAnswer,
	type Belief,
	METHODS,
} from './messages.ts';
import {createHeldPlaces, type Held, type HeldPlaces} from './held-places.ts';
import type {EntrySettings} from './settings.ts';

/**
The final answer to an ask.
*/
export type FinalAnswer =
	| (Extract<AskAnswer, {kind: 'grant'}> & {
		/**
		Names the place, for its end.
		*/
		readonly id: dispatch.AskId;
	})
	| Extract<AskAnswer, {kind: 'refuse'}>;

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
	readonly hearAnswer: (ask: number, answer: ShortAnswer) => void;
	readonly hearBelief: (belief: Belief) => void;
	/**
	The instances of a service have changed.
	*/
	readonly refresh: (service: core.ServiceName) => void;
	readonly loseControl: (control: OpenControl) => void;
	readonly teardown: utils.Teardown;
};

/**
What asking needs.
*/
export type AskingPlan = {
	readonly settings: EntrySettings;
	readonly getOpen: () => readonly OpenControl[];
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	readonly isRetired: (upstream: core.UpstreamId) => boolean;
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
Starts asking.
*/
export function startAsking(context: FleetContext, plan: AskingPlan): Asking {
	return new HostAsking(context, plan);
}

class HostAsking implements Asking {
	readonly #context: FleetContext;
	readonly #plan: AskingPlan;
	readonly #local: dispatch.Dispatcher;
	readonly #pending = new Map<dispatch.AskId, Pending>();
	readonly #held: HeldPlaces;
	readonly #finder: DispatcherFinder;
	readonly #routeNumbers = createRouteNumbers();
	#count = 0;
	readonly #localServices = new Set<core.ServiceName>();
	#cancelTick: utils.Teardown | undefined;
	/**
	Handed on by itself, so it must not depend on how it is called.
	*/
	readonly teardown = (): void => {
		this.#cancelTick?.();
	};

	constructor(context: FleetContext, plan: AskingPlan) {
		this.#context = context;
		this.#plan = plan;
		this.#held = createHeldPlaces(context.now);
		this.#finder = createDispatcherFinder(context, plan.getOpen);
		this.#local = dispatch.createDispatcher({
			// The budget is the whole fleet's: a host that dispatches alone takes no more than its own requests give it.
			budget: {...plan.settings.budget, extra: 2},
			floor: plan.settings.floor,
			random: context.random,
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
		if (held !== undefined) {
			this.#tellEnd(held, ending, milliseconds);
		}
	}

	hearAnswer(ask: number, answer: ShortAnswer): void {
		const pending = this.#pending.get(createAskId(this.#plan.settings.hostId, ask));
		const restored = restoreAnswer(answer);
		if (pending !== undefined && restored.kind !== 'wait') {
			this.#settle(pending, restored);
		}
	}

	hearBelief({service, upstream, doubt}: Belief): void {
		this.#local.setDoubt(service, upstream, doubt, this.#context.now());
	}

	refresh(service: core.ServiceName): void {
		this.#localServices.add(service);
		this.#carryOut(this.#local.setCandidates(service, this.#plan.listCandidates(service), this.#context.now()));
	}

	loseControl(control: OpenControl): void {
		for (const pending of this.#pending.values().filter(({dispatcher}) => dispatcher?.link === control.link)) {
			this.#askLocal(pending, 'link-lost');
		}
	}

	#createId(): dispatch.AskId {
		this.#count++;
		return createAskId(this.#plan.settings.hostId, this.#count);
	}

	#shorten(over: link.Link, ask: dispatch.Ask): ShortAsk {
		const route = getAskedRoute(ask);
		const {number, isNew} = this.#routeNumbers.number(over, route);
		if (isNew) {
			over.notify(METHODS.route, [number, route] satisfies RouteTelling);
		}

		return shortenAsk(ask, number);
	}

	async #start(pending: Pending): Promise<void> {
		const {ask} = pending;
		const dispatcher = pending.unanswered < MOST_UNANSWERED ? this.#finder.find(ask.service) : undefined;
		if (dispatcher === undefined) {
			this.#askLocal(pending, pending.unanswered === 0 ? 'no-dispatcher' : 'no-answer');
			return;
		}

		pending.dispatcher = dispatcher;
		this.#held.tell(ask.service, dispatcher);
		const answer = await dispatcher.link.call(METHODS.ask, this.#shorten(dispatcher.link, ask), ASK_MILLISECONDS);
		if (answer.isOk()) {
			const first = restoreAnswer(answer.value as ShortAnswer);
			const isCurrent = pending.ask === ask;
			if (isCurrent && first.kind === 'wait') {
				pending.isWaiting = true;
			} else if (isCurrent && first.kind !== 'wait') {
				this.#settle(pending, first);
			}

			return;
		}

		// Otherwise the ask was taken elsewhere already.
		if (pending.ask === ask && pending.dispatcher === dispatcher) {
			this.#leave(dispatcher, answer.error.kind);
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
		for (const pending of left) {
			// Should it answer after all, the place is given back.
			notifyGivenUp(dispatcher.link, pending.ask);
			this.#pending.delete(pending.ask.id);
			pending.unanswered++;
			this.#askAgain(pending);
		}
	}

	#askLocal(pending: Pending, reason: string): void {
		if (!this.#pending.has(pending.ask.id)) {
			return;
		}

		pending.dispatcher = undefined;
		const now = this.#context.now();
		const {ask} = pending;
		const remainingMilliseconds = ask.remainingMilliseconds - (now - pending.askedAt);
		this.#context.metrics.count('asks_local', {reason});
		this.#context.logs('dispatch').warn('Dispatched alone.', {id: ask.id, service: ask.service, reason});
		if (!this.#localServices.has(ask.service)) {
			this.refresh(ask.service);
		}

		this.#carryOut(this.#local.ask({...ask, remainingMilliseconds}, now));
		this.#tickWhileWaiting();
	}

	/**
	Looks after requests that wait here; an idle host does not wake for it.
	*/
	#tickWhileWaiting(): void {
		if (this.#cancelTick !== undefined || this.#local.getWaiting() === 0) {
			return;
		}

		this.#cancelTick = this.#context.schedule(DISPATCH_TICK_MILLISECONDS, () => {
			this.#cancelTick = undefined;
			this.#carryOut(this.#local.tick(this.#context.now()));
			this.#tickWhileWaiting();
		});
	}

	#carryOut(effects: readonly dispatch.Effect[]): void {
		for (const effect of effects) {
			const pending = effect.kind === 'believe' ? undefined : this.#pending.get(effect.ask.id);
			if (pending !== undefined && effect.kind !== 'believe') {
				this.#settle(pending, toAnswer(effect));
			}
		}
	}

	#settle(pending: Pending, answer: Exclude<AskAnswer, {kind: 'wait'}>): void {
		const {ask, dispatcher} = pending;
		if (!this.#pending.delete(ask.id)) {
			// Given up meanwhile, or granted twice.
			if (answer.kind === 'grant') {
				this.#tellEnd({
					ask, upstream: answer.upstream, grantedAt: 0, dispatcher,
				}, 'cancelled', 0);
			}

			return;
		}

		if (answer.kind === 'grant') {
			const held: Held = {
				ask, upstream: answer.upstream, grantedAt: this.#context.now(), dispatcher,
			};
			if (this.#plan.isRetired(answer.upstream)) {
				// The dispatcher has not heard of the retirement yet; this host is bound by it.
				this.#tellEnd(held, 'cancelled', 0);
				this.#askAgain(pending, [answer.upstream]);
				return;
			}

			this.#held.add(held);
		}

		pending.resolve(answer.kind === 'grant' ? {...answer, id: ask.id} : answer);
	}

	#askAgain(pending: Pending, without: readonly core.UpstreamId[] = []): void {
		const now = this.#context.now();
		const {ask} = pending;
		pending.ask = {
			...ask,
			id: this.#createId(),
			excluded: [...ask.excluded, ...without],
			remainingMilliseconds: ask.remainingMilliseconds - (now - pending.askedAt),
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
			this.#local.cancel(pending.ask.id);
		} else {
			notifyGivenUp(pending.dispatcher.link, pending.ask);
		}

		pending.resolve({kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 0});
	}

	#tellEnd({ask, dispatcher}: Held, ending: dispatch.Ending, milliseconds: number): void {
		if (dispatcher === undefined) {
			this.#carryOut(this.#local.end(ask.id, {ending, milliseconds}, this.#context.now()));
		} else {
			dispatcher.link.notify(METHODS.end, [getAskNumber(ask.id), ending, Math.round(milliseconds)] satisfies ShortEnd);
		}
	}
}

/**
Tells a dispatcher that an ask is given up, wherever it is: waiting, or granted on its way back.
*/
function notifyGivenUp(over: link.Link, ask: dispatch.Ask): void {
	over.notify(METHODS.cancel, [getAskNumber(ask.id)]);
	over.notify(METHODS.end, [getAskNumber(ask.id), 'cancelled', 0] satisfies ShortEnd);
}
