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
	ASKER_MILLISECONDS,
	DISPATCH_TICK_MILLISECONDS,
	MAX_IDLE_UPSTREAMS_LOGGED,
	IDLE_LOG_INTERVAL_MILLISECONDS,
} from './constants.ts';
import {getSlotRequestNumber, encodeAnswer} from './slot-request-encoding.ts';
import type {Allotting} from './allotting.ts';
import type {RequestShare} from './request-share.ts';
import type {FleetContext} from './context.ts';
import {createPeerUpdates} from './peer-updates.ts';
import {
	type SlotAnswer,
	type Belief,
	type SlotDecision,
	type GrantEnd,
	type HandoverReport,
	METHODS,
	type ServiceUpdates,
} from './messages.ts';
import {createRecentAskers, type RecentAskers} from './recent-askers.ts';
import type {FleetSettings} from './settings.ts';

/**
A dispatcher that answers other hosts.
*/
export type HostDispatcher = {
	readonly requestSlot: (ask: dispatch.Ask) => SlotAnswer;
	readonly cancel: (id: dispatch.AskId) => void;
	readonly end: (end: GrantEnd) => void;
	/**
	The answer to a granted request advertises something about its upstream.
	*/
	readonly recordAdvertisements: (id: dispatch.AskId, advertisements: readonly core.Advertisement[]) => void;
	/**
	Applies what another host has learned from answers.
	*/
	readonly applyUpdates: (message: ServiceUpdates) => void;
	/**
	Returns all that upstreams advertise and that is in force, by service.
	*/
	readonly listUpdates: () => readonly ServiceUpdates[];
	readonly applyHandover: (host: core.HostId, holding: HandoverReport) => void;
	/**
	Takes what a host was admitted by other dispatchers, before it asks here for the first time.
	*/
	readonly applyPastUses: (host: core.HostId, uses: readonly allotments.PastUse[]) => void;
	/**
	Takes what the dispatcher on another control host believes.
	*/
	readonly applyBelief: (belief: Belief) => void;
	/**
	Takes what the dispatcher of a service has come to believe of several upstreams.
	*/
	readonly applyBeliefs: (news: readonly Belief[]) => void;
	/**
	Takes all that a host believed some milliseconds ago: what it held against an upstream counts if it is more than this one does.
	*/
	readonly mergeBeliefs: (beliefs: readonly Belief[], ageMilliseconds?: number) => void;
	/**
	Returns all that this dispatcher holds against upstreams.
	*/
	readonly listBeliefs: () => readonly Belief[];
	/**
	Returns what is known of a service's upstreams, by this dispatcher or by the one that told it.
	*/
	readonly listUpstreamReports: (service: core.ServiceName) => readonly dispatch.UpstreamReport[];
	/**
	Takes the instances of a service anew, if it was ever asked for.
	*/
	readonly refreshCandidates: (service: core.ServiceName) => void;
	readonly teardown: utils.Teardown;
};

