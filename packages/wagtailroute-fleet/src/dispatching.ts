/**
The dispatcher of a host, as entry hosts ask it over their links. Every host has one: control hosts dispatch as long as they answer, entry
hosts when none does.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import type * as link from 'wagtailroute-link';
import type * as utils from 'wagtailroute-utils';
import {
	REQUESTING_HOST_EXPIRY_MILLISECONDS,
	DISPATCH_TICK_MILLISECONDS,
	IDLE_NAMED_MOST,
	IDLE_TOLD_MILLISECONDS,
} from './constants.ts';
import {getAskNumber, shortenAnswer} from './ask-wire.ts';
import type {AllotmentEnforcer} from './allotment-enforcer.ts';
import type {RequestShare} from './request-share.ts';
import type {FleetContext} from './context.ts';
import {createPeerUpdates} from './peer-updates.ts';
import {
	type AskAnswer,
	type Belief,
	type DecidedAnswer,
	type GrantEnd,
	type Holding,
	METHODS,
	type ServiceUpdates,
} from './messages.ts';
import {createRecentRequestingHosts, type RecentRequestingHosts} from './recent-requesting-hosts.ts';
import type {FleetSettings} from './settings.ts';

/**
A dispatcher that answers other hosts.
*/
export type Dispatching = {
	readonly ask: (ask: dispatch.SlotRequest) => AskAnswer;
	readonly cancel: (id: dispatch.SlotRequestId) => void;
	readonly end: (end: GrantEnd) => void;
	/**
	The answer to a granted request advertises something about its upstream.
	*/
	readonly recordAdvertisements: (id: dispatch.SlotRequestId, advertisements: readonly core.Advertisement[]) => void;
	/**
	Applies what another host has learned from answers.
	*/
	readonly applyUpdates: (message: ServiceUpdates) => void;
	/**
	Returns all that upstreams advertise and that is in force, by service.
	*/
	readonly listUpdates: () => readonly ServiceUpdates[];
	readonly hold: (host: core.HostId, holding: Holding) => void;
	/**
	Takes what a host was admitted by other dispatchers, before it asks here for the first time.
	*/
	readonly takeOver: (host: core.HostId, uses: readonly allotments.PastUsage[]) => void;
	/**
	Takes what the dispatcher on another control host believes.
	*/
	readonly hearBelief: (belief: Belief) => void;
	/**
	Takes what the dispatcher of a service has come to believe of several upstreams.
	*/
	readonly hearBeliefNews: (news: readonly Belief[]) => void;
	/**
	Takes all that a host believed some milliseconds ago: what it held against an upstream counts if it is more than this one does.
	*/
	readonly hearBeliefs: (beliefs: readonly Belief[], ageMilliseconds?: number) => void;
	/**
	Returns all that this dispatcher holds against upstreams.
	*/
	readonly listBeliefs: () => readonly Belief[];
	/**
	Returns what is known of a service's upstreams, by this dispatcher or by the one that told it.
	*/
	readonly report: (service: core.ServiceName) => readonly dispatch.UpstreamReport[];
	/**
	Takes the instances of a service anew, if it was ever asked for.
	*/
	readonly refresh: (service: core.ServiceName) => void;
	readonly teardown: utils.Teardown;
};

/**
What the dispatcher asks of its host.
*/
export type DispatchingPlan = {
	readonly settings: Pick<FleetSettings, 'budget' | 'floor' | 'policy'>;
	/**
	Share of the entry hosts that ask here.
	*/
	readonly requestShare: RequestShare;
	/**
	This host hears of what others grant, as control hosts do. One that does not grants its share of a rate limit only.
	*/
	readonly isTold: boolean;
	/**
	Absent: nothing bounds what an organisation sends.
	*/
	readonly allotting?: Pick<AllotmentEnforcer, 'admit' | 'refund' | 'applyPastUsage'>;
	/**
	A host told how many entry hosts serve callers.
	*/
	readonly onEntryHosts?: (hosts: number) => void;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Returns the entry hosts that are told what this dispatcher believes although they send no requests of the service: they are next.
	*/
	readonly listStandbys: (service: core.ServiceName) => readonly core.HostId[];
	/**
	Sends to an entry host, if it has a link.
	*/
	readonly notify: (host: core.HostId, method: string, parameters: unknown) => void;
	/**
	Sends to the other control hosts: the next dispatcher of the service is one of them, and each answers callers' look-ups.
	*/
	readonly tellControls: (method: string, parameters: unknown) => void;
};

type Effects = {
	readonly [Kind in dispatch.Effect['kind']]: (effect: Extract<dispatch.Effect, {kind: Kind}>) => void;
};

