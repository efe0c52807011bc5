/**
The dispatcher of a host, with the messages, logs and metrics around it. Entry hosts request slots from it over their links. Every host has
one: control hosts dispatch as long as any of them answers, entry hosts when none does.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type * as utils from 'wagtailroute-utils';
import {
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	DISPATCH_TICK_MILLISECONDS,
	MAX_IDLE_UPSTREAMS_LOGGED,
	IDLE_LOG_INTERVAL_MILLISECONDS,
} from './constants.ts';
import {getSlotRequestNumber, encodeAnswer} from './slot-request-encoding.ts';
import type {AllotmentEnforcer} from './allotment-enforcer.ts';
import type {OverloadControl} from './overload-control.ts';
import type {RequestShare} from './request-share.ts';
import type {FleetContext} from './context.ts';
import {createPeerUpdates} from './peer-updates.ts';
import {createPoolDispatcher} from './pools/pool-dispatcher.ts';
import {getPoolKey, type Pool} from './pools/pool-key.ts';
import {createPoolLending, isLent, type PoolLendingOptions} from './pools/pool-lending.ts';
import {
	type SlotAnswer,
	type Belief,
	type SlotDecision,
	type GrantEnd,
	type HandoverReport,
	METHODS,
	type RoomReport,
	type ServiceUpdates,
} from './messages.ts';
import {createRecentRequestingHosts, type RecentRequestingHosts} from './recent-requesting-hosts.ts';
import {createRetryBudgetLog} from './retry-budget-log.ts';
import type {FleetSettings} from './settings.ts';

/**
The dispatcher of a host.
*/
export type HostDispatcher = {
	/**
	Answers a slot request at once. After the answer `wait`, the decision is sent as a message.
	*/
	readonly requestSlot: (request: dispatch.SlotRequest) => SlotAnswer;
	/**
	Withdraws a slot request that waits.

	@param reclaimedMilliseconds Time lent with the request that its host takes back.
	*/
	readonly cancel: (id: dispatch.SlotRequestId, reclaimedMilliseconds?: number) => void;
	/**
	Records how a granted request ended.
	*/
	readonly end: (end: GrantEnd) => void;
	/**
	Records what the answer to a granted request advertises about its upstream.
	*/
	readonly recordAdvertisements: (id: dispatch.SlotRequestId, advertisements: readonly core.Advertisement[]) => void;
	/**
	Applies what answers advertised to another host.
	*/
	readonly applyUpdates: (message: ServiceUpdates) => void;
	/**
	Applies what another dispatcher tells about the free slots of its pools.
	*/
	readonly applyRooms: (rooms: readonly RoomReport[]) => void;
	/**
	Returns everything that upstreams advertise and that is in force, by service.
	*/
	readonly listUpdates: () => readonly ServiceUpdates[];
	/**
	Records what a host reports when it turns to this dispatcher: the slots that it holds and what it knows of the service.
	*/
	readonly applyHandover: (host: core.HostId, report: HandoverReport) => void;
	/**
	Counts against the allotments what other dispatchers admitted of a host's requests, before its first request here.
	*/
	readonly applyPastUsage: (host: core.HostId, uses: readonly allotments.PastUsage[]) => void;
	/**
	Sets the doubt about an upstream that another dispatcher reports.
	*/
	readonly applyBelief: (belief: Belief) => void;
	/**
	Sets the doubts about several upstreams that the dispatcher of a service reports.
	*/
	readonly applyBeliefs: (beliefs: readonly Belief[]) => void;
	/**
	Merges the doubts that a host had some milliseconds ago: for each upstream the higher of the two doubts counts, each as far as it has decayed by now.
	*/
	readonly mergeBeliefs: (beliefs: readonly Belief[], ageMilliseconds?: number) => void;
	/**
	Returns every doubt above 0.
	*/
	readonly listBeliefs: () => readonly Belief[];
	/**
	Returns the state of a service's upstreams, from this dispatcher's own requests and from the reports of others.
	*/
	readonly listUpstreamReports: (service: core.ServiceName) => readonly dispatch.UpstreamReport[];
	/**
	Reads the instances of a service again, if this dispatcher has read them before.
	*/
	readonly refreshCandidates: (service: core.ServiceName) => void;
	readonly teardown: utils.Teardown;
};

