/**
Gives out the slots of backend servers, one request at a time, for all hosts that ask.

A host that carries a few requests a second can neither find the free slot among hundreds nor tell a sick upstream from a
well one. Here all requests of a service come together: each gets a slot that is free, waits for the next one, or is
refused at once when none can come in time; and what becomes of one request is known before the next one is placed.

It holds no promise of its own: lost, it is replaced by another host's, which is told what is under way.
*/
import * as core from 'wagtailroute-core';
import {
	applyUpdate,
	flushUpdates,
	listUpdates,
	recordAdvertisement,
} from './advertisements.ts';
import {
	type Ask,
	type AskId,
	type Candidate,
	type Effect,
	type Ending,
	type HeldPlace,
	type RefusalReason,
	type UpstreamUpdate,
} from './asks.ts';
import {createBudget} from './budget.ts';
import {
	choose,
	chooseReserve,
	chooseTrial,
	type Choice,
	type ChoiceCircumstances,
} from './choosing.ts';
import {
	ABANDONED_MILLISECONDS,
	LOOKED_AT_MOST,
} from './constants.ts';
import type {Dispatcher, DispatcherSettings, UpstreamReport} from './dispatcher-types.ts';
import {type IdleUpstream, listIdleUpstreams} from './idle-upstreams.ts';
import {DEFAULT_POLICY} from './policy.ts';
import {createShortfall} from './shortfall.ts';
import {ServiceRateLimits} from './service-rate-limits.ts';
import {
	countUntil,
	countUsableSlots,
	getBackoffDelay,
	getTrialCircumstances,
	getTurn,
	getUsual,
	hasUsableSlot,
	isBelowFloor,
	isMissed,
	isObjectiveMissed,
	isTooLate,
	learnUsual,
	listDueTrials,
	listFree,
	type Service,
	type Waiting,
} from './services.ts';
import {
	createHeldPlace,
	createUpstream,
	fadeDoubt,
	getDoubt,
	hasCapacity,
	isSuspended,
	listBackoffs,
	type Place,
	takeBelief,
	type Upstream,
	weighEnding,
	weighTime,
} from './upstreams.ts';

/**
Creates a dispatcher that knows no upstream.
*/
export function createDispatcher(settings: DispatcherSettings): Dispatcher {
	return new SlotDispatcher(settings);
}

class SlotDispatcher implements Dispatcher {
	readonly #settings: DispatcherSettings;
	readonly #services = new Map<core.ServiceName, Service>();
	readonly #places = new Map<AskId, Place>();
	readonly #waiting = new Map<AskId, Service>();

	constructor(settings: DispatcherSettings) {
		this.#settings = settings;
	}