/**
What the dispatcher asks of its host.
*/
export type HostDispatcherOptions = {
	readonly settings: Pick<FleetSettings, 'budget' | 'floor' | 'policy'>;
	/**
	Share of the entry hosts that ask here.
	*/
	readonly requestShare: RequestShare;
	/**
	This host hears of what others grant, as control hosts do. One that does not grants its share of a rate limit only.
	*/
	readonly isReceivingUpdates: boolean;
	/**
	Absent: nothing bounds what an organisation sends.
	*/
	readonly allotting?: Pick<Allotting, 'admit' | 'giveBack' | 'takeOver'>;
	/**
	A host told how many entry hosts serve callers.
	*/
	readonly onEntryHostCount?: (hosts: number) => void;
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
	readonly notifyControls: (method: string, parameters: unknown) => void;
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
	const dispatcher = dispatch.createDispatcher({...options.settings, random, getShare: options.isReceivingUpdates ? undefined : requestShare.get});
	const knownServices = new Set<core.ServiceName>();
	const askers = new Map<core.ServiceName, RecentAskers>();

	const listAskers = (service: core.ServiceName) => askers.get(service)?.list(now()) ?? [];

	const peerUpdates = createPeerUpdates(context, {...options, dispatcher, listAskers});

	const sendDecision = (effect: Decision) => {
		options.notify(effect.ask.host, METHODS.answer, [getSlotRequestNumber(effect.ask.id), encodeAnswer(toAnswer(effect))]);
	};

	const effectHandlers: EffectHandlers = {
		grant(effect) {
			peerUpdates.onGranted(effect.ask.service);
			sendDecision(effect);
		},
		refuse(effect) {
			giveBack(effect.ask);
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
			log.info(ratePerSecond === undefined ? 'Rate limit lifted.' : 'Rate limit changed.', {
				service, upstream, ratePerSecond, ratePerSecondBefore,
			});
			peerUpdates.publishUpdates();
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
			peerUpdates.publishUpdates();
		},
	};

	const loggedIdleAt = new Map<core.ServiceName, number>();

	/**
	Logs now and then what keeps requests from upstreams while others fail them.
	*/
	const logIdleUpstreams = (service: core.ServiceName) => {
		if (now() - (loggedIdleAt.get(service) ?? -Infinity) < IDLE_LOG_INTERVAL_MILLISECONDS) {
			return;
		}

		loggedIdleAt.set(service, now());
		const idle = dispatcher.listIdle(service, now());
		if (idle.length === 0) {
			return;
		}

		log.warn('Upstreams idle.', {
			service,
			idle: idle.length,
			causes: Object.fromEntries(Map.groupBy(idle, ({cause}) => cause).entries().map(([cause, upstreams]) => [cause, upstreams.length])),
			first: idle.slice(0, MAX_IDLE_UPSTREAMS_LOGGED).map(({upstream, cause, doubt, failedMillisecondsAgo}) => ({
				upstream, cause, doubt: Number(doubt.toFixed(1)), failedMillisecondsAgo: Math.round(failedMillisecondsAgo),
			})),
		});
	};

	const logRefusal = ({ask, reason, retryAfterMilliseconds}: Extract<dispatch.Effect, {kind: 'refuse'}>) => {
		const upstreams = dispatcher.report(ask.service, now());
		metrics.count('refusals', {service: ask.service, reason});
		log.warn('Ask refused.', {
			id: ask.id,
			service: ask.service,
			reason,
			remainingMilliseconds: Math.round(ask.remainingMilliseconds),
			retryAfterMilliseconds: Math.round(retryAfterMilliseconds),
			waiting: dispatcher.getWaiting(),
			upstreams: upstreams.length,
			suspended: upstreams.filter(upstream => upstream.isSuspended).length,
			rateLimited: upstreams.filter(upstream => upstream.rateLimit !== undefined).length,
			draining: upstreams.filter(upstream => upstream.isDraining).length,
			backingOff: upstreams.filter(upstream => upstream.hostsBackingOff.includes(ask.host)).length,
		});
		logIdleUpstreams(ask.service);
	};

	/**
	What an ask took from its organisation's allotment comes back when it is granted nothing, or a place that is not used: a host that turns from one
	dispatcher to the next asks at both. A resend took nothing.
	*/
	const giveBack = (ask: dispatch.Ask) => {
		if (dispatch.isFirst(ask)) {
			options.allotting?.giveBack(ask);
		}
	};

	const recordAsker = ({service, host}: dispatch.Ask) => {
		requestShare.record(host, now());
		const hosts = askers.get(service) ?? createRecentAskers(ASKER_MILLISECONDS);
		askers.set(service, hosts);
		hosts.note(host, now());
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
	Takes the instances of a service that is asked for the first time.
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
	Looks after requests that wait or are under way; a host that dispatches nothing does not wake for it.
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

	const listBeliefs = () => knownServices.values().flatMap(service => dispatcher.report(service, now())
		.filter(({doubt}) => doubt > 0)
		.map(({upstream, doubt}): Belief => ({service, upstream, doubt}))).toArray();

	metrics.registerGauge('asks_waiting', () => dispatcher.getWaiting());
	return {
		requestSlot(ask) {
			ensureCandidates(ask.service);
			recordAsker(ask);
			if (!dispatcher.knows(ask.service)) {
				log.warn('Ask sent elsewhere.', {id: ask.id, service: ask.service});
				return {kind: 'elsewhere'};
			}

			const refusal = dispatch.isFirst(ask) ? options.allotting?.admit(ask) : undefined;
			if (refusal !== undefined) {
				return refusal;
			}

			const effects = dispatcher.ask(ask, now());
			const ownDecision = effects.find(effect => isDecision(effect) && effect.ask.id === ask.id);
			applyEffects(effects.filter(effect => effect !== ownDecision));
			scheduleTick();
			if (ownDecision === undefined || !isDecision(ownDecision)) {
				return {kind: 'wait'};
			}

			if (ownDecision.kind === 'refuse') {
				giveBack(ask);
				logRefusal(ownDecision);
			} else {
				peerUpdates.onGranted(ask.service);
			}

			return toAnswer(ownDecision);
		},
		cancel(id) {
			const cancelled = dispatcher.cancel(id);
			if (cancelled !== undefined) {
				giveBack(cancelled);
			}
		},
		end({id, ending, milliseconds}) {
			metrics.count('ends', {ending});
			const unusedAsk = ending === 'unused' ? dispatcher.findGranted(id) : undefined;
			if (unusedAsk !== undefined) {
				giveBack(unusedAsk);
			}

			const service = dispatcher.findGranted(id)?.service;
			applyEffects(dispatcher.end(id, {ending, milliseconds}, now()));
			if (service !== undefined && ending !== 'success') {
				logIdleUpstreams(service);
			}
		},
		recordAdvertisements(id, advertisements) {
			applyEffects(dispatcher.recordAdvertisements(id, advertisements, now()));
		},
		applyUpdates,
		listUpdates: () => dispatcher.listUpdates(now()).entries().map(([service, updates]): ServiceUpdates => ({service, updates})).toArray(),
		applyHandover(host, {service, places, updates = [], uses, entryHosts}) {
			ensureCandidates(service);
			if (entryHosts !== undefined) {
				options.onEntryHostCount?.(entryHosts);
			}

			if (uses !== undefined) {
				options.allotting?.takeOver(host, uses);
			}

			dispatcher.hold(host, service, places, now());
			applyUpdates({service, updates});
			scheduleTick();
		},
		applyPastUses(host, uses) {
			options.allotting?.takeOver(host, uses);
		},
		applyBelief,
		applyBeliefs(news) {
			for (const belief of news) {
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
			return dispatcher.report(service, now());
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

type Decision = Extract<dispatch.Effect, {kind: 'grant' | 'refuse'}>;

function isDecision(effect: dispatch.Effect): effect is Decision {
	return effect.kind === 'grant' || effect.kind === 'refuse';
}

/**
Turns a decision into what the asking host is told.
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
Sends all that a dispatcher knows of what upstreams advertise to another host.
*/
export function sendUpdates(to: link.Link, dispatcher: Pick<HostDispatcher, 'listUpdates'>): void {
	for (const message of dispatcher.listUpdates()) {
		to.notify(METHODS.updates, message);
	}
}