/**
What the dispatcher needs of its host.
*/
export type HostDispatcherOptions = {
	readonly settings: Pick<FleetSettings, 'budget' | 'floor' | 'policy'>;
	/**
	Share of the fleet's requests that this dispatcher handles, in all and of each pool.
	*/
	readonly requestShare: RequestShare;
	/**
	Absent: off.
	*/
	readonly overloadControl?: OverloadControl;
	/**
	Whether this host receives what other dispatchers grant, as control hosts do. Otherwise its dispatcher grants only its share of a rate limit.
	*/
	readonly isReceivingUpdates: boolean;
	/**
	Absent: what an organisation sends is not limited.
	*/
	readonly allotmentEnforcer?: Pick<AllotmentEnforcer, 'admit' | 'refund' | 'reclaimTime' | 'applyPastUsage'>;
	/**
	Called with the number of entry hosts that serve callers, when a host reports it.
	*/
	readonly onEntryHostCount?: (hosts: number) => void;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Returns the failure domains with entry hosts; empty when they are not known. Absent: they are never known.
	*/
	readonly listEntryDomains?: () => readonly core.FailureDomain[];
	/**
	Absent: requests are never lent to other pools, as on entry hosts, which receive no reports of their free slots.
	*/
	readonly lending?: Pick<PoolLendingOptions, 'failureDomain' | 'isFirstDispatcher'>;
	/**
	Returns the entry hosts that dispatch the service or the pool next when no control host does. They receive updates even if they send no requests of
	the service.
	*/
	readonly listStandbys: (pool: Pool) => readonly core.HostId[];
	/**
	Sends a message to an entry host, if it has a link.
	*/
	readonly notify: (host: core.HostId, method: string, parameters: unknown) => void;
	/**
	Sends a message to the other control hosts: one of them is the next dispatcher of the service, and each answers directory look-ups.
	*/
	readonly notifyControlHosts: (method: string, parameters: unknown) => void;
};

type EffectHandlers = {
	readonly [Kind in dispatch.Effect['kind']]: (effect: Extract<dispatch.Effect, {kind: Kind}>) => void;
};