/**
Starts the dispatcher.
*/
export function startDispatching(context: FleetContext, plan: DispatchingPlan): Dispatching {
	const {now, random, metrics} = context;
	const log = context.logs('dispatch');
	const {requestShare} = plan;
	const dispatcher = dispatch.createDispatcher({...plan.settings, random, getShare: plan.isTold ? undefined : requestShare.get});
	const known = new Set<core.ServiceName>();
	const askers = new Map<core.ServiceName, RecentRequestingHosts>();

	const listAskers = (service: core.ServiceName) => askers.get(service)?.list(now()) ?? [];

	const peers = createPeerUpdates(context, {...plan, dispatcher, listAskers});

	const tell = (effect: Decision) => {
		plan.notify(effect.request.host, METHODS.answer, [getAskNumber(effect.request.id), shortenAnswer(toAnswer(effect))]);
	};

	const effects: Effects = {
		grant(effect) {
			peers.onGranted(effect.request.service);
			tell(effect);
		},
		refuse(effect) {
			giveBack(effect.request);
			logRefusal(effect);
			tell(effect);
		},
		believe({service, upstream, doubt, isSuspended, cause}) {
			metrics.count('beliefs', {service, state: isSuspended ? 'suspended' : 'readmitted'});
			log.info(isSuspended ? 'Upstream suspended.' : 'Upstream readmitted.', {
				service, upstream, doubt, cause,
			});
			peers.publishBelief({service, upstream, doubt});
		},
		'rate-limit'({service, upstream, ratePerSecond, ratePerSecondBefore}) {
			metrics.count('rate_limit_changes', {service, state: ratePerSecond === undefined ? 'lifted' : 'changed'});
			log.info(ratePerSecond === undefined ? 'Rate limit lifted.' : 'Rate limit changed.', {
				service, upstream, ratePerSecond, ratePerSecondBefore,
			});
			peers.publishUpdates();
		},
		backoff({service, upstream, host, milliseconds}) {
			metrics.count('closures', {service, cause: 'backoff'});
			log.info('Host backs off.', {
				service, upstream, host, milliseconds,
			});
		},
		draining({service, upstream, host}) {
			metrics.count('closures', {service, cause: 'draining'});
			log.info('Upstream draining.', {service, upstream, host});
			peers.publishUpdates();
		},
	};

	const loggedIdleAt = new Map<core.ServiceName, number>();

	/**
	Logs now and then what keeps requests from upstreams while others fail them.
	*/
	const logIdle = (service: core.ServiceName) => {
		if (now() - (loggedIdleAt.get(service) ?? -Infinity) < IDLE_TOLD_MILLISECONDS) {
			return;
		}

		loggedIdleAt.set(service, now());
		const idle = dispatcher.listIdleUpstreams(service, now());
		if (idle.length === 0) {
			return;
		}

		log.warn('Upstreams idle.', {
			service,
			idle: idle.length,
			causes: Object.fromEntries(Map.groupBy(idle, ({cause}) => cause).entries().map(([cause, upstreams]) => [cause, upstreams.length])),
			first: idle.slice(0, IDLE_NAMED_MOST).map(({upstream, cause, doubt, failedMillisecondsAgo}) => ({
				upstream, cause, doubt: Number(doubt.toFixed(1)), failedMillisecondsAgo: Math.round(failedMillisecondsAgo),
			})),
		});
	};

	const logRefusal = ({request: ask, reason, retryAfterMilliseconds}: Extract<dispatch.Effect, {kind: 'refuse'}>) => {
		const upstreams = dispatcher.report(ask.service, now());
		metrics.count('refusals', {service: ask.service, reason});
		log.warn('Ask refused.', {
			id: ask.id,
			service: ask.service,
			reason,
			remainingMilliseconds: Math.round(ask.remainingMilliseconds),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			waiting: dispatcher.countWaiting(),
			upstreams: upstreams.length,
			suspended: upstreams.filter(upstream => upstream.isSuspended).length,
			rateLimited: upstreams.filter(upstream => upstream.rateLimit !== undefined).length,
			draining: upstreams.filter(upstream => upstream.isDraining).length,
			backingOff: upstreams.filter(upstream => upstream.hostsBackingOff.includes(ask.host)).length,
		});
		logIdle(ask.service);
	};

	/**
	What an ask took from its organisation's allotment comes back when it is granted nothing, or a place that is not used: a host that turns from one
	dispatcher to the next asks at both. A resend took nothing.
	*/
	const giveBack = (ask: dispatch.SlotRequest) => {
		if (dispatch.isFirstAttempt(ask)) {
			plan.allotting?.refund(ask);
		}
	};

	const noteAsker = ({service, host}: dispatch.SlotRequest) => {
		requestShare.record(host, now());
		const hosts = askers.get(service) ?? createRecentRequestingHosts(REQUESTING_HOST_EXPIRY_MILLISECONDS);
		askers.set(service, hosts);
		hosts.record(host, now());
	};

	const carryOut = (list: readonly dispatch.Effect[]) => {
		for (const effect of list) {
			effects[effect.kind](effect as never);
		}
	};

	const refresh = (service: core.ServiceName) => {
		carryOut(dispatcher.setCandidates(service, plan.listCandidates(service), now()));
	};

	/**
	Takes the instances of a service that is asked for the first time.
	*/
	const learn = (service: core.ServiceName) => {
		if (known.has(service)) {
			return;
		}

		known.add(service);
		refresh(service);
	};

	let cancelTick: utils.Teardown | undefined;

	/**
	Looks after requests that wait or are under way; a host that dispatches nothing does not wake for it.
	*/
	const tickWhileBusy = () => {
		if (cancelTick !== undefined || !dispatcher.isBusy()) {
			return;
		}

		cancelTick = context.schedule(DISPATCH_TICK_MILLISECONDS, () => {
			cancelTick = undefined;
			carryOut(dispatcher.tick(now()));
			tickWhileBusy();
		});
	};

	const hearBelief = ({service, upstream, doubt}: Belief) => {
		learn(service);
		dispatcher.setDoubt(service, upstream, doubt, now());
	};

	const applyUpdates = ({service, updates}: ServiceUpdates) => {
		learn(service);
		carryOut(dispatcher.applyUpdates(service, updates, now()));
	};

	const listBeliefs = () => known.values().flatMap(service => dispatcher.report(service, now())
		.filter(({doubt}) => doubt > 0)
		.map(({upstream, doubt}): Belief => ({service, upstream, doubt}))).toArray();

	metrics.registerGauge('asks_waiting', () => dispatcher.countWaiting());
	return {
		ask(ask) {
			learn(ask.service);
			noteAsker(ask);
			if (!dispatcher.hasUpstreams(ask.service)) {
				log.warn('Ask sent elsewhere.', {id: ask.id, service: ask.service});
				return {kind: 'elsewhere'};
			}

			const overdrawn = dispatch.isFirstAttempt(ask) ? plan.allotting?.admit(ask) : undefined;
			if (overdrawn !== undefined) {
				return overdrawn;
			}

			const list = dispatcher.requestSlot(ask, now());
			const own = list.find(effect => isDecision(effect) && effect.request.id === ask.id);
			carryOut(list.filter(effect => effect !== own));
			tickWhileBusy();
			if (own === undefined || !isDecision(own)) {
				return {kind: 'wait'};
			}

			if (own.kind === 'refuse') {
				giveBack(ask);
				logRefusal(own);
			} else {
				peers.onGranted(ask.service);
			}

			return toAnswer(own);
		},
		cancel(id) {
			const withdrawn = dispatcher.cancel(id);
			if (withdrawn !== undefined) {
				giveBack(withdrawn);
			}
		},
		end({id, ending, milliseconds}) {
			metrics.count('ends', {ending});
			const unused = ending === 'unused' ? dispatcher.findGrantedRequest(id) : undefined;
			if (unused !== undefined) {
				giveBack(unused);
			}

			const service = dispatcher.findGrantedRequest(id)?.service;
			carryOut(dispatcher.end(id, {ending, milliseconds}, now()));
			if (service !== undefined && ending !== 'success') {
				logIdle(service);
			}
		},
		recordAdvertisements(id, advertisements) {
			carryOut(dispatcher.recordAdvertisements(id, advertisements, now()));
		},
		applyUpdates,
		listUpdates: () => dispatcher.listUpdates(now()).entries().map(([service, updates]): ServiceUpdates => ({service, updates})).toArray(),
		hold(host, {service, places, updates = [], uses, entryHosts}) {
			learn(service);
			if (entryHosts !== undefined) {
				plan.onEntryHosts?.(entryHosts);
			}

			if (uses !== undefined) {
				plan.allotting?.applyPastUsage(host, uses);
			}

			dispatcher.replaceHeldSlots(host, service, places, now());
			applyUpdates({service, updates});
			tickWhileBusy();
		},
		takeOver(host, uses) {
			plan.allotting?.applyPastUsage(host, uses);
		},
		hearBelief,
		hearBeliefNews(news) {
			for (const belief of news) {
				hearBelief(belief);
			}
		},
		hearBeliefs(beliefs, ageMilliseconds = 0) {
			for (const {service, upstream, doubt} of beliefs) {
				learn(service);
				dispatcher.raiseDoubt(service, upstream, {doubt, ageMilliseconds}, now());
			}
		},
		listBeliefs,
		report(service) {
			learn(service);
			return dispatcher.report(service, now());
		},
		refresh(service) {
			if (known.has(service)) {
				refresh(service);
			}
		},
		teardown() {
			cancelTick?.();
		},
	};
}

type Decision = Extract<dispatch.Effect, {kind: 'grant' | 'refuse'}>;

function isDecision(effect: dispatch.Effect): effect is Decision {
	return effect.kind === 'grant' || effect.kind === 'refuse';
}

/**
Turns a decision into what the asking host is told.
*/
export function toAnswer(effect: Decision): DecidedAnswer {
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
Sends all that a dispatcher knows of what upstreams advertise to another host.
*/
export function sendUpdates(over: link.Link, dispatching: Pick<Dispatching, 'listUpdates'>): void {
	for (const message of dispatching.listUpdates()) {
		over.notify(METHODS.updates, message);
	}
}
