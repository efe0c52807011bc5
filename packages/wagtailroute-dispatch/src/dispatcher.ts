/**
Dispatcher: grants the slots of backend servers to requests, one at a time, for all entry hosts that request them from it.

An entry host with a few requests per second can neither find the free slot among hundreds nor distinguish a failing upstream from a healthy one. A
dispatcher receives all requests of a service: each is granted a free slot, is queued for the next one, or is refused at once when none can become
free in time. What one request showed about its upstream counts in the choice for all later ones.

A dispatcher keeps no durable state. When it fails, another host's dispatcher replaces it, to which the entry hosts report the requests in progress.
*/
import * as core from 'wagtailroute-core';
import {
	applyUpdate,
	flushUpdates,
	listUpdates,
	recordAdvertisement,
} from './advertisements.ts';
import {
	type Candidate,
	type Effect,
	type Ending,
	type HeldSlotReport,
	type Outcome,
	type RefusalReason,
	type SlotRequest,
	type SlotRequestId,
	type UpstreamUpdate,
} from './slot-requests.ts';
import {type BudgetReport, createBudget} from './budget.ts';
import {
	type Choice,
	type ChoiceContext,
	choose,
	chooseFallback,
} from './choosing.ts';
import {
	HELD_SLOT_GRACE_MILLISECONDS,
	MAX_QUEUE_SCAN,
} from './constants.ts';
import type {Dispatcher, DispatcherSettings, UpstreamReport} from './dispatcher-types.ts';
import {DomainWait, type WaitingRequest} from './domain-wait.ts';
import {QueueScan} from './queue-scan.ts';
import {type IdleUpstream, listIdleUpstreams} from './idle-upstreams.ts';
import {getRetryAfter, type OrderedEntry, OrderedQueue} from './order/index.ts';
import {DEFAULT_POLICY} from './policy.ts';
import {
	createCheapExplorers,
	describeResponse,
	getResponseBytes,
	recordExplorer,
	recordResponseBytes,
} from './response-bytes.ts';
import {createShortfall} from './shortfall.ts';
import {ServiceRateLimits} from './service-rate-limits.ts';
import {
	countQueuedUntil,
	countServingSlots,
	countUsableSlots,
	getBackoffDelay,
	getQueueKey,
	getTrialDelay,
	getUsualMilliseconds,
	hasUsableUpstream,
	isBelowFloor,
	isDeadlineUnreachable,
	isObjectiveMissed,
	needsIdleUpstreams,
	type QueuedRequest,
	recordUsualMilliseconds,
	type Service,
} from './services.ts';
import {
	applyEnding,
	applyReportedDoubt,
	createHeldSlot,
	createUpstream,
	decayDoubt,
	getBackoff,
	getDoubt,
	type HeldSlot,
	isSuspended,
	listBackoffs,
	recordResponseTime,
	type Upstream,
} from './upstreams.ts';
import {createUpstreamIndex, type UpstreamCounts, type UpstreamIndex} from './upstream-index.ts';

/**
Creates a dispatcher without services or upstreams.

@param createIndex Creates the index of a service's upstreams; tests replace it.
*/
export function createDispatcher(settings: DispatcherSettings, createIndex: () => UpstreamIndex = createUpstreamIndex): Dispatcher {
	return new SlotDispatcher(settings, createIndex);
}

class SlotDispatcher implements Dispatcher {
	readonly #settings: DispatcherSettings;
	readonly #services = new Map<core.ServiceName, Service>();
	readonly #heldSlots = new Map<SlotRequestId, HeldSlot>();
	/**
	Services of the queued requests, by id of the request.
	*/
	readonly #servicesByQueuedId = new Map<SlotRequestId, Service>();

	readonly #createIndex: () => UpstreamIndex;

	constructor(settings: DispatcherSettings, createIndex: () => UpstreamIndex) {
		this.#settings = settings;
		this.#createIndex = createIndex;
	}

