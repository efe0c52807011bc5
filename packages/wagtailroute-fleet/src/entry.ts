/**
An entry host: it serves callers, knows the generation and the instances from the control hosts, and asks their dispatchers
where each request goes.
*/
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as link from 'wagtailroute-link';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {EncodedAnswer} from './slot-request-encoding.ts';
import {createSlotRequestMethods} from './slot-request-methods.ts';
import {startAllotting} from './allotting.ts';
import {createAskers} from './askers.ts';
import {createAsking} from './asking.ts';
import {createBeginning} from './beginning.ts';
import {
	LOAD_STEP,
	MILLISECONDS_PER_SECOND,
	MOST_LINK_DELAY_MILLISECONDS,
	RETAIN_MILLISECONDS,
	STANDBY_EXTRA_RESENDS,
	UNKNOWN_ENTRY_HOSTS,
	UPSTREAM_CONNECT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {startControlLinks} from './control-links.ts';
import {
	countAddresses,
	type DirectoryTable,
	EMPTY_DIRECTORY_TABLE,
	lookUpAddresses,
} from './directory-table.ts';
import {sendUpdates, startHostDispatcher} from './host-dispatcher.ts';
import {createHostCount} from './host-count.ts';
import {createKnowledge} from './knowledge.ts';
import {startLoadMeter} from './load.ts';
import {createMessageOrder} from './message-order.ts';
import * as messages from './messages.ts';
import {createNoting} from './noting.ts';
import {watchPauses} from './pauses.ts';
import {createRequestShare} from './request-share.ts';
import {createRouter} from './routing.ts';
import type {ControlHost, EntrySettings, StandbyHost} from './settings.ts';
import {createStandbys} from './standbys.ts';
import {divideStop} from './stop-times.ts';

/**
A running entry host.
*/
export type Entry = {
	/**
	It has a generation, and is not stopping.
	*/
	readonly isReady: () => boolean;
	/**
	Returns the addresses of entry hosts for a caller, as text; its own when it knows of no other, none when it does not serve.

	@param host Host name that the caller is going to use.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain, host: string) => readonly string[];
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	/**
	Leaves the directory, serves until callers have heard of it, finishes what is under way and ends.
	*/
	readonly stop: () => Promise<void>;
};

/**
Starts an entry host. Resolves when it takes requests.
*/
export async function startEntry(context: FleetContext, settings: EntrySettings, dialect: proxy.Dialect): Promise<Entry> {
	const log = context.logs('entry');
	let isStopping = false;
	// Opened below, when everything that it serves with is there.
	const opened: {traffic?: proxy.TrafficServer} = {};
	const knowledge = createKnowledge(context, {
		failureDomain: settings.failureDomain,
		getOpen: () => links.getOpen(),
		onGeneration({organisations}) {
			allotting.setOrganisations(organisations);
			tellState();
			beginning.look();
		},
		onInstances(service) {
			own.refreshCandidates(service);
			retainLater();
		},
	});
	/**
	Closes the connections to addresses that no instance has any more; otherwise each address that was ever used would keep its pool.
	*/
	const retainLater = utils.coalesce(context.schedule, RETAIN_MILLISECONDS, () => {
		opened.traffic?.connections.retain(knowledge.listAddresses());
	});
	const beginning = createBeginning(context, {
		hasGeneration: () => knowledge.getGeneration() !== undefined,
		isLinked: () => links.isComplete(),
	});
	const isReady = () => !isStopping && knowledge.getGeneration() !== undefined;
	const getState = (): messages.EntryState => ({
		trafficAddress: settings.trafficAddress, linkAddress: settings.linkAddress, isReady: isReady(), load: meter.getLoad(),
	});
	let told: messages.EntryState | undefined;
	const tellState = () => {
		const state = getState();
		const isSame = state.isReady === told?.isReady && Math.abs(state.load - told.load) < LOAD_STEP;
		if (isSame) {
			return;
		}

		told = state;
		links.notifyAll(messages.METHODS.state, state);
	};

	const meter = startLoadMeter(context, {
		getBusyMilliseconds: () => performance.eventLoopUtilization().active,
		getBytes: () => opened.traffic?.getBytes() ?? 0,
		linkBytesPerSecond: settings.linkBytesPerSecond,
		onMeasured: tellState,
	});

	const findControl = (from: link.Link) => links.getOpen().find(open => open.link === from);
	let directory = EMPTY_DIRECTORY_TABLE;
	const learnDirectory = (table: DirectoryTable) => {
		// An empty one comes from a control host that has just started.
		directory = Object.keys(table.addresses).length > 0 ? table : directory;
	};

	const hostCount = createHostCount(context.now, () => countAddresses(directory));
	const requestShare = createRequestShare(hostCount.get, UNKNOWN_ENTRY_HOSTS);
	const allotting = startAllotting(context, {
		settings: settings.allotments,
		requestShare,
		isTold: false,
		tellDispatchers(method, parameters) {
			links.notifyAll(method, parameters);
			standbys.notifyAll(method, parameters);
		},
	});
	const askers = createAskers();
	const own = startHostDispatcher(context, {
		settings: {...settings, budget: {...settings.budget, extra: STANDBY_EXTRA_RESENDS}},
		allotting,
		requestShare,
		isReceivingUpdates: false,
		onEntryHostCount: hostCount.record,
		listCandidates: knowledge.listCandidates,
		listStandbys: () => [],
		notify(host, method, parameters) {
			if (host !== settings.hostId) {
				askers.find(host)?.notify(method, parameters);
			} else if (method === messages.METHODS.answer) {
				asking.hearAnswer(...parameters as [number, EncodedAnswer]);
			}
		},
		notifyControlHosts(method, parameters) {
			// What one host alone holds against an upstream may be its own path's fault.
			if (askers.count() > 0) {
				links.notifyAll(method, parameters);
			}
		},
	});
	const methods: link.LinkMethods = new Map<string, link.LinkMethod>(Object.entries({
		[messages.METHODS.controls](controls: readonly ControlHost[]) {
			links.learn(controls);
		},
		[messages.METHODS.generationVersion]({version}: {version: number}, from: link.Link) {
			const control = findControl(from);
			if (control !== undefined) {
				knowledge.hearVersion(control, version);
			}
		},
		[messages.METHODS.instancesChanged]: knowledge.hearInstances,
		[messages.METHODS.retired]({retirements}: Pick<messages.InstanceChanges, 'retirements'>) {
			knowledge.hearRetirements(retirements);
		},
		[messages.METHODS.answer]([ask, answer]: [number, EncodedAnswer]) {
			asking.hearAnswer(ask, answer);
		},
		[messages.METHODS.updates]: own.applyUpdates,
		[messages.METHODS.use]: allotting.hearUse,
		[messages.METHODS.believe]: own.applyBelief,
		[messages.METHODS.beliefNews]: own.applyBeliefs,
		[messages.METHODS.standbys](hosts: readonly StandbyHost[]) {
			standbys.learn(hosts);
		},
		[messages.METHODS.directory]: learnDirectory,
		...createSlotRequestMethods(own, askers.findByLink),
		[messages.METHODS.hello]({id, failureDomain}: messages.Hello, from: link.Link) {
			askers.add({id, failureDomain}, from);
			return {
				failureDomain: settings.failureDomain, controls: [], standbys: [], directory: EMPTY_DIRECTORY_TABLE, version: 0,
			} satisfies messages.Welcome;
		},
	}));
	const startedAt = context.now();
	const createHello = (): messages.Hello => ({
		id: settings.hostId, failureDomain: settings.failureDomain, entry: getState(), runningMilliseconds: Math.round(context.now() - startedAt),
	});
	const links = startControlLinks(context, {
		seeds: settings.seeds,
		self: settings.hostId,
		failureDomain: settings.failureDomain,
		createHello,
		methods,
		isAsked: over => asking.isAsked(over),
		onOpen(control, {version, standbys: toldStandbys, directory: toldDirectory}) {
			standbys.learn(toldStandbys);
			learnDirectory(toldDirectory);
			// What changed between the greeting and its answer is told again.
			control.link.notify(messages.METHODS.state, getState());
			if (askers.count() > 0) {
				// The control host was away, and this host dispatched for others meanwhile.
				control.link.notify(messages.METHODS.beliefs, own.listBeliefs());
				sendUpdates(control.link, own);
			}

			knowledge.hearVersion(control, version);
			knowledge.follow();
			beginning.look();
		},
		onLost(control) {
			knowledge.loseControl(control);
			asking.loseDispatcher(control);
		},
	});
	const standbys = createStandbys(context, {
		self: settings.hostId,
		createHello,
		methods,
		onLost(standby) {
			asking.loseDispatcher(standby);
		},
	});
	const asking = createAsking(context, {
		settings,
		countEntryHosts: hostCount.get,
		getControls: links.getOpen,
		standbys,
		own,
		isRetired: knowledge.isRetired,
		getLinkDelay: () => Math.min(MOST_LINK_DELAY_MILLISECONDS, (opened.traffic?.getLargeBytes() ?? 0) * MILLISECONDS_PER_SECOND / settings.linkBytesPerSecond),
	});
	const linkServer = await link.openLinkServer({
		address: settings.linkAddress,
		methods,
		order: createMessageOrder(context),
		now: context.now,
		onClose(closed) {
			askers.remove(closed);
		},
		onDefect(error) {
			log.error('Message could not be handled.', {error: error.stack});
		},
	});
	const traffic = await proxy.openTrafficServer(settings.trafficAddress, {
		hostId: settings.hostId,
		now: context.now,
		dialect,
		route: createRouter(context, {knowledge, asking}),
		routes: beginning,
		claim: async () => ({kind: 'refused', failure: proxy.createRequestFailure('idempotency-records-unavailable', 'This fleet keeps no keys.')}),
		guard: OPEN_GUARD,
		random: context.random,
		answerReserved(_message, response) {
			proxy.answerJson(response, 404, {});
		},
		isDraining: () => isStopping,
		connectMilliseconds: UPSTREAM_CONNECT_MILLISECONDS,
		paces: proxy.createPaces(settings.linkBytesPerSecond, context.now),
		note: createNoting(context),
	});
	opened.traffic = traffic;
	context.metrics.registerGauge('requests_in_flight', traffic.getInFlight);
	context.metrics.registerGauge('generation_version', () => knowledge.getGeneration()?.version ?? 0);
	log.info('Host started.', {traffic: core.formatAddress(settings.trafficAddress), seeds: settings.seeds.map(seed => seed.id)});
	const teardown = utils.mergeTeardowns(watchPauses(context), links.close, standbys.teardown, own.teardown, meter.teardown);
	return {
		isReady,
		listAddresses(failureDomain, host) {
			const self = core.formatAddress(settings.trafficAddress);
			const others = lookUpAddresses(directory, failureDomain, host).filter(address => address !== self || isReady());
			return others.length > 0 || !isReady() ? others : [self];
		},
		addSeeds: links.addSeeds,
		async stop() {
			isStopping = true;
			tellState();
			log.info('Host stopping.', {inFlight: traffic.getInFlight()});
			const {acceptingMilliseconds, drainingMilliseconds} = divideStop(settings.stopMilliseconds);
			await timers.setTimeout(acceptingMilliseconds);
			await Promise.race([traffic.drain(), timers.setTimeout(drainingMilliseconds)]);
			log.info('Host stopped.', {inFlight: traffic.getInFlight()});
			teardown();
			await linkServer.close();
		},
	};
}

const OPEN_GUARD: proxy.Guard = {
	getStanding: () => 'free',
	requestTrial: async () => ({kind: 'free'}),
	examineLoss: async () => false,
	noteSurvived: () => undefined,
};