/**
Starts the dispatcher.
*/
export function startHostDispatcher(context: FleetContext, options: HostDispatcherOptions): HostDispatcher {
	const {now, random, metrics} = context;
	const log = context.logs('dispatch');
	const {requestShare} = options;
	// Callers may use more entry hosts than the directory names. Shares by hosts alone would then add up to more than one over the pools of a service.
	const getPoolShare = (time: number, key: string) => Math.min(requestShare.getOf(key, time), dispatcher.getMaxShare(key));
	const dispatcher = createPoolDispatcher(dispatch.createDispatcher({
		...options.settings, random, getShare: options.isReceivingUpdates ? undefined : getPoolShare, getBudgetShare: getPoolShare,
		isOrderedByCost: options.overloadControl?.isOn,
	}), options.listEntryDomains ?? (() => []));
	const retryBudgetLog = createRetryBudgetLog(context, key => dispatcher.reportBudget(key, now()));
	const knownServices = new Set<core.ServiceName>();
	const requestingHosts = new Map<core.ServiceName, RecentRequestingHosts>();

	const listRequestingHosts = (service: core.ServiceName) => requestingHosts.get(service)?.list(now()) ?? [];

	const listStandbys = (service: core.ServiceName) => {
		const pools = dispatcher.listPools(service).map((pool): Pool => ({service, pool}));
		return [...new Set([{service}, ...pools].flatMap(pool => options.listStandbys(pool)))];
	};

	const peerUpdates = createPeerUpdates(context, {
		...options, dispatcher, listRequestingHosts, listStandbys,
	});
	const getKey = (pool: Pool) => getPoolKey(dispatcher.resolve(pool));

	const sendDecision = (effect: Decision) => {
		options.notify(effect.request.host, METHODS.answer, [getSlotRequestNumber(effect.request.id), encodeAnswer(toAnswer(effect))]);
	};

	const recordGrant = ({request, isCrossing, expectedResponseBytes}: Extract<dispatch.Effect, {kind: 'grant'}>) => {
		const {service, route} = request;
		peerUpdates.onGranted(service);
		const labels = {service, route, crossing: isCrossing ? 'yes' : 'no'};
		metrics.count('grants_by_route', labels);
		metrics.count('expected_response_bytes', labels, Math.round(expectedResponseBytes));
		if (request.isResend) {
			retryBudgetLog.record(getKey(request), 'granted');
		}
	};

	const effectHandlers: EffectHandlers = {
		grant(effect) {
			recordGrant(effect);
			sendDecision(effect);
		},
		refuse(effect) {
			refundAllotment(effect.request);
			logRefusal(effect);
			sendDecision(effect);
		},
		believe({service, upstream, doubt, isSuspended, cause}) {
			metrics.count('beliefs', {service, state: isSuspended ? 'suspended' : 'readmitted'});
			log.info(isSuspended ? 'Upstream suspended.' : 'Upstream readmitted.', {
				service, upstream, doubt, cause,
			});
			peerUpdates.publishBelief({service, upstream, doubt});
		},
		'rate-limit'({service, upstream, ratePerSecond, ratePerSecondBefore}) {
			metrics.count('rate_limit_changes', {service, state: ratePerSecond === undefined ? 'lifted' : 'changed'});
			log.info(ratePerSecond === undefined ? 'The rate limit of an upstream was lifted.' : 'The rate limit of an upstream changed.', {
				service, upstream, ratePerSecond, ratePerSecondBefore,
			});
			peerUpdates.publishUpdates();
		},
		backoff({service, upstream, host, milliseconds}) {
			metrics.count('closures', {service, cause: 'backoff'});
			log.info('A host started to back off from an upstream.', {
				service, upstream, host, milliseconds,
			});
		},
		draining({service, upstream, host}) {
			metrics.count('closures', {service, cause: 'draining'});
			log.info('An upstream is draining.', {service, upstream, host});
			peerUpdates.publishUpdates();
		},
	};

	const loggedIdleAt = new Map<string, number>();

	/**
	Logs, at most once in an interval, why upstreams get no requests although requests of their service fail.
	*/
	const logIdleUpstreams = ({service, pool}: Pool) => {
		const key = getKey({service, pool});
		if (now() - (loggedIdleAt.get(key) ?? -Infinity) < IDLE_LOG_INTERVAL_MILLISECONDS) {
			return;
		}

		loggedIdleAt.set(key, now());
		const idle = dispatcher.listIdleUpstreams({service, pool}, now());
		if (idle.length === 0) {
			return;
		}

		log.warn('Upstreams are idle although requests of their service fail.', {
			service,
			pool,
			idle: idle.length,
			causes: Object.fromEntries(Map.groupBy(idle, ({cause}) => cause).entries().map(([cause, upstreams]) => [cause, upstreams.length])),
			first: idle.slice(0, MAX_IDLE_UPSTREAMS_LOGGED).map(({upstream, cause, doubt, failedMillisecondsAgo}) => ({
				upstream, cause, doubt: Number(doubt.toFixed(1)), failedMillisecondsAgo: Math.round(failedMillisecondsAgo),
			})),
		});
	};

	const logRefusal = ({request, reason, retryAfterMilliseconds, expectedWaitMilliseconds, isDisplaced}: Extract<dispatch.Effect, {kind: 'refuse'}>) => {
		if (request.isResend) {
			retryBudgetLog.record(getKey(request), reason === 'budget' ? 'refused' : 'unserved');
		}

		metrics.count('refusals', {service: request.service, reason});
		if (isDisplaced === true) {
			metrics.count('displacements', {service: request.service});
		}

		log.warn('A slot request was refused.', {
			id: request.id,
			service: request.service,
			pool: request.pool,
			reason,
			priority: request.priority,
			organisation: request.organisation,
			isDisplaced,
			expectedWaitMilliseconds: expectedWaitMilliseconds === undefined ? undefined : Math.round(expectedWaitMilliseconds),
			remainingMilliseconds: Math.round(request.remainingMilliseconds),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			waiting: dispatcher.countWaiting(),
			...dispatcher.countUpstreams(request, request.host, now()),
			...reason === 'budget' && retryBudgetLog.describe(getKey(request)),
		});
		logIdleUpstreams(request);
	};

	/**
	Refunds what a slot request used of its organisation's allotment, when it is granted no slot or does not use it: a host that turns from one
	dispatcher to the next sends its request to both. A resend uses nothing.
	*/
	const refundAllotment = (request: dispatch.SlotRequest) => {
		if (dispatch.isFirstAttempt(request)) {
			options.allotmentEnforcer?.refund(request);
		}
	};

	const recordRequestingHost = (request: dispatch.SlotRequest) => {
		const {service, host} = request;
		requestShare.record(host, now(), dispatcher.resolve(request));
		const hosts = requestingHosts.get(service) ?? createRecentRequestingHosts(REQUESTING_HOST_EXPIRY_MILLISECONDS);
		requestingHosts.set(service, hosts);
		hosts.record(host, now());
	};

	const applyEffects = (effects: readonly dispatch.Effect[]) => {
		for (const effect of effects) {
			effectHandlers[effect.kind](effect as never);
		}
	};

	const refreshCandidates = (service: core.ServiceName) => {
		applyEffects(dispatcher.setCandidates(service, options.listCandidates(service), now()));
	};

	/**
	Reads the instances of a service at its first use.
	*/
	const ensureCandidates = (service: core.ServiceName) => {
		if (knownServices.has(service)) {
			return;
		}

		knownServices.add(service);
		refreshCandidates(service);
	};

	let cancelTick: utils.Teardown | undefined;

	/**
	Runs the dispatcher's timer while requests wait or hold slots; a host that dispatches nothing sets no timer.
	*/
	const scheduleTick = () => {
		if (cancelTick !== undefined || !dispatcher.isBusy()) {
			return;
		}

		cancelTick = context.schedule(DISPATCH_TICK_MILLISECONDS, () => {
			cancelTick = undefined;
			applyEffects(dispatcher.tick(now()));
			scheduleTick();
		});
	};

	const applyBelief = ({service, upstream, doubt}: Belief) => {
		ensureCandidates(service);
		dispatcher.setDoubt(service, upstream, doubt, now());
	};

	const applyUpdates = ({service, updates}: ServiceUpdates) => {
		ensureCandidates(service);
		applyEffects(dispatcher.applyUpdates(service, updates, now()));
	};

	const listBeliefs = () => knownServices.values().flatMap(service => dispatcher.report({service}, now())
		.filter(({doubt}) => doubt > 0)
		.map(({upstream, doubt}): Belief => ({service, upstream, doubt}))).toArray();

	const lending = options.lending && createPoolLending(context, {
		...options.lending,
		dispatcher,
		notifyControlHosts: options.notifyControlHosts,
		ensurePool(pool) {
			ensureCandidates(pool.service);
			dispatcher.ensurePool(pool, now());
		},
	});

	/**
	Takes back what was decided on a request that goes to another pool.
	*/
	const withdraw = (request: dispatch.SlotRequest, decision: Decision | undefined) => {
		if (decision === undefined) {
			dispatcher.cancel(request.id, now());
		} else if (decision.kind === 'grant') {
			applyEffects(dispatcher.end(request.id, {ending: 'unused', milliseconds: 0}, now()));
		}

		refundAllotment(request);
	};

	/**
	Answers a request of another pool: it never waits here, since its own pool is the better place for that.
	*/
	const answerLent = (request: dispatch.SlotRequest, decision: Decision | undefined): SlotAnswer => {
		metrics.count('lent_slot_requests', {service: request.service, pool: request.pool!, outcome: decision?.kind === 'grant' ? 'granted' : 'refused'});
		if (decision?.kind === 'grant') {
			recordGrant(decision);
			return toAnswer(decision);
		}

		withdraw(request, decision);
		return LENT_REFUSAL;
	};

	metrics.registerGauge('asks_waiting', () => dispatcher.countWaiting());
	return {
		requestSlot(request) {
			ensureCandidates(request.service);
			dispatcher.ensurePool(request, now());
			if (isLent(request) && dispatcher.resolve(request).pool === undefined) {
				return LENT_REFUSAL;
			}

			// A lent request counts where it first arrived.
			if (!isLent(request)) {
				recordRequestingHost(request);
				lending?.recordRequest(dispatcher.resolve(request));
			}

			if (!dispatcher.hasUpstreams(request)) {
				log.warn('A slot request was sent elsewhere: no upstream of its service is known.', {id: request.id, service: request.service});
				return {kind: 'elsewhere'};
			}

			const refusal = dispatch.isFirstAttempt(request) ? options.allotmentEnforcer?.admit(request) : undefined;
			if (refusal !== undefined) {
				dispatcher.recordRefused(request, now());
				return refusal;
			}

			const effects = dispatcher.requestSlot(request, now());
			const ownDecision = effects.find(effect => isDecision(effect) && effect.request.id === request.id);
			applyEffects(effects.filter(effect => effect !== ownDecision));
			scheduleTick();
			const decision = ownDecision !== undefined && isDecision(ownDecision) ? ownDecision : undefined;
			if (isLent(request)) {
				return answerLent(request, decision);
			}

			const pool = lending?.choose(request, decision && toAnswer(decision));
			if (pool !== undefined) {
				withdraw(request, decision);
				return {kind: 'elsewhere', pool};
			}

			if (decision === undefined) {
				return {kind: 'wait'};
			}

			if (decision.kind === 'refuse') {
				refundAllotment(request);
				logRefusal(decision);
			} else {
				recordGrant(decision);
			}

			return toAnswer(decision);
		},
		cancel(id, reclaimedMilliseconds = 0) {
			options.allotmentEnforcer?.reclaimTime(reclaimedMilliseconds);
			const cancelled = dispatcher.cancel(id, now());
			if (cancelled !== undefined) {
				refundAllotment(cancelled);
			}
		},
		end({id, ...outcome}) {
			const {ending} = outcome;
			metrics.count('ends', {ending});
			const unusedRequest = ending === 'unused' ? dispatcher.findGrantedRequest(id) : undefined;
			if (unusedRequest !== undefined) {
				refundAllotment(unusedRequest);
			}

			const request = dispatcher.findGrantedRequest(id);
			applyEffects(dispatcher.end(id, outcome, now()));
			if (request !== undefined && ending !== 'success') {
				logIdleUpstreams(request);
			}
		},
		recordAdvertisements(id, advertisements) {
			applyEffects(dispatcher.recordAdvertisements(id, advertisements, now()));
		},
		applyUpdates,
		applyRooms(rooms) {
			lending?.applyRooms(rooms);
		},
		listUpdates: () => dispatcher.listUpdates(now()).entries().map(([service, updates]): ServiceUpdates => ({service, updates})).toArray(),
		applyHandover(host, {service, pool, places, updates = [], uses, entryHosts}) {
			ensureCandidates(service);
			if (entryHosts !== undefined) {
				options.onEntryHostCount?.(entryHosts);
			}

			if (uses !== undefined) {
				options.allotmentEnforcer?.applyPastUsage(host, uses);
			}

			dispatcher.replaceHeldSlots(host, {service, pool}, places, now());
			applyUpdates({service, updates});
			scheduleTick();
		},
		applyPastUsage(host, uses) {
			options.allotmentEnforcer?.applyPastUsage(host, uses);
		},
		applyBelief,
		applyBeliefs(beliefs) {
			for (const belief of beliefs) {
				applyBelief(belief);
			}
		},
		mergeBeliefs(beliefs, ageMilliseconds = 0) {
			for (const {service, upstream, doubt} of beliefs) {
				ensureCandidates(service);
				dispatcher.raiseDoubt(service, upstream, {doubt, ageMilliseconds}, now());
			}
		},
		listBeliefs,
		listUpstreamReports(service) {
			ensureCandidates(service);
			return dispatcher.report({service}, now());
		},
		refreshCandidates(service) {
			if (knownServices.has(service)) {
				refreshCandidates(service);
			}
		},
		teardown() {
			cancelTick?.();
		},
	};
}

/**
The answer to a lent request that is not granted at once. The requesting host sends it to its own pool again, and never to the caller.
*/
const LENT_REFUSAL: SlotDecision = {kind: 'refuse', reason: 'no-slot-in-time', retryAfterMilliseconds: 0};

type Decision = Extract<dispatch.Effect, {kind: 'grant' | 'refuse'}>;

function isDecision(effect: dispatch.Effect): effect is Decision {
	return effect.kind === 'grant' || effect.kind === 'refuse';
}

/**
Converts a decision into the answer for the requesting host.
*/
export function toAnswer(effect: Decision): SlotDecision {
	if (effect.kind === 'refuse') {
		const {reason, retryAfterMilliseconds} = effect;
		return {kind: 'refuse', reason, retryAfterMilliseconds};
	}

	const {upstream, address, isTrial} = effect;
	return {
		kind: 'grant', upstream, address, isTrial,
	};
}

/**
Sends another host all advertisements of upstreams that are in force.
*/
export function sendUpdates(to: link.Link, dispatcher: Pick<HostDispatcher, 'listUpdates'>): void {
	for (const message of dispatcher.listUpdates()) {
		to.notify(METHODS.updates, message);
	}
}