	requestSlot(received: SlotRequest, now: number): readonly Effect[] {
		const service = this.#getService(received.service);
		this.#recordRequest(service, now);
		const order = this.#getOrder(service, now);
		const request = order === undefined ? received : normalize(received, order.normalizePriority(received.priority, now));
		order?.recordPriority(request.priority, now);
		if (request.isMove) {
			return [this.#moveOrRefuse(service, request, now)];
		}

		if (request.isResend) {
			if (!service.budget.consumeResend(now, order?.isLowestOfSeveral(request.priority, now))) {
				return [refuse(request, 'budget', service.policy.retryAfterLeastMilliseconds)];
			}
		} else if (request.isAgain !== true) {
			// Counted at each dispatcher that its entry host turned to, one request would earn several resends.
			service.budget.countRequest(now);
			service.shortfall.recordRequest(now);
		}

		if (core.isIdempotent(request.requestClass)) {
			service.lastIdempotentAt = now;
			// A resend is never a trial.
			if (!request.isResend) {
				recordExplorer(service, request, now);
			}
		}

		const queued = this.#enqueue(service, request, now);
		const effects = this.#serveQueue(service, now);
		const ownEffects = this.#servicesByQueuedId.has(request.id) ? this.#waitOrRefuse(service, queued, now) : [];
		return [...effects, ...ownEffects, ...this.#refuseMissing(service, now)];
	}

	recordRefused(name: core.ServiceName, now: number): void {
		const {shortfall} = this.#getService(name);
		shortfall.recordRequest(now);
		shortfall.recordFailure(now);
	}

	cancel(id: SlotRequestId, now: number): SlotRequest | undefined {
		const service = this.#servicesByQueuedId.get(id);
		const request = service && this.#dequeue(service, id);
		if (request?.isResend === true) {
			service!.budget.refundResend(now);
		}

		return request;
	}

	findGrantedRequest(id: SlotRequestId): SlotRequest | undefined {
		return this.#heldSlots.get(id)?.request;
	}

	end(id: SlotRequestId, {ending, milliseconds, responseBytes}: Outcome, now: number): readonly Effect[] {
		const heldSlot = this.#heldSlots.get(id);
		if (heldSlot === undefined) {
			return [];
		}

		const service = this.#getService(heldSlot.service);
		const upstream = service.upstreams.get(heldSlot.upstream);
		this.#releaseSlot(heldSlot, now);
		if (ending !== 'unused') {
			service.order?.releaseSpeed.record(heldSlot.usualMilliseconds, now - heldSlot.grantedAt, now);
		}

		if (ending === 'unused' && heldSlot.request?.isResend === true) {
			service.budget.refundResend(now);
		}

		recordResponseBytes(service, heldSlot.route, responseBytes);
		const effects: Effect[] = [];
		if (upstream !== undefined) {
			const wasSuspended = isSuspended(upstream, now);
			applyEnding(upstream, heldSlot, ending, now);
			// Failed trials must not count as a shortfall: they would cause more trials.
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

			service.index.refresh(upstream, now);
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

		return [...effects, ...this.#serveQueue(service, now), ...this.#refuseMissing(service, now)];
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
		service.index.refresh(upstream, now);
		return [...effects, ...this.#refuseUnservable(service, advertisements, now)];
	}

	applyUpdates(name: core.ServiceName, updates: readonly UpstreamUpdate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		for (const update of updates) {
			const upstream = service.upstreams.get(update.upstream);
			if (upstream === undefined) {
				continue;
			}

			applyUpdate(service, upstream, update, now);
			service.index.refresh(upstream, now);
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

	replaceHeldSlots(host: core.HostId, service: core.ServiceName, reports: readonly HeldSlotReport[], now: number): void {
		for (const heldSlot of this.#heldSlots.values().filter(other => other.host === host && other.service === service)) {
			this.#releaseSlot(heldSlot, now);
		}

		const knownService = this.#getService(service);
		for (const report of reports) {
			const upstream = knownService.upstreams.get(report.upstream);
			const heldSlot = createHeldSlot(report, knownService.usualMillisecondsByRoute.get(report.route) ?? (report.ageMilliseconds + report.remainingMilliseconds), now);
			// A host that divides a service reports slots that another record of this dispatcher granted.
			const known = this.#heldSlots.get(heldSlot.id);
			if (known !== undefined) {
				this.#releaseSlot(known, now);
			}

			this.#heldSlots.set(heldSlot.id, heldSlot);
			if (upstream === undefined) {
				continue;
			}

			upstream.heldSlots.set(heldSlot.id, heldSlot);
			knownService.index.refresh(upstream, now);
		}
	}

	setCandidates(name: core.ServiceName, candidates: readonly Candidate[], now: number): readonly Effect[] {
		const service = this.#getService(name);
		const candidateIds = new Set(candidates.map(candidate => candidate.upstream));
		for (const [id, upstream] of service.upstreams) {
			// Its held slots are kept, so that the endings of their requests are still recorded.
			if (!candidateIds.has(id) && upstream.heldSlots.size === 0) {
				service.rateLimits.remove(upstream);
				service.upstreams.delete(id);
				service.index.remove(upstream);
			} else if (!candidateIds.has(id)) {
				upstream.candidate = {...upstream.candidate, isDraining: true};
				service.index.refresh(upstream, now);
			}
		}

		for (const candidate of candidates) {
			const existing = service.upstreams.get(candidate.upstream);
			if (existing === undefined) {
				const upstream = createUpstream(candidate, service.policy, now);
				service.upstreams.set(candidate.upstream, upstream);
				service.index.add(upstream, now);
			} else {
				// A heartbeat with a new address, after the answer of another instance, means that the upstream has an address of its own again.
				existing.isMisdirected &&= core.formatAddress(existing.candidate.address) === core.formatAddress(candidate.address);
				existing.candidate = candidate;
				service.index.refresh(existing, now);
			}
		}

		updateSlots(service, now);
		return [...this.#serveQueue(service, now), ...this.#refuseMissing(service, now)];
	}

	setDoubt(name: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number): void {
		const service = this.#services.get(name);
		const known = service?.upstreams.get(upstream);
		if (service === undefined || known === undefined) {
			return;
		}

		applyReportedDoubt(known, doubt, now);
		service.index.refresh(known, now);
	}

	raiseDoubt(
		name: core.ServiceName,
		upstream: core.UpstreamId,
		{doubt, ageMilliseconds}: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	): void {
		const service = this.#services.get(name);
		const known = service?.upstreams.get(upstream);
		const remainingDoubt = known === undefined ? 0 : decayDoubt(known.policy, doubt, ageMilliseconds);
		if (service === undefined || known === undefined || remainingDoubt <= getDoubt(known, now)) {
			return;
		}

		applyReportedDoubt(known, remainingDoubt, now);
		service.index.refresh(known, now);
	}

	tick(now: number): readonly Effect[] {
		for (const heldSlot of this.#heldSlots.values().filter(other => other.deadlineAt + HELD_SLOT_GRACE_MILLISECONDS < now)) {
			this.#releaseSlot(heldSlot, now);
		}

		return this.#services.values().flatMap(service => {
			this.#getOrder(service, now);
			updateSlots(service, now);
			return [...this.#serveQueue(service, now), ...this.#refuseExpiring(service, now), ...this.#refuseMissing(service, now)];
		}).toArray();
	}

	estimateWait(id: SlotRequestId, now: number): number | undefined {
		const service = this.#servicesByQueuedId.get(id);
		const entry = service?.order?.find(id);
		if (entry !== undefined) {
			return service!.order!.getExpectedWait(entry, now);
		}

		const queued = service?.queue.find(({request}) => request.id === id);
		return service === undefined || queued === undefined
			? undefined
			: countQueuedUntil(service, queued.queueKey) * getUsualMilliseconds(service, queued.request) / countUsableSlots(service, queued.request, now);
	}

	countWaiting(): number {
		return this.#servicesByQueuedId.size;
	}

	isBusy(): boolean {
		return this.#servicesByQueuedId.size > 0 || this.#heldSlots.size > 0;
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

	countUpstreams(name: core.ServiceName, host: core.HostId, now: number): UpstreamCounts & {readonly backingOff: number} {
		const index = this.#services.get(name)?.index ?? this.#createIndex();
		return {...index.count(now), backingOff: index.listBackingOff(now).filter(upstream => getBackoff(upstream, host, now) > 0).length};
	}

	reportBudget(service: core.ServiceName, now: number): BudgetReport | undefined {
		return this.#services.get(service)?.budget.report(now);
	}

	listIdleUpstreams(name: core.ServiceName, now: number): readonly IdleUpstream[] {
		const service = this.#services.get(name);
		return service === undefined ? [] : listIdleUpstreams(service, now);
	}

	/**
	Records a request for the rate limits. When the share of this dispatcher changed, so did all rates.
	*/
	#recordRequest({rateLimits, upstreams, index}: Service, now: number): void {
		if (!rateLimits.recordRequest(now)) {
			return;
		}

		for (const upstream of upstreams.values().filter(({rateLimit}) => rateLimit !== undefined)) {
			index.refresh(upstream, now);
		}
	}

	/**
	Grants a free slot to a request that is in progress elsewhere, or refuses it. It is never queued: under load it would take a slot from a request
	that was not sent yet, and discard the work done so far. A refusal uses none of the retry budget.
	*/
	#moveOrRefuse(service: Service, request: SlotRequest, now: number): Effect {
		const choice = service.queue.length > 0 || (service.order?.size ?? 0) > 0
			? undefined
			: this.#choose(service, request, 0, now);
		if (choice === undefined) {
			return refuse(request, 'no-slot-in-time', service.policy.retryAfterLeastMilliseconds);
		}

		return service.budget.consumeResend(now, service.order?.isLowestOfSeveral(request.priority, now))
			? this.#grant(service, request, choice, now)
			: refuse(request, 'budget', service.policy.retryAfterLeastMilliseconds);
	}

	/**
	Chooses an upstream for a request that doesn't wait in the queue any longer.
	*/
	#choose(service: Service, request: SlotRequest, queuedMilliseconds: number, now: number): Choice | undefined {
		return choose(request, {
			...this.#createChoiceContext(service, now),
			queuedMilliseconds,
			usualMilliseconds: getUsualMilliseconds(service, request),
			response: describeResponse(service, request, now),
		});
	}

	#createChoiceContext(service: Service, now: number): Omit<ChoiceContext, keyof WaitingRequest> {
		const {index, policy} = service;
		return {
			now,
			random: this.#settings.random,
			index,
			domainWait: new DomainWait({now, index, policy}),
			needsIdleUpstreams: needsIdleUpstreams(service, now),
		};
	}

	#getService(name: core.ServiceName): Service {
		const service: Service = this.#services.get(name) ?? {
			name,
			upstreams: new Map(),
			index: this.#createIndex(),
			queue: [],
			usualMillisecondsByRoute: new Map(),
			responseBytesByRoute: new Map(),
			cheapExplorers: createCheapExplorers(),
			policy: this.#settings.policy ?? DEFAULT_POLICY,
			shortfall: createShortfall(),
			budget: createBudget(this.#settings.budget, this.#settings.policy ?? DEFAULT_POLICY, now => this.#settings.getBudgetShare?.(now, name) ?? 1),
			lastIdempotentAt: -Infinity,
			unpublishedDraining: new Set(),
			rateLimits: new ServiceRateLimits({getShare: now => this.#settings.getShare?.(now, name) ?? 1, random: this.#settings.random}),
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
		service.index.refresh(upstream, now);
		return {
			kind: 'grant',
			request,
			upstream: heldSlot.upstream,
			address: upstream.candidate.address,
			isTrial,
			isCrossing: upstream.candidate.failureDomain !== request.failureDomain,
			expectedResponseBytes: getResponseBytes(service, request),
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

	#releaseSlot(heldSlot: HeldSlot, now: number): void {
		this.#heldSlots.delete(heldSlot.id);
		const service = this.#services.get(heldSlot.service);
		const upstream = service?.upstreams.get(heldSlot.upstream);
		if (service === undefined || upstream === undefined) {
			return;
		}

		upstream.heldSlots.delete(heldSlot.id);
		service.index.refresh(upstream, now);
	}

	#waitOrRefuse(service: Service, queued: QueuedRequest | OrderedEntry, now: number): readonly Effect[] {
		if (!('queueKey' in queued)) {
			return this.#waitOrRefuseOrdered(service, queued, now);
		}

		const {request, queueKey} = queued;
		const slots = countUsableSlots(service, request, now);
		const usual = getUsualMilliseconds(service, request);
		// The count includes the request itself.
		const wait = slots === 0 ? getBackoffDelay(service, request, now) : countQueuedUntil(service, queueKey) * usual / slots;
		const {missedPart, objectivePart} = service.policy;
		const objectiveWeight = isObjectiveMissed(service, request) ? missedPart : 1;
		const isInObjective = request.isResend || (wait + (usual * objectivePart)) * objectiveWeight <= request.objectiveMilliseconds;
		if (isInObjective && wait + (usual * service.policy.worthwhilePart) <= request.remainingMilliseconds) {
			return [];
		}

		this.#dequeue(service, request.id);
		return this.#useFallbackOrRefuse(service, request, {now, wait, slots});
	}

	/**
	Grants a slot of a suspended upstream, or refuses the request. Below the floor, a suspended upstream is better than a refusal. For a first attempt
	of an idempotent request it always is: the request finds out the state of the upstream, and is moved if it hangs. Above the floor, a large response
	doesn't cross failure domains for that while cheaper requests come.
	*/
	#useFallbackOrRefuse(
		service: Service,
		request: SlotRequest,
		{now, wait, slots, ordered}: {
			readonly now: number;
			readonly wait: number;
			readonly slots: number;
			readonly ordered?: {readonly entry: OrderedEntry; readonly isDisplaced: boolean};
		},
	): readonly Effect[] {
		const mayExplore = core.isIdempotent(request.requestClass)
			&& !request.isResend
			&& request.remainingMilliseconds >= getUsualMilliseconds(service, request) * service.policy.worthwhilePart;
		const isFloorReached = isBelowFloor(service, this.#settings.floor, now);
		const {isLeftToOthers} = describeResponse(service, request, now);
		const choice = mayExplore || isFloorReached
			? chooseFallback(service.index, request, now, failureDomain => isFloorReached || !isLeftToOthers(failureDomain))
			: undefined;
		if (choice !== undefined) {
			return [this.#grant(service, request, choice, now)];
		}

		if (request.isResend) {
			service.budget.refundResend(now);
		}

		service.shortfall.recordFailure(now);
		const reason = slots === 0 ? 'no-upstream' : 'no-slot-in-time';
		if (ordered !== undefined) {
			const capacityDelay = slots === 0 ? Math.min(wait, getTrialDelay(service, now)) : service.order!.getDrainMilliseconds(ordered.entry, now);
			const drainMilliseconds = Number.isFinite(wait) ? Math.max(wait, capacityDelay) : capacityDelay;
			const retryAfterMilliseconds = getRetryAfter({
				drainMilliseconds, remainingMilliseconds: request.remainingMilliseconds, leastMilliseconds: service.policy.retryAfterLeastMilliseconds,
			}, this.#settings.random());
			return [{
				...refuse(request, reason, retryAfterMilliseconds),
				...Number.isFinite(wait) && {expectedWaitMilliseconds: wait},
				...ordered.isDisplaced && {isDisplaced: true},
			}];
		}

		const expectedWait = Number.isFinite(wait) ? wait : request.remainingMilliseconds / 4;
		const retryAfter = Math.max(service.policy.retryAfterLeastMilliseconds, Math.min(expectedWait, request.remainingMilliseconds / 3));
		return [refuse(request, reason, retryAfter)];
	}

	/**
	Returns the ordered queue of a service; undefined while requests are not ordered by cost. Once it is in use, it stays.
	*/
	#getOrder(service: Service, now: number): OrderedQueue | undefined {
		if (service.order !== undefined || this.#settings.isOrderedByCost?.() !== true) {
			return service.order;
		}

		service.order = new OrderedQueue(service.policy.orderWorkSteps);
		for (const {request, queuedAt, deadlineAt} of service.queue.splice(0)) {
			this.#addOrdered(service, {
				request, queuedAt, deadlineAt, isLate: isLate(service, request),
			}, now);
		}

		return service.order;
	}

	#addOrdered(service: Service, queued: Pick<OrderedEntry, 'request' | 'queuedAt' | 'deadlineAt' | 'isLate'>, now: number): OrderedEntry {
		return service.order!.add({...queued, work: getUsualMilliseconds(service, queued.request), worthwhilePart: service.policy.worthwhilePart}, now);
	}

	#waitOrRefuseOrdered(service: Service, entry: OrderedEntry, now: number): readonly Effect[] {
		const slots = countUsableSlots(service, entry.request, now);
		if (slots > 0) {
			service.order!.setSlots(slots);
		}

		const wait = slots === 0 ? getBackoffDelay(service, entry.request, now) : service.order!.getExpectedWait(entry, now);
		const isFirstInTime = !entry.isLate && !entry.request.isResend;
		// Half of the slack at most: a tight objective must not refuse urgent requests that the next slot would serve.
		const margin = isFirstInTime ? Math.max(0, Math.min(entry.work * (service.policy.objectivePart - 1), (entry.startBy - now) / 2)) : 0;
		if (now + wait + margin <= entry.startBy) {
			return [];
		}

		if (isFirstInTime && entry.isReturning) {
			service.order!.remove(entry.request.id);
			return this.#waitOrRefuseOrdered(service, this.#addOrdered(service, {...entry, isLate: true}, now), now);
		}

		return this.#refuseOrdered(service, entry, {
			now, wait, slots, isDisplaced: entry.queuedAt < now,
		});
	}

	/**
	Refuses a queued request, unless a slot is free that it left to others so far, for example one in another failure domain.
	*/
	#refuseOrdered(
		service: Service,
		entry: OrderedEntry,
		{now, wait, slots, isDisplaced}: {readonly now: number; readonly wait: number; readonly slots: number; readonly isDisplaced: boolean},
	): readonly Effect[] {
		const request = {...entry.request, remainingMilliseconds: entry.deadlineAt - now};
		const choice = request.remainingMilliseconds > 0
			? this.#choose(service, request, Infinity, now)
			: undefined;
		this.#dequeue(service, request.id, choice === undefined ? undefined : now);
		return choice === undefined
			? this.#useFallbackOrRefuse(service, request, {
				now, wait, slots, ordered: {entry, isDisplaced},
			})
			: [this.#grant(service, request, choice, now)];
	}

	/**
	Refuses the queued requests that can't be served in time any more. One that has missed its objective although the plan said otherwise, or that has
	come back after a refusal, waits on behind those that are in time.
	*/
	#refuseMissing(service: Service, now: number): readonly Effect[] {
		const {order} = service;
		if (order === undefined) {
			return [];
		}

		const servingSlots = countServingSlots(service, now);
		if (servingSlots > 0) {
			order.setServingSlots(servingSlots);
		}

		const effects: Effect[] = [];
		for (const {entry, wait} of order.listMissing(now)) {
			if (entry.isLate || entry.request.isResend || (now <= entry.startBy && !entry.isReturning)) {
				effects.push(...this.#refuseOrdered(service, entry, {
					now, wait, slots: 1, isDisplaced: entry.queuedAt < now,
				}));
			} else {
				order.remove(entry.request.id);
				this.#addOrdered(service, {...entry, isLate: true}, now);
			}
		}

		order.releaseSpeed.setQueued(order.size > 0, now);
		return effects;
	}

	#enqueue(service: Service, request: SlotRequest, now: number): QueuedRequest | OrderedEntry {
		if (service.order !== undefined) {
			this.#servicesByQueuedId.set(request.id, service);
			return this.#addOrdered(service, {
				request, queuedAt: now, deadlineAt: now + request.remainingMilliseconds, isLate: isLate(service, request),
			}, now);
		}

		const queued: QueuedRequest = {
			request, queueKey: getQueueKey(service, request, now), queuedAt: now, deadlineAt: now + request.remainingMilliseconds,
		};
		service.queue.splice(countQueuedUntil(service, queued.queueKey), 0, queued);
		this.#servicesByQueuedId.set(request.id, service);
		return queued;
	}

	/**
	Removes a request from the queue.

	@param grantedAt Time at which it was granted a slot; absent when it is not served here.
	*/
	#dequeue(service: Service, id: SlotRequestId, grantedAt?: number): SlotRequest | undefined {
		this.#servicesByQueuedId.delete(id);
		if (service.order !== undefined) {
			return grantedAt === undefined ? service.order.remove(id)?.request : service.order.grant(id, grantedAt)?.request;
		}

		const index = service.queue.findIndex(queued => queued.request.id === id);
		return index === -1 ? undefined : service.queue.splice(index, 1)[0]!.request;
	}

	/**
	Grants slots to queued requests in the order of the queue. Trials come first, since they take no slot that queued requests could use. Under
	overload no slot is free and hundreds of requests are queued, so the upstreams with a free slot are listed once, and only the head of the queue is
	examined.
	*/
	#serveQueue(service: Service, now: number): readonly Effect[] {
		const effects: Effect[] = [];
		if ((service.order?.size ?? service.queue.length) === 0) {
			return effects;
		}

		const scan = new QueueScan(service, this.#createChoiceContext(service, now));
		for (const queued of service.order?.generateNext(MAX_QUEUE_SCAN, now) ?? service.queue.slice(0, MAX_QUEUE_SCAN)) {
			if (scan.isOver()) {
				break;
			}

			const choice = scan.choose(queued.request, now - queued.queuedAt);
			if (choice === undefined) {
				continue;
			}

			const request = {...queued.request, remainingMilliseconds: queued.deadlineAt - now};
			this.#dequeue(service, request.id, now);
			effects.push(this.#grant(service, request, choice, now));
		}

		return effects;
	}

	/**
	Refuses the queued requests for which no upstream is usable any more, after upstreams started to drain or advertised a backoff.
	*/
	#refuseUnservable(service: Service, causes: ReadonlyArray<Pick<core.Advertisement, 'kind'>>, now: number): readonly Effect[] {
		if (causes.every(({kind}) => kind === 'rate-limit')) {
			return [];
		}

		const waiting: ReadonlyArray<QueuedRequest | OrderedEntry> = service.order?.list() ?? service.queue;
		return waiting
			.filter(({request}) => !hasUsableUpstream(service, request, now))
			.flatMap(queued => this.#waitOrRefuse(service, {...queued, request: {...queued.request, remainingMilliseconds: queued.deadlineAt - now}}, now));
	}

	/**
	Refuses the queued requests that can no longer be answered before their deadline.
	*/
	#refuseExpiring(service: Service, now: number): readonly Effect[] {
		if (service.order !== undefined) {
			return service.order.list().filter(entry => isDeadlineUnreachable(service, entry, now)).flatMap(entry => this.#refuseOrdered(service, entry, {
				now, wait: Infinity, slots: 1, isDisplaced: true,
			}));
		}

		const expiring = service.queue.filter(queued => isDeadlineUnreachable(service, queued, now));
		return expiring.flatMap(({request, deadlineAt}) => {
			this.#dequeue(service, request.id);
			const remainingRequest = {...request, remainingMilliseconds: deadlineAt - now};
			return this.#useFallbackOrRefuse(service, remainingRequest, {now, wait: Infinity, slots: 1});
		});
	}
}