	ask(ask: Ask, now: number): readonly Effect[] {
		const service = this.#getService(ask.service);
		service.rateLimits.recordAsk(now);
		if (ask.isMove) {
			return [this.#moveOrRefuse(service, ask, now)];
		}

		if (ask.isResend) {
			if (!service.budget.takeResend(now)) {
				return [refuse(ask, 'budget', service.policy.retryAfterLeastMilliseconds)];
			}
		} else if (ask.isAgain !== true) {
			// Counted at each dispatcher that its host turned to, one request would earn several resends.
			service.budget.countRequest(now);
			service.shortfall.recordAsk(now);
		}

		service.repeatableAt = core.isIdempotent(ask.requestClass) ? now : service.repeatableAt;
		const waiting = this.#addWaiting(service, ask, now);
		const effects = this.#serveWaiting(service, now);
		return this.#waiting.has(ask.id) ? [...effects, ...this.#waitOrRefuse(service, waiting, now)] : effects;
	}

	cancel(id: AskId): Ask | undefined {
		const service = this.#waiting.get(id);
		return service && this.#removeWaiting(service, id);
	}

	findGranted(id: AskId): Ask | undefined {
		return this.#places.get(id)?.ask;
	}

	end(id: AskId, {ending, milliseconds}: {readonly ending: Ending; readonly milliseconds: number}, now: number): readonly Effect[] {
		const place = this.#places.get(id);
		if (place === undefined) {
			return [];
		}

		const service = this.#getService(place.service);
		const upstream = service.upstreams.get(place.upstream);
		this.#free(place);
		const effects: Effect[] = [];
		if (upstream !== undefined) {
			const wasSuspended = isSuspended(upstream, now);
			weighEnding(upstream, place, ending, now);
			// Trials that find the spell still there must not be what keeps upstreams tried.
			if (FAILURES.has(ending) && !place.isTrial) {
				service.shortfall.recordFailure(now);
			}

			if (ending === 'success') {
				weighTime(upstream, place, milliseconds, now);
				learnUsual(service, place.route, milliseconds);
				effects.push(...this.#liftRateLimit(service, upstream, place));
			} else if (ending === 'unused') {
				service.rateLimits.consume(upstream, -1, now);
			}

			if (isSuspended(upstream, now) !== wasSuspended) {
				effects.push({
					kind: 'believe',
					service: service.name,
					upstream: place.upstream,
					doubt: upstream.doubt,
					isSuspended: !wasSuspended,
					cause: ending,
				});
			}
		}

		return [...effects, ...this.#serveWaiting(service, now)];
	}

	recordAdvertisements(id: AskId, advertisements: readonly core.Advertisement[], now: number): readonly Effect[] {
		const place = this.#places.get(id);
		const service = place && this.#services.get(place.service);
		const upstream = place && service?.upstreams.get(place.upstream);
		if (place === undefined || service === undefined || upstream === undefined) {
			return [];
		}

		const source = {upstream, host: place.host};
		const effects = advertisements.flatMap(advertisement => recordAdvertisement(service, source, advertisement, now));
		return [...effects, ...this.#refuseStranded(service, advertisements, now)];
	}

	applyUpdates(name: core.ServiceName, updates: readonly UpstreamUpdate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		for (const update of updates) {
			const upstream = service.upstreams.get(update.upstream);
			if (upstream !== undefined) {
				applyUpdate(service, upstream, update, now);
			}
		}

		return this.#refuseStranded(service, updates, now);
	}

	isSharingRateLimits(service: core.ServiceName, now: number): boolean {
		return this.#services.get(service)?.rateLimits.isShared(now) === true;
	}

	flushUpdates(now: number): ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]> {
		return collectUpdates(this.#services.values(), service => flushUpdates(service, now));
	}

	listUpdates(now: number): ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]> {
		return collectUpdates(this.#services.values(), service => listUpdates(service, now));
	}

	hold(host: core.HostId, service: core.ServiceName, held: readonly HeldPlace[], now: number): void {
		for (const place of this.#places.values().filter(present => present.host === host && present.service === service)) {
			this.#free(place);
		}

		const present = this.#getService(service);
		for (const item of held) {
			const upstream = present.upstreams.get(item.upstream);
			const place = createHeldPlace(item, present.usual.get(item.route) ?? (item.ageMilliseconds + item.remainingMilliseconds), now);
			this.#places.set(place.id, place);
			upstream?.places.set(place.id, place);
		}
	}

	setCandidates(name: core.ServiceName, candidates: readonly Candidate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		const named = new Set(candidates.map(candidate => candidate.upstream));
		for (const [id, upstream] of service.upstreams) {
			// Its places stay counted in the table of places, so that their ends are known when they come.
			if (!named.has(id) && upstream.places.size === 0) {
				service.rateLimits.remove(upstream);
				service.upstreams.delete(id);
			} else if (!named.has(id)) {
				upstream.candidate = {...upstream.candidate, isDraining: true};
			}
		}

		for (const candidate of candidates) {
			const present = service.upstreams.get(candidate.upstream);
			if (present === undefined) {
				service.upstreams.set(candidate.upstream, createUpstream(candidate, service.policy, now));
			} else {
				// A heartbeat that is newer than the answer of another instance says that the address is its own again.
				present.isMisdirected &&= core.formatAddress(present.candidate.address) === core.formatAddress(candidate.address);
				present.candidate = candidate;
			}
		}

		return this.#serveWaiting(service, now);
	}

	setDoubt(service: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number): void {
		const known = this.#services.get(service)?.upstreams.get(upstream);
		if (known !== undefined) {
			takeBelief(known, doubt, now);
		}
	}

	raiseDoubt(
		service: core.ServiceName,
		upstream: core.UpstreamId,
		{doubt, ageMilliseconds}: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	): void {
		const known = this.#services.get(service)?.upstreams.get(upstream);
		const left = known === undefined ? 0 : fadeDoubt(known.policy, doubt, ageMilliseconds);
		if (known !== undefined && left > getDoubt(known, now)) {
			takeBelief(known, left, now);
		}
	}

	tick(now: number): readonly Effect[] {
		for (const place of this.#places.values().filter(present => present.deadlineAt + ABANDONED_MILLISECONDS < now)) {
			this.#free(place);
		}

		return this.#services.values().flatMap(service => [...this.#serveWaiting(service, now), ...this.#refuseLate(service, now)]).toArray();
	}

	getWaiting(): number {
		return this.#waiting.size;
	}

	isBusy(): boolean {
		return this.#waiting.size > 0 || this.#places.size > 0;
	}

	knows(service: core.ServiceName): boolean {
		return (this.#services.get(service)?.upstreams.size ?? 0) > 0;
	}

	report(service: core.ServiceName, now: number): readonly UpstreamReport[] {
		const upstreams = this.#services.get(service)?.upstreams.values().toArray() ?? [];
		return upstreams.map(upstream => ({
			upstream: upstream.candidate.upstream,
			failureDomain: upstream.candidate.failureDomain,
			taken: upstream.places.size,
			slots: upstream.candidate.slots,
			doubt: getDoubt(upstream, now),
			isSuspended: isSuspended(upstream, now),
			isDraining: upstream.candidate.isDraining || upstream.isDraining,
			hostsBackingOff: listBackoffs(upstream, now).map(({host}) => host),
			rateLimit: upstream.rateLimit?.getRatePerSecond(),
		}));
	}

	listIdle(name: core.ServiceName, now: number): readonly IdleUpstream[] {
		const service = this.#services.get(name);
		return service === undefined ? [] : listIdleUpstreams(service, now);
	}

	/**
	Under load a move would take a slot from who was sent nowhere yet, and throw away what was worked so far: it never waits, and costs
	the budget nothing when it is refused.
	*/
	#moveOrRefuse(service: Service, ask: Ask, now: number): Effect {
		const choice = service.waiting.length > 0 ? undefined : choose(listFree(service, now), ask, this.#getCircumstances(service, {now, askedAt: now, isMissed: isMissed(service, now)}));
		if (choice === undefined) {
			return refuse(ask, 'no-slot-in-time', service.policy.retryAfterLeastMilliseconds);
		}

		return service.budget.takeResend(now)
			? this.#grant(service, ask, choice, now)
			: refuse(ask, 'budget', service.policy.retryAfterLeastMilliseconds);
	}

	#getCircumstances(
		{upstreams, policy}: Service,
		{askedAt, now, ...known}: Pick<ChoiceCircumstances, 'now' | 'isMissed'> & {readonly askedAt: number},
	): ChoiceCircumstances {
		return {
			...known, now, random: this.#settings.random, waitedMilliseconds: now - askedAt, known: upstreams, policy,
		};
	}

	#getService(name: core.ServiceName): Service {
		const service: Service = this.#services.get(name) ?? {
			name,
			upstreams: new Map(),
			waiting: [],
			usual: new Map(),
			policy: this.#settings.policy ?? DEFAULT_POLICY,
			shortfall: createShortfall(),
			budget: createBudget(this.#settings.budget, this.#settings.policy ?? DEFAULT_POLICY),
			repeatableAt: -Infinity,
			unpublishedDraining: new Set(),
			rateLimits: new ServiceRateLimits({getShare: this.#settings.getShare ?? (() => 1), random: this.#settings.random}),
		};
		this.#services.set(name, service);
		return service;
	}

	#grant(service: Service, ask: Ask, {upstream, isTrial}: Choice, now: number): Effect {
		const place: Place = {
			id: ask.id,
			host: ask.host,
			service: service.name,
			upstream: upstream.candidate.upstream,
			route: ask.route,
			ask,
			startedAt: now,
			deadlineAt: now + ask.remainingMilliseconds,
			usualMilliseconds: getUsual(service, ask),
			isTrial,
		};
		this.#places.set(place.id, place);
		upstream.places.set(place.id, place);
		upstream.startedAt = now;
		service.rateLimits.consume(upstream, 1, now);
		return {
			kind: 'grant', ask, upstream: place.upstream, address: upstream.candidate.address, isTrial,
		};
	}

	#liftRateLimit({name, rateLimits}: Service, upstream: Upstream, place: Place): readonly Effect[] {
		const ratePerSecondBefore = upstream.rateLimit?.getRatePerSecond();
		return rateLimits.lift(upstream, place.startedAt)
			? [{
				kind: 'rate-limit', service: name, upstream: place.upstream, ratePerSecondBefore,
			}]
			: [];
	}

	#free(place: Place): void {
		this.#places.delete(place.id);
		const upstreams = this.#services.get(place.service)?.upstreams;
		const upstream = upstreams?.get(place.upstream);
		upstream?.places.delete(place.id);
	}

	#waitOrRefuse(service: Service, {ask, turn}: Waiting, now: number): readonly Effect[] {
		const slots = countUsableSlots(service, ask, now);
		const usual = getUsual(service, ask);
		// Itself included.
		const wait = slots === 0 ? getBackoffDelay(service, ask, now) : countUntil(service, turn) * usual / slots;
		const {missedPart, objectivePart} = service.policy;
		const counted = isObjectiveMissed(service, ask) ? missedPart : 1;
		const isInObjective = ask.isResend || (wait + (usual * objectivePart)) * counted <= ask.objectiveMilliseconds;
		if (isInObjective && wait + (usual * service.policy.worthwhilePart) <= ask.remainingMilliseconds) {
			return [];
		}

		this.#removeWaiting(service, ask.id);
		return this.#useReserveOrRefuse(service, ask, {now, wait, slots});
	}

	/**
	Ejecting must never leave less than the floor: below it, what is suspended is better than a refusal. For a first attempt that may be repeated it
	always is: it finds out, and moves when it hangs.
	*/
	#useReserveOrRefuse(
		service: Service,
		ask: Ask,
		{now, wait, slots}: {readonly now: number; readonly wait: number; readonly slots: number},
	): readonly Effect[] {
		const mayFindOut = core.isIdempotent(ask.requestClass)
			&& !ask.isResend
			&& ask.remainingMilliseconds >= getUsual(service, ask) * service.policy.worthwhilePart;
		const mayTry = mayFindOut || isBelowFloor(service, this.#settings.floor, now);
		const choice = mayTry ? chooseReserve(service.upstreams.values(), ask, now) : undefined;
		if (choice !== undefined) {
			return [this.#grant(service, ask, choice, now)];
		}

		service.shortfall.recordFailure(now);
		const advice = Number.isFinite(wait) ? wait : ask.remainingMilliseconds / 4;
		const retryAfter = Math.max(service.policy.retryAfterLeastMilliseconds, Math.min(advice, ask.remainingMilliseconds / 3));
		return [refuse(ask, slots === 0 ? 'no-upstream' : 'no-slot-in-time', retryAfter)];
	}

	#addWaiting(service: Service, ask: Ask, now: number): Waiting {
		const waiting: Waiting = {
			ask, turn: getTurn(service, ask, now), askedAt: now, deadlineAt: now + ask.remainingMilliseconds,
		};
		service.waiting.splice(countUntil(service, waiting.turn), 0, waiting);
		this.#waiting.set(ask.id, service);
		return waiting;
	}

	#removeWaiting(service: Service, id: AskId): Ask | undefined {
		this.#waiting.delete(id);
		const place = service.waiting.findIndex(waiting => waiting.ask.id === id);
		return place === -1 ? undefined : service.waiting.splice(place, 1)[0]!.ask;
	}

