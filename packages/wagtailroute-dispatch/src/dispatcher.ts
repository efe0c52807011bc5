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
	type SlotRequest,
	type SlotRequestId,
	type Candidate,
	type Effect,
	type Ending,
	type HeldSlotReport,
	type RefusalReason,
	type UpstreamUpdate,
} from './slot-requests.ts';
import {createBudget} from './budget.ts';
import {
	choose,
	chooseFallback,
	chooseTrial,
	type Choice,
	type ChoiceContext,
} from './choosing.ts';
import {
	HELD_SLOT_GRACE_MILLISECONDS,
	MAX_QUEUE_SCAN,
} from './constants.ts';
import type {Dispatcher, DispatcherSettings, UpstreamReport} from './dispatcher-types.ts';
import {type IdleUpstream, listIdleUpstreams} from './idle-upstreams.ts';
import {DEFAULT_POLICY} from './policy.ts';
import {createShortfall} from './shortfall.ts';
import {ServiceRateLimits} from './service-rate-limits.ts';
import {
	countQueuedUntil,
	countUsableSlots,
	getBackoffDelay,
	createTrialContext,
	getQueueKey,
	getUsualMilliseconds,
	hasUsableUpstream,
	isBelowFloor,
	needsIdleUpstreams,
	isObjectiveMissed,
	isDeadlineUnreachable,
	recordUsualMilliseconds,
	listTrialUpstreams,
	listFreeUpstreams,
	type Service,
	type QueuedRequest,
} from './services.ts';
import {
	createHeldSlot,
	createUpstream,
	decayDoubt,
	getDoubt,
	hasCapacity,
	isSuspended,
	listBackoffs,
	type HeldSlot,
	applyReportedDoubt,
	type Upstream,
	applyEnding,
	recordResponseTime,
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
	readonly #heldSlots = new Map<SlotRequestId, HeldSlot>();
	readonly #queuedServices = new Map<SlotRequestId, Service>();

	constructor(settings: DispatcherSettings) {
		this.#settings = settings;
	}

	requestSlot(request: SlotRequest, now: number): readonly Effect[] {
		const service = this.#getService(request.service);
		service.rateLimits.recordRequest(now);
		if (request.isMove) {
			return [this.#moveOrRefuse(service, request, now)];
		}

		if (request.isResend) {
			if (!service.budget.consumeResend(now)) {
				return [refuse(request, 'budget', service.policy.retryAfterLeastMilliseconds)];
			}
		} else if (request.isAgain !== true) {
			// Counted at each dispatcher that its host turned to, one request would earn several resends.
			service.budget.countRequest(now);
			service.shortfall.recordRequest(now);
		}

		service.lastIdempotentAt = core.isIdempotent(request.requestClass) ? now : service.lastIdempotentAt;
		const queued = this.#enqueue(service, request, now);
		const effects = this.#serveQueue(service, now);
		return this.#queuedServices.has(request.id) ? [...effects, ...this.#waitOrRefuse(service, queued, now)] : effects;
	}

	cancel(id: SlotRequestId): SlotRequest | undefined {
		const service = this.#queuedServices.get(id);
		return service && this.#dequeue(service, id);
	}

	findGrantedRequest(id: SlotRequestId): SlotRequest | undefined {
		return this.#heldSlots.get(id)?.request;
	}

	end(id: SlotRequestId, {ending, milliseconds}: {readonly ending: Ending; readonly milliseconds: number}, now: number): readonly Effect[] {
		const heldSlot = this.#heldSlots.get(id);
		if (heldSlot === undefined) {
			return [];
		}

		const service = this.#getService(heldSlot.service);
		const upstream = service.upstreams.get(heldSlot.upstream);
		this.#releaseSlot(heldSlot);
		const effects: Effect[] = [];
		if (upstream !== undefined) {
			const wasSuspended = isSuspended(upstream, now);
			applyEnding(upstream, heldSlot, ending, now);
			// Trials that find the spell still there must not be what keeps upstreams tried.
			if (FAILURE_ENDINGS.has(ending) && !heldSlot.isTrial) {
				service.shortfall.recordFailure(now);
			}

			if (ending === 'success') {
				recordResponseTime(upstream, heldSlot, milliseconds, now);
				recordUsualMilliseconds(service, heldSlot.route, milliseconds);
				effects.push(...this.#liftRateLimit(service, upstream, heldSlot));
			} else if (ending === 'unused') {
				service.rateLimits.consume(upstream, -1, now);
			}

			if (isSuspended(upstream, now) !== wasSuspended) {
				effects.push({
					kind: 'believe',
					service: service.name,
					upstream: heldSlot.upstream,
					doubt: upstream.doubt,
					isSuspended: !wasSuspended,
					cause: ending,
				});
			}
		}

		return [...effects, ...this.#serveQueue(service, now)];
	}

	recordAdvertisements(id: SlotRequestId, advertisements: readonly core.Advertisement[], now: number): readonly Effect[] {
		const heldSlot = this.#heldSlots.get(id);
		const service = heldSlot && this.#services.get(heldSlot.service);
		const upstream = heldSlot && service?.upstreams.get(heldSlot.upstream);
		if (heldSlot === undefined || service === undefined || upstream === undefined) {
			return [];
		}

		const source = {upstream, host: heldSlot.host};
		const effects = advertisements.flatMap(advertisement => recordAdvertisement(service, source, advertisement, now));
		return [...effects, ...this.#refuseUnservable(service, advertisements, now)];
	}

	applyUpdates(name: core.ServiceName, updates: readonly UpstreamUpdate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		for (const update of updates) {
			const upstream = service.upstreams.get(update.upstream);
			if (upstream !== undefined) {
				applyUpdate(service, upstream, update, now);
			}
		}

		return this.#refuseUnservable(service, updates, now);
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

	replaceHeldSlots(host: core.HostId, service: core.ServiceName, held: readonly HeldSlotReport[], now: number): void {
		for (const heldSlot of this.#heldSlots.values().filter(present => present.host === host && present.service === service)) {
			this.#releaseSlot(heldSlot);
		}

		const present = this.#getService(service);
		for (const item of held) {
			const upstream = present.upstreams.get(item.upstream);
			const heldSlot = createHeldSlot(item, present.usualMillisecondsByRoute.get(item.route) ?? (item.ageMilliseconds + item.remainingMilliseconds), now);
			this.#heldSlots.set(heldSlot.id, heldSlot);
			upstream?.heldSlots.set(heldSlot.id, heldSlot);
		}
	}

	setCandidates(name: core.ServiceName, candidates: readonly Candidate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		const named = new Set(candidates.map(candidate => candidate.upstream));
		for (const [id, upstream] of service.upstreams) {
			// Its places stay counted in the table of places, so that their ends are known when they come.
			if (!named.has(id) && upstream.heldSlots.size === 0) {
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

		return this.#serveQueue(service, now);
	}

	setDoubt(service: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number): void {
		const known = this.#services.get(service)?.upstreams.get(upstream);
		if (known !== undefined) {
			applyReportedDoubt(known, doubt, now);
		}
	}

	raiseDoubt(
		service: core.ServiceName,
		upstream: core.UpstreamId,
		{doubt, ageMilliseconds}: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	): void {
		const known = this.#services.get(service)?.upstreams.get(upstream);
		const left = known === undefined ? 0 : decayDoubt(known.policy, doubt, ageMilliseconds);
		if (known !== undefined && left > getDoubt(known, now)) {
			applyReportedDoubt(known, left, now);
		}
	}

	tick(now: number): readonly Effect[] {
		for (const heldSlot of this.#heldSlots.values().filter(present => present.deadlineAt + HELD_SLOT_GRACE_MILLISECONDS < now)) {
			this.#releaseSlot(heldSlot);
		}

		return this.#services.values().flatMap(service => [...this.#serveQueue(service, now), ...this.#refuseExpiring(service, now)]).toArray();
	}

	countWaiting(): number {
		return this.#queuedServices.size;
	}

	isBusy(): boolean {
		return this.#queuedServices.size > 0 || this.#heldSlots.size > 0;
	}

	hasUpstreams(service: core.ServiceName): boolean {
		return (this.#services.get(service)?.upstreams.size ?? 0) > 0;
	}

	report(service: core.ServiceName, now: number): readonly UpstreamReport[] {
		const upstreams = this.#services.get(service)?.upstreams.values().toArray() ?? [];
		return upstreams.map(upstream => ({
			upstream: upstream.candidate.upstream,
			failureDomain: upstream.candidate.failureDomain,
			taken: upstream.heldSlots.size,
			slots: upstream.candidate.slots,
			doubt: getDoubt(upstream, now),
			isSuspended: isSuspended(upstream, now),
			isDraining: upstream.candidate.isDraining || upstream.isDraining,
			hostsBackingOff: listBackoffs(upstream, now).map(({host}) => host),
			rateLimit: upstream.rateLimit?.getRatePerSecond(),
		}));
	}

	listIdleUpstreams(name: core.ServiceName, now: number): readonly IdleUpstream[] {
		const service = this.#services.get(name);
		return service === undefined ? [] : listIdleUpstreams(service, now);
	}

	/**
	Under load a move would take a slot from who was sent nowhere yet, and throw away what was worked so far: it never waits, and costs
	the budget nothing when it is refused.
	*/
	#moveOrRefuse(service: Service, request: SlotRequest, now: number): Effect {
		const choice = service.queue.length > 0
			? undefined
			: choose(listFreeUpstreams(service, now), request, this.#createChoiceContext(service, {
				now, queuedAt: now, needsIdleUpstreams: needsIdleUpstreams(service, now),
			}));
		if (choice === undefined) {
			return refuse(request, 'no-slot-in-time', service.policy.retryAfterLeastMilliseconds);
		}

		return service.budget.consumeResend(now)
			? this.#grant(service, request, choice, now)
			: refuse(request, 'budget', service.policy.retryAfterLeastMilliseconds);
	}

	#createChoiceContext(
		{upstreams, policy}: Service,
		{queuedAt, now, ...known}: Pick<ChoiceContext, 'now' | 'needsIdleUpstreams'> & {readonly queuedAt: number},
	): ChoiceContext {
		return {
			...known, now, random: this.#settings.random, waitedMilliseconds: now - queuedAt, known: upstreams, policy,
		};
	}

	#getService(name: core.ServiceName): Service {
		const service: Service = this.#services.get(name) ?? {
			name,
			upstreams: new Map(),
			queue: [],
			usualMillisecondsByRoute: new Map(),
			policy: this.#settings.policy ?? DEFAULT_POLICY,
			shortfall: createShortfall(),
			budget: createBudget(this.#settings.budget, this.#settings.policy ?? DEFAULT_POLICY),
			lastIdempotentAt: -Infinity,
			unpublishedDraining: new Set(),
			rateLimits: new ServiceRateLimits({getShare: this.#settings.getShare ?? (() => 1), random: this.#settings.random}),
		};
		this.#services.set(name, service);
		return service;
	}

	#grant(service: Service, request: SlotRequest, {upstream, isTrial}: Choice, now: number): Effect {
		const heldSlot: HeldSlot = {
			id: request.id,
			host: request.host,
			service: service.name,
			upstream: upstream.candidate.upstream,
			route: request.route,
			request,
			grantedAt: now,
			deadlineAt: now + request.remainingMilliseconds,
			usualMilliseconds: getUsualMilliseconds(service, request),
			isTrial,
		};
		this.#heldSlots.set(heldSlot.id, heldSlot);
		upstream.heldSlots.set(heldSlot.id, heldSlot);
		upstream.lastGrantedAt = now;
		service.rateLimits.consume(upstream, 1, now);
		return {
			kind: 'grant', request, upstream: heldSlot.upstream, address: upstream.candidate.address, isTrial,
		};
	}

	#liftRateLimit({name, rateLimits}: Service, upstream: Upstream, heldSlot: HeldSlot): readonly Effect[] {
		const ratePerSecondBefore = upstream.rateLimit?.getRatePerSecond();
		return rateLimits.lift(upstream, heldSlot.grantedAt)
			? [{
				kind: 'rate-limit', service: name, upstream: heldSlot.upstream, ratePerSecondBefore,
			}]
			: [];
	}

	#releaseSlot(heldSlot: HeldSlot): void {
		this.#heldSlots.delete(heldSlot.id);
		const upstreams = this.#services.get(heldSlot.service)?.upstreams;
		const upstream = upstreams?.get(heldSlot.upstream);
		upstream?.heldSlots.delete(heldSlot.id);
	}

	#waitOrRefuse(service: Service, {request, queueKey}: QueuedRequest, now: number): readonly Effect[] {
		const slots = countUsableSlots(service, request, now);
		const usual = getUsualMilliseconds(service, request);
		// Itself included.
		const wait = slots === 0 ? getBackoffDelay(service, request, now) : countQueuedUntil(service, queueKey) * usual / slots;
		const {missedPart, objectivePart} = service.policy;
		const counted = isObjectiveMissed(service, request) ? missedPart : 1;
		const isInObjective = request.isResend || (wait + (usual * objectivePart)) * counted <= request.objectiveMilliseconds;
		if (isInObjective && wait + (usual * service.policy.worthwhilePart) <= request.remainingMilliseconds) {
			return [];
		}

		this.#dequeue(service, request.id);
		return this.#useFallbackOrRefuse(service, request, {now, wait, slots});
	}

	/**
	Ejecting must never leave less than the floor: below it, what is suspended is better than a refusal. For a first attempt that may be repeated it
	always is: it finds out, and moves when it hangs.
	*/
	#useFallbackOrRefuse(
		service: Service,
		request: SlotRequest,
		{now, wait, slots}: {readonly now: number; readonly wait: number; readonly slots: number},
	): readonly Effect[] {
		const mayExplore = core.isIdempotent(request.requestClass)
			&& !request.isResend
			&& request.remainingMilliseconds >= getUsualMilliseconds(service, request) * service.policy.worthwhilePart;
		const mayUseSuspended = mayExplore || isBelowFloor(service, this.#settings.floor, now);
		const choice = mayUseSuspended ? chooseFallback(service.upstreams.values(), request, now) : undefined;
		if (choice !== undefined) {
			return [this.#grant(service, request, choice, now)];
		}

		service.shortfall.recordFailure(now);
		const advice = Number.isFinite(wait) ? wait : request.remainingMilliseconds / 4;
		const retryAfter = Math.max(service.policy.retryAfterLeastMilliseconds, Math.min(advice, request.remainingMilliseconds / 3));
		return [refuse(request, slots === 0 ? 'no-upstream' : 'no-slot-in-time', retryAfter)];
	}

	#enqueue(service: Service, request: SlotRequest, now: number): QueuedRequest {
		const queued: QueuedRequest = {
			request, queueKey: getQueueKey(service, request, now), queuedAt: now, deadlineAt: now + request.remainingMilliseconds,
		};
		service.queue.splice(countQueuedUntil(service, queued.queueKey), 0, queued);
		this.#queuedServices.set(request.id, service);
		return queued;
	}

	#dequeue(service: Service, id: SlotRequestId): SlotRequest | undefined {
		this.#queuedServices.delete(id);
		const index = service.queue.findIndex(queued => queued.request.id === id);
		return index === -1 ? undefined : service.queue.splice(index, 1)[0]!.request;
	}

	/**
	Grants what can be granted, by turn. A trial takes no slot from those who wait, so it comes first. Under overload no slot is free, and hundreds
	wait: so the upstreams with a free slot are listed once, and only the first of those who wait are looked at.
	*/
	#serveQueue(service: Service, now: number): readonly Effect[] {
		const effects: Effect[] = [];
		let free = listFreeUpstreams(service, now);
		let dueTrials = listTrialUpstreams(service, now);
		const context = {now, needsIdleUpstreams: needsIdleUpstreams(service, now)};
		for (const queued of service.queue.slice(0, MAX_QUEUE_SCAN)) {
			if (free.length === 0 && dueTrials.length === 0) {
				break;
			}

			const request = {...queued.request, remainingMilliseconds: queued.deadlineAt - now};
			const choice = chooseTrial(dueTrials, request, createTrialContext(service, now, {...context, isFull: free.length === 0}))
				?? choose(free, request, this.#createChoiceContext(service, {...context, queuedAt: queued.queuedAt}));
			if (choice === undefined) {
				continue;
			}

			this.#dequeue(service, request.id);
			effects.push(this.#grant(service, request, choice, now));
			free = free.filter(upstream => hasCapacity(upstream, now));
			dueTrials = dueTrials.filter(upstream => hasCapacity(upstream, now));
		}

		return effects;
	}

	/**
	Refuses the asks that nothing can take any more, since upstreams leave or their host backs off.
	*/
	#refuseUnservable(service: Service, causes: ReadonlyArray<Pick<core.Advertisement, 'kind'>>, now: number): readonly Effect[] {
		if (causes.every(({kind}) => kind === 'rate-limit')) {
			return [];
		}

		return service.queue
			.filter(({request}) => !hasUsableUpstream(service, request, now))
			.flatMap(queued => this.#waitOrRefuse(service, {...queued, request: {...queued.request, remainingMilliseconds: queued.deadlineAt - now}}, now));
	}

	/**
	Refuses what can no longer be answered in time.
	*/
	#refuseExpiring(service: Service, now: number): readonly Effect[] {
		const late = service.queue.filter(queued => isDeadlineUnreachable(service, queued, now));
		return late.flatMap(({request, deadlineAt}) => {
			this.#dequeue(service, request.id);
			const remainingRequest = {...request, remainingMilliseconds: deadlineAt - now};
			return this.#useFallbackOrRefuse(service, remainingRequest, {now, wait: Infinity, slots: 1});
		});
	}
}

/**
Endings of a request that something may have come of, so that its caller gets no answer or a bad one.
*/
const FAILURE_ENDINGS: ReadonlySet<Ending> = new Set(['error', 'reset', 'timeout']);

function refuse(request: SlotRequest, reason: RefusalReason, retryAfterMilliseconds: number): Effect {
	return {
		kind: 'refuse', request, reason, retryAfterMilliseconds,
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