/**
Endings after which the request may have run and its caller gets no answer or an error.
*/
const FAILURE_ENDINGS: ReadonlySet<Ending> = new Set(['error', 'reset', 'timeout']);

/**
Updates the number of slots by which the waits of queued requests are estimated. While no upstream is usable, the observed release of slots decides.
*/
function updateSlots(service: Service, now: number): void {
	const first = service.order?.getFirst();
	const slots = first === undefined ? 0 : countUsableSlots(service, {...first.request, excluded: []}, now);
	if (slots > 0) {
		service.order!.setSlots(slots);
	}
}

/**
Returns whether a request has waited for so long that it stands behind those that can meet their objective.
*/
function isLate(service: Service, request: SlotRequest): boolean {
	return request.waitedMilliseconds > 0 && isObjectiveMissed(service, request);
}

/**
Returns the request with valid numbers. Without a valid deadline, the latency objective of the route is the limit that is known here.
*/
function normalize(request: SlotRequest, priority: number): SlotRequest {
	const {remainingMilliseconds, waitedMilliseconds} = request;
	const isValid = priority === request.priority && Number.isFinite(remainingMilliseconds) && Number.isFinite(waitedMilliseconds);
	return isValid
		? request
		: {
			...request,
			priority,
			remainingMilliseconds: Number.isFinite(remainingMilliseconds) ? remainingMilliseconds : request.objectiveMilliseconds,
			waitedMilliseconds: Number.isFinite(waitedMilliseconds) ? waitedMilliseconds : 0,
		};
}

function refuse(request: SlotRequest, reason: RefusalReason, retryAfterMilliseconds: number): Extract<Effect, {kind: 'refuse'}> {
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
