/**
An entry host: it serves callers, follows the catalogue generation and the instances through the control hosts, and requests a slot at an upstream
from their dispatchers for each attempt of a request.
*/
import * as core from 'wagtailroute-core';
import type * as instances from 'wagtailroute-instances';
import * as link from 'wagtailroute-link';
import * as proxy from 'wagtailroute-proxy';
import * as utils from 'wagtailroute-utils';
import type {EncodedAnswer} from './slot-request-encoding.ts';
import {createSlotRequestMethods} from './slot-request-methods.ts';
import {startAllotmentEnforcer} from './allotment-enforcer.ts';
import {createRequestingHosts} from './requesting-hosts.ts';
import {createEntryCrashGuard} from './crash-guard.ts';
import {createDefectHandler} from './defects.ts';
import {createDispatchClient} from './dispatch-client.ts';
import {createStartupGate} from './startup-gate.ts';
import {
	ASSUMED_ENTRY_HOSTS,
	CONNECTION_PRUNE_DELAY_MILLISECONDS,
	MAX_LINK_DELAY_MILLISECONDS,
	MILLISECONDS_PER_SECOND,
	MIN_REPORTED_LOAD_CHANGE,
	UPSTREAM_CONNECT_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {startControlLinks} from './control-links.ts';
import {
	countAddresses,
	type DirectoryTable,
	EMPTY_DIRECTORY_TABLE,
	listEntryDomains,
	lookUpAddresses,
} from './directory-table.ts';
import {sendUpdates, startHostDispatcher} from './host-dispatcher.ts';
import {createEntryHostCount} from './host-count.ts';
import {createFleetView} from './fleet-view.ts';
import {createForwardingTargets} from './forwarding.ts';
import {startLoadMeter} from './load.ts';
import {createMessageOrder} from './message-order.ts';
import * as messages from './messages.ts';
import {createOverloadControl} from './overload-control.ts';
import {createRequestLog} from './request-log.ts';
import {watchPauses} from './pauses.ts';
import {createPoolChoice} from './pools/pool-choice.ts';
import {createRequestShare} from './request-share.ts';
import {createRetirementFollower} from './retirement-follower.ts';
import {createRouter} from './routing.ts';
import type {ControlHost, EntrySettings, StandbyHost} from './settings.ts';
import {createStandbys} from './standbys.ts';
import {stopTraffic} from './traffic-stop.ts';
import {createUpstreamReach} from './upstream-reach.ts';

/**
A running entry host.
*/
export type Entry = {
	/**
	Returns whether the host has a generation and is not stopping.
	*/
	readonly isReady: () => boolean;
	/**
	Returns the addresses of entry hosts for a caller, as text: this host's own address if it knows no other, none while it is not ready.

	@param host Host name for which the caller is going to send requests.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain, host: string) => readonly string[];
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	/**
	Leaves the directory, serves until callers have looked up other hosts, finishes the requests in progress and closes.
	*/
	readonly stop: () => Promise<void>;
};

/**
Starts an entry host. Resolves when it accepts requests.
*/
export async function startEntry(context: FleetContext, settings: EntrySettings, dialect: proxy.Dialect): Promise<Entry> {
	const log = context.logs('entry');
	let isStopping = false;
	// The traffic server is opened below, after everything that it depends on was created.
	const opened: {traffic?: proxy.TrafficServer} = {};
	const fleetView = createFleetView(context, {
		failureDomain: settings.failureDomain,
		getControlHosts: () => controlLinks.getOpen(),
		onGeneration({organisations}) {
			allotmentEnforcer.setOrganisations(organisations);
			reportState();
			startupGate.check();
		},
		onInstancesChanged(service) {
			ownDispatcher.refreshCandidates(service);
			pools.refresh(service);
			scheduleConnectionPruning();
		},
	});
	const retirementFollower = createRetirementFollower(context, fleetView.applyRetirements);
	/**
	Closes the connections to addresses that no instance has any more. Otherwise a connection pool stays for every address that was ever used.
	*/
	const scheduleConnectionPruning = utils.coalesce(context.schedule, CONNECTION_PRUNE_DELAY_MILLISECONDS, () => {
		opened.traffic?.connections.retain(fleetView.listAddresses());
	});
	const startupGate = createStartupGate(context, {
		hasGeneration: () => fleetView.getGeneration() !== undefined,
		areControlLinksOpen: () => controlLinks.isComplete(),
	});
	const isReady = () => !isStopping && fleetView.getGeneration() !== undefined;
	const getState = (): messages.EntryState => ({
		trafficAddress: settings.trafficAddress,
		linkAddress: settings.linkAddress,
		forwardingAddress: settings.forwardingAddress,
		isReady: isReady(),
		isIsolated: reach.isIsolated(),
		load: meter.getLoad(),
	});
	let reportedState: messages.EntryState | undefined;
	const reportState = () => {
		const state = getState();
		const isSame = state.isReady === reportedState?.isReady && state.isIsolated === reportedState.isIsolated && Math.abs(state.load - reportedState.load) < MIN_REPORTED_LOAD_CHANGE;
		if (isSame) {
			return;
		}

		reportedState = state;
		controlLinks.notifyAll(messages.METHODS.state, state);
	};

	const meter = startLoadMeter(context, {
		getBusyMilliseconds: () => performance.eventLoopUtilization().active,
		getBytes: () => opened.traffic?.getTransferredBytes() ?? 0,
		linkBytesPerSecond: settings.linkBytesPerSecond,
		onMeasured: reportState,
	});

	const findControlHost = (from: link.Link) => controlLinks.getOpen().find(open => open.link === from);
	let directory = EMPTY_DIRECTORY_TABLE;
	const applyDirectory = (table: DirectoryTable) => {
		// An empty directory comes from a control host that has just started.
		directory = Object.keys(table.addresses).length > 0 ? table : directory;
	};

	const entryHostCount = createEntryHostCount(context.now, () => countAddresses(directory));
	const overloadControl = createOverloadControl(settings.overloadControl ?? 'off', () => directory.isLargeFleet === true);
	const requestShare = createRequestShare(entryHostCount.get, ASSUMED_ENTRY_HOSTS, overloadControl.isOn);
	const pools = createPoolChoice(context, {failureDomain: settings.failureDomain, overloadControl, listCandidates: fleetView.listCandidates});
	const allotmentEnforcer = startAllotmentEnforcer(context, {
		settings: settings.allotments,
		requestShare,
		isReceivingReports: false,
		notifyDispatchers(method, parameters) {
			controlLinks.notifyAll(method, parameters);
			standbys.notifyAll(method, parameters);
		},
	});
	const probeUpstream = proxy.createUpstreamProbe(dialect);
	const checkHealth = async ({service, upstream, address}: Pick<instances.Instance, 'service' | 'upstream' | 'address'>) =>
		probeUpstream({upstream, address, healthPath: fleetView.findService(service)?.healthPath ?? '/'});
	const reach = createUpstreamReach(context, {listInstances: fleetView.listServingInstances, probe: checkHealth, onChanged: reportState});
	const ownForwardingText = settings.forwardingAddress && core.formatAddress(settings.forwardingAddress);
	const forwardingTargets = createForwardingTargets(context, () =>
		(directory.forwardingAddresses ?? []).filter(address => core.formatAddress(address) !== ownForwardingText));
	const crashGuard = createEntryCrashGuard(context, {
		notifyControlHosts(method, parameters) {
			controlLinks.notifyAll(method, parameters);
		},
		probe: checkHealth,
		confirmReach: reach.confirm,
		isReplaced: fleetView.isReplaced,
	});
	const requestingHosts = createRequestingHosts();
	const ownDispatcher = startHostDispatcher(context, {
		settings,
		allotmentEnforcer,
		requestShare,
		overloadControl,
		isReceivingUpdates: false,
		onEntryHostCount: entryHostCount.record,
		listCandidates: fleetView.listCandidates,
		listEntryDomains: () => listEntryDomains(directory),
		listStandbys: () => [],
		notify(host, method, parameters) {
			if (host !== settings.hostId) {
				requestingHosts.find(host)?.notify(method, parameters);
			} else if (method === messages.METHODS.answer) {
				dispatchClient.handleAnswer(...parameters as [number, EncodedAnswer]);
			}
		},
		notifyControlHosts(method, parameters) {
			// Without requesting hosts, what this host holds against an upstream may be a fault of its own network path.
			if (requestingHosts.count() > 0) {
				controlLinks.notifyAll(method, parameters);
			}
		},
	});
	const methods: link.LinkMethods = new Map<string, link.LinkMethod>(Object.entries({
		[messages.METHODS.controls](controls: readonly ControlHost[]) {
			controlLinks.addDiscovered(controls);
		},
		[messages.METHODS.generationVersion]({version}: {version: number}, from: link.Link) {
			const control = findControlHost(from);
			if (control !== undefined) {
				fleetView.recordVersion(control, version);
			}
		},
		[messages.METHODS.instancesChanged]: fleetView.applyInstances,
		[messages.METHODS.retired](changes: messages.RetirementChanges, from: link.Link) {
			retirementFollower.applyChanges(from, changes);
		},
		[messages.METHODS.answer]([requestNumber, answer]: [number, EncodedAnswer]) {
			dispatchClient.handleAnswer(requestNumber, answer);
		},
		[messages.METHODS.updates]: ownDispatcher.applyUpdates,
		[messages.METHODS.use]: allotmentEnforcer.applyReport,
		[messages.METHODS.believe]: ownDispatcher.applyBelief,
		[messages.METHODS.beliefNews]: ownDispatcher.applyBeliefs,
		[messages.METHODS.standbys](hosts: readonly StandbyHost[]) {
			standbys.setHosts(hosts);
		},
		[messages.METHODS.directory]: applyDirectory,
		[messages.METHODS.crashes]: crashGuard.applyRecords,
		...createSlotRequestMethods(ownDispatcher, requestingHosts.findByLink),
		[messages.METHODS.hello]({id, failureDomain}: messages.Hello, from: link.Link) {
			requestingHosts.add({id, failureDomain}, from);
			return {
				failureDomain: settings.failureDomain, controls: [], standbys: [], directory: EMPTY_DIRECTORY_TABLE, version: 0,
			} satisfies messages.Welcome;
		},
	}));
	const sendCrashRecords = (controlLink: link.Link) => {
		const records = crashGuard.listRecords();
		if (records.length > 0) {
			controlLink.notify(messages.METHODS.crashes, records);
		}
	};

	const startedAt = context.now();
	const createHello = (): messages.Hello => ({
		id: settings.hostId, failureDomain: settings.failureDomain, entry: getState(), runningMilliseconds: Math.round(context.now() - startedAt),
	});
	const controlLinks = startControlLinks(context, {
		seeds: settings.seeds,
		hostId: settings.hostId,
		failureDomain: settings.failureDomain,
		createHello,
		methods,
		isRecentlyAsked: dispatcherLink => dispatchClient.isRecentlyAsked(dispatcherLink),
		onOpen(control, {
			version, standbys: standbyHosts, directory: directoryTable, retirementIndex = 0,
		}) {
			standbys.setHosts(standbyHosts);
			applyDirectory(directoryTable);
			// The state may have changed since the hello, so it is sent again.
			control.link.notify(messages.METHODS.state, getState());
			sendCrashRecords(control.link);
			if (requestingHosts.count() > 0) {
				// This host has dispatched for others while the control host was away.
				control.link.notify(messages.METHODS.beliefs, ownDispatcher.listBeliefs());
				sendUpdates(control.link, ownDispatcher);
			}

			fleetView.recordVersion(control, version);
			retirementFollower.recordIndex(control.link, retirementIndex);
			fleetView.followInstances();
			startupGate.check();
		},
		onLost(control) {
			fleetView.handleControlHostLost(control);
			dispatchClient.handleDispatcherLost(control);
		},
	});
	const standbys = createStandbys(context, {
		hostId: settings.hostId,
		createHello,
		methods,
		onLost(standby) {
			dispatchClient.handleDispatcherLost(standby);
		},
	});
	const dispatchClient = createDispatchClient(context, {
		settings,
		countEntryHosts: entryHostCount.get,
		getControlHosts: controlLinks.getOpen,
		pools,
		overloadControl,
		standbys,
		ownDispatcher,
		isRetired: fleetView.isRetired,
		getLinkDelay: () => Math.min(MAX_LINK_DELAY_MILLISECONDS, (opened.traffic?.getLargeBodyBytes() ?? 0) * MILLISECONDS_PER_SECOND / settings.linkBytesPerSecond),
	});
	const linkServer = await link.openLinkServer({
		address: settings.linkAddress,
		methods,
		order: createMessageOrder(context, overloadControl),
		now: context.now,
		onClose(closed) {
			requestingHosts.remove(closed);
		},
		onDefect(error) {
			log.error('A message from another host could not be handled.', {error: error.stack});
		},
	});
	const traffic = await proxy.openTrafficServer(settings.trafficAddress, {
		hostId: settings.hostId,
		now: context.now,
		dialect,
		route: createRouter(context, {
			fleetView, dispatchClient, reach, forwardingTargets,
		}),
		routes: startupGate,
		claim: async () => ({kind: 'refused', failure: proxy.createRequestFailure('idempotency-records-unavailable', 'This fleet keeps no keys.')}),
		guard: crashGuard.guard,
		random: context.random,
		answerReserved(_message, response) {
			proxy.answerJson(response, 404, {});
		},
		isDraining: () => isStopping,
		connectTimeoutMilliseconds: UPSTREAM_CONNECT_TIMEOUT_MILLISECONDS,
		pacers: proxy.createPacers(settings.linkBytesPerSecond, context.now),
		recordRequest: createRequestLog(context),
		onDefect: createDefectHandler(context, 'request'),
	}, {forwardingAddress: settings.forwardingAddress});
	opened.traffic = traffic;
	context.metrics.registerGauge('requests_in_flight', traffic.getInFlight);
	context.metrics.registerGauge('held_bytes', traffic.getHeldBytes);
	context.metrics.registerGauge('generation_version', () => fleetView.getGeneration()?.version ?? 0);
	log.info('The entry host has started.', {traffic: core.formatAddress(settings.trafficAddress), seeds: settings.seeds.map(seed => seed.id)});
	context.metrics.registerGauge('isolated', () => reach.isIsolated() ? 1 : 0);
	const teardown = utils.mergeTeardowns(watchPauses(context), reach.teardown, controlLinks.close, standbys.teardown, ownDispatcher.teardown, meter.teardown);
	return {
		isReady,
		listAddresses(failureDomain, host) {
			const self = core.formatAddress(settings.trafficAddress);
			const others = lookUpAddresses(directory, failureDomain, host).filter(address => address !== self || isReady());
			return others.length > 0 || !isReady() ? others : [self];
		},
		addSeeds: controlLinks.addSeeds,
		async stop() {
			isStopping = true;
			reportState();
			log.info('The entry host is stopping.', {inFlight: traffic.getInFlight()});
			const inFlight = await stopTraffic(context, traffic, settings.stopMilliseconds);
			log.info('The entry host has stopped.', {inFlight});
			teardown();
			await linkServer.close();
		},
	};
}