	/**
	Grants what can be granted, by turn. A trial takes no slot from those who wait, so it comes first. Under overload no slot is free, and hundreds
	wait: so the upstreams with a free slot are listed once, and only the first of those who wait are looked at.
	*/
	#serveWaiting(service: Service, now: number): readonly Effect[] {
		const effects: Effect[] = [];
		let free = listFree(service, now);
		let dueTrials = listDueTrials(service, now);
		const circumstances = {now, isMissed: isMissed(service, now)};
		for (const waiting of service.waiting.slice(0, LOOKED_AT_MOST)) {
			if (free.length === 0 && dueTrials.length === 0) {
				break;
			}

			const ask = {...waiting.ask, remainingMilliseconds: waiting.deadlineAt - now};
			const choice = chooseTrial(dueTrials, ask, getTrialCircumstances(service, now, {...circumstances, isFull: free.length === 0}))
				?? choose(free, ask, this.#getCircumstances(service, {...circumstances, askedAt: waiting.askedAt}));
			if (choice === undefined) {
				continue;
			}

			this.#removeWaiting(service, ask.id);
			effects.push(this.#grant(service, ask, choice, now));
			free = free.filter(upstream => hasCapacity(upstream, now));
			dueTrials = dueTrials.filter(upstream => hasCapacity(upstream, now));
		}

		return effects;
	}

	/**
	Refuses the asks that nothing can take any more, since upstreams leave or their host backs off.
	*/
	#refuseStranded(service: Service, causes: ReadonlyArray<Pick<core.Advertisement, 'kind'>>, now: number): readonly Effect[] {
		if (causes.every(({kind}) => kind === 'rate-limit')) {
			return [];
		}

		return service.waiting
			.filter(({ask}) => !hasUsableSlot(service, ask, now))
			.flatMap(waiting => this.#waitOrRefuse(service, {...waiting, ask: {...waiting.ask, remainingMilliseconds: waiting.deadlineAt - now}}, now));
	}

	/**
	Refuses what can no longer be answered in time.
	*/
	#refuseLate(service: Service, now: number): readonly Effect[] {
		const late = service.waiting.filter(waiting => isTooLate(service, waiting, now));
		return late.flatMap(({ask, deadlineAt}) => {
			this.#removeWaiting(service, ask.id);
			const remaining = {...ask, remainingMilliseconds: deadlineAt - now};
			return this.#useReserveOrRefuse(service, remaining, {now, wait: Infinity, slots: 1});
		});
	}
}

/**
Endings of a request that something may have come of, so that its caller gets no answer or a bad one.
*/
const FAILURES: ReadonlySet<Ending> = new Set(['error', 'reset', 'timeout']);

function refuse(ask: Ask, reason: RefusalReason, retryAfterMilliseconds: number): Effect {
	return {
		kind: 'refuse', ask, reason, retryAfterMilliseconds,
	};
}

function collectUpdates(
	services: Iterable<Service>,
	collect: (service: Service) => readonly UpstreamUpdate[],
): ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]> {
	const collected = new Map<core.ServiceName, readonly UpstreamUpdate[]>();
	for (const service of services) {
		const updates = collect(service);
		if (updates.length > 0) {
			collected.set(service.name, updates);
		}
	}

	return collected;
}
