/**
A control host. It receives heartbeats of upstreams and generations from operators, shares both with the other control hosts,
dispatches services, and answers directory look-ups.
*/
import * as core from 'wagtailroute-core';
import * as generations from 'wagtailroute-generations';
import type * as instances from 'wagtailroute-instances';
import * as link from 'wagtailroute-link';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {type EntryHostStatus, startAbsenceTracker} from './absences.ts';
import {startAllotmentEnforcer} from './allotment-enforcer.ts';
import {startControlLinks} from './control-links.ts';
import {createSlotRequestMethods} from './slot-request-methods.ts';
import {createBeliefStore} from './belief-store.ts';
import {createCrashRegistry} from './crash-registry.ts';
import {
	BELIEFS_SAVE_DELAY_MILLISECONDS,
	CONTROL_HOSTS_BATCH_MILLISECONDS,
	ENTRY_CONTROL_HOSTS_BATCH_MILLISECONDS,
	MAX_ANNOUNCED_RETIREMENTS,
	STANDBYS_BATCH_MILLISECONDS,
	STANDBYS_PER_SERVICE,
} from './constants.ts';
import {orderPoolDispatchers} from './dispatch-order.ts';
import {startDirectory} from './directory.ts';
import {countAddresses, listEntryDomains} from './directory-table.ts';
import {sendUpdates, startHostDispatcher} from './host-dispatcher.ts';
import {createEntryHostCount} from './host-count.ts';
import {createEntryHosts, describeEntryHost, type EntryHost} from './entry-hosts.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import {createInstanceStore} from './instance-store.ts';
import {startControlGroup} from './group.ts';
import {
	type LeaderCallOptions,
	type LeaderFailure,
	proposeToLeader,
	readFromLeader,
} from './leader-calls.ts';
import {createMessageOrder} from './message-order.ts';
import * as messages from './messages.ts';
import {createLargeFleetCheck, createOverloadControl} from './overload-control.ts';
import {startInstanceRegistry} from './registry.ts';
import {watchPauses} from './pauses.ts';
import {createRequestShare} from './request-share.ts';
import {createRetirementFollower} from './retirement-follower.ts';
import type {ControlHost, ControlSettings, StandbyHost} from './settings.ts';
import {chooseStandbys} from './standby-choice.ts';

/**
A running control host.
*/
export type Control = {
	/**
	Handles a heartbeat that an instance sent to this host, and relays it to the other control hosts.
	*/
	readonly receiveHeartbeat: (heartbeat: instances.Heartbeat) => void;
	/**
	Returns the latest known start of a server in Unix milliseconds; 0 when the server is unknown or its heartbeats give no start.
	*/
	readonly findLatestStart: (server: string) => number;
	/**
	Resolves once a quorum has stored that no host may send new requests to the instance.
	*/
	readonly retire: (retirement: generations.Retirement) => Promise<results.Result<void, LeaderFailure>>;
	/**
	Resolves once a quorum has stored the generation or a newer one. The result is the version in force.
	*/
	readonly putGeneration: (submitted: generations.SubmittedGeneration) => Promise<results.Result<number, LeaderFailure>>;
	/**
	Returns the document of the newest generation as the operator sent it; undefined before the first.
	*/
	readonly readGeneration: () => Promise<results.Result<string | undefined, LeaderFailure>>;
	/**
	Returns the addresses of entry hosts for a caller, as text.

	@param host Host name of the requests that the caller is going to send.
	*/
	readonly listAddresses: (failureDomain: core.FailureDomain, host: string) => readonly string[];
	readonly addSeeds: (seeds: readonly ControlHost[]) => void;
	readonly close: () => Promise<void>;
};

/**
Starts a control host.
*/
export async function startControl(context: FleetContext, settings: ControlSettings): Promise<Control> {
	const log = context.logs('control');
	const self: ControlHost = {id: settings.hostId, address: settings.linkAddress, failureDomain: settings.failureDomain};
	const entryHosts = createEntryHosts(settings.failureDomain, context.now);
	const methods = new Map<string, link.LinkMethod>();
	const registry = startInstanceRegistry(context, {
		notifyControlHosts(method, parameters) {
			links.notifyAll(method, parameters);
		},
		onChanged(service) {
			dispatcher.refreshCandidates(service);
		},
		store: createInstanceStore(settings.dataFolder, context.logs('instances')),
	});
	const entryHostCount = createEntryHostCount(context.now, () => countAddresses(directory.getTable()));
	const isLargeFleet = createLargeFleetCheck(entryHosts.count);
	const overloadControl = createOverloadControl(settings.overloadControl ?? 'off', isLargeFleet);
	// After a restart of the whole fleet no entry host is known yet: the hosts that request slots count as all of them.
	const requestShare = createRequestShare(entryHostCount.get, 1, overloadControl.isOn);
	const absenceTracker = startAbsenceTracker(context, {
		listHosts: () => entryHosts.listAll().map(host => toEntryHostStatus(host)),
		getHostShare: requestShare.getHostShare,
		windowMilliseconds: settings.allotments.windowMilliseconds,
	});
	const allotmentEnforcer = startAllotmentEnforcer(context, {
		settings: settings.allotments,
		requestShare,
		absences: absenceTracker,
		isReceivingReports: true,
		notifyDispatchers(method, parameters) {
			links.notifyAll(method, parameters);
		},
	});
	const dispatcher = startHostDispatcher(context, {
		settings,
		allotmentEnforcer,
		requestShare,
		overloadControl,
		isReceivingUpdates: true,
		onEntryHostCount: entryHostCount.record,
		listCandidates: registry.listCandidates,
		lending: {
			failureDomain: settings.failureDomain,
			isFirstDispatcher: pool => orderPoolDispatchers(pool, listControlHosts(), host => host)[0]?.id === self.id,
		},
		listEntryDomains: () => listEntryDomains(directory.getTable()),
		listStandbys: pool => orderPoolDispatchers(pool, standbys, host => host).slice(0, STANDBYS_PER_SERVICE).map(host => host.id),
		notify(host, method, parameters) {
			entryHosts.find(host)?.link.notify(method, parameters);
		},
		notifyControlHosts(method, parameters) {
			links.notifyAll(method, parameters);
			// Reports of free slots are frequent, and change no belief.
			if (method !== messages.METHODS.room) {
				saveBeliefs();
			}
		},
	});
	const beliefStore = createBeliefStore(settings.dataFolder, context.logs('beliefs'), {getTimeOfDay: Date.now});
	const saveBeliefs = utils.coalesce(context.schedule, BELIEFS_SAVE_DELAY_MILLISECONDS, () => {
		void beliefStore.save(dispatcher.listBeliefs());
	});
	const directory = startDirectory(context, {
		isLargeFleet,
		failureDomain: settings.failureDomain,
		entryHosts,
		listUpstreamReports: service => dispatcher.listUpstreamReports(service),
	});
	let standbys: readonly StandbyHost[] = [];
	const publishStandbys = utils.coalesce(context.schedule, STANDBYS_BATCH_MILLISECONDS, () => {
		const chosen = chooseStandbys(entryHosts.listReady());
		if (chosen.map(({id}) => id).join(' ') === standbys.map(({id}) => id).join(' ')) {
			return;
		}

		standbys = chosen;
		entryHosts.notifyAll(messages.METHODS.standbys, standbys);
	});
	const crashRegistry = createCrashRegistry(context, {
		folder: settings.dataFolder, notifyEntryHosts: entryHosts.notifyAll, findHeartbeatStatus: registry.findHeartbeatStatus,
	});
	const applyRetirements = (retirements: readonly generations.Retirement[]) => {
		for (const retirement of retirements) {
			registry.retire(retirement);
		}
	};

	// The replica of this host may be behind, or not open.
	const retirementFollower = createRetirementFollower(context, applyRetirements);
	const listControlHosts = () => [self, ...links.getOpen().map(open => open.host)];
	const getVersion = () => group.getStored()?.generation.version ?? 0;

	const publishControlHosts = utils.coalesce(context.schedule, CONTROL_HOSTS_BATCH_MILLISECONDS, () => {
		links.notifyAll(messages.METHODS.controls, listControlHosts());
		publishToEntryHosts();
	});
	const publishToEntryHosts = utils.coalesce(context.schedule, ENTRY_CONTROL_HOSTS_BATCH_MILLISECONDS, () => {
		entryHosts.notifyAll(messages.METHODS.controls, listControlHosts());
	});

	registerMethods(methods, {
		[messages.METHODS.hello](hello: messages.Hello, from: link.Link) {
			if (hello.entry !== undefined) {
				const host = {
					id: hello.id, failureDomain: hello.failureDomain, state: hello.entry, link: from,
				};
				entryHosts.add(host);
				absenceTracker.recordHello(hello.id, hello.runningMilliseconds ?? Infinity);
				publishStandbys();
				crashRegistry.sendTo(from, 'entry');
				log.info('An entry host joined.', describeEntryHost(host));
			}

			if (hello.control !== undefined) {
				links.addDiscovered([hello.control]);
			}

			return {
				failureDomain: settings.failureDomain,
				controls: listControlHosts(),
				standbys,
				directory: directory.getTable(),
				version: getVersion(),
				retirementIndex: group.getRetirementIndex(),
			} satisfies messages.Welcome;
		},
		[messages.METHODS.state](state: messages.EntryState, from: link.Link) {
			const before = entryHosts.setState(from, state);
			if (before === undefined || before.state.isReady === state.isReady) {
				return;
			}

			log.info('The readiness of an entry host changed.', describeEntryHost({...before, state}));
			publishStandbys();
		},
		[messages.METHODS.controls](controls: readonly ControlHost[]) {
			links.addDiscovered(controls);
		},
		[messages.METHODS.group](message: messages.GroupMessage) {
			group.receive(message);
		},
		[messages.METHODS.propose]: async ({command}: {command: generations.GenerationCommand}) => group.propose(command),
		[messages.METHODS.readGeneration]: async () => group.read(),
		[messages.METHODS.fetchGeneration]({isEncoded = false}: messages.GenerationFetch): messages.FetchedGeneration {
			const stored = group.getStored();
			return isEncoded ? {encodedGeneration: stored?.encoded.generation ?? null} : {generation: stored?.generation ?? null};
		},
		[messages.METHODS.retired](changes: messages.RetirementChanges, from: link.Link) {
			retirementFollower.applyChanges(from, changes);
		},
		[messages.METHODS.fetchRetirements]: ({after}: messages.RetirementFetch) => group.listRetirements(after),
		[messages.METHODS.heard]: registry.receiveRelayed,
		[messages.METHODS.listInstances]: () => registry.getSnapshot(),
		[messages.METHODS.followInstances](_parameters: unknown, from: link.Link) {
			registry.follow(from);
			return registry.getSnapshot();
		},
		[messages.METHODS.unfollowInstances](_parameters: unknown, from: link.Link) {
			registry.unfollow(from);
		},
		[messages.METHODS.believe](belief: messages.Belief) {
			dispatcher.applyBelief(belief);
			saveBeliefs();
		},
		[messages.METHODS.updates]: dispatcher.applyUpdates,
		[messages.METHODS.room]: dispatcher.applyRooms,
		[messages.METHODS.beliefs](beliefs: readonly messages.Belief[]) {
			dispatcher.mergeBeliefs(beliefs);
		},
		[messages.METHODS.use]: allotmentEnforcer.applyReport,
		[messages.METHODS.probe]: () => ({}),
		...crashRegistry.methods,
		...createSlotRequestMethods(dispatcher, entryHosts.findByLink),
	});
	const links = startControlLinks(context, {
		seeds: settings.seeds,
		hostId: settings.hostId,
		failureDomain: settings.failureDomain,
		createHello: () => ({id: settings.hostId, failureDomain: settings.failureDomain, control: self}),
		methods,
		onOpen({link: opened}, {retirementIndex = 0}) {
			retirementFollower.recordIndex(opened, retirementIndex);
			publishControlHosts();
			opened.notify(messages.METHODS.beliefs, dispatcher.listBeliefs());
			sendUpdates(opened, dispatcher);
			crashRegistry.sendTo(opened, 'control');
			utils.runDetached(async () => registry.catchUp(opened), createDefectHandler(context, 'instance-catch-up'));
		},
		onLost: publishControlHosts,
	});
	const group = startControlGroup(context, {
		settings,
		send(to, message) {
			links.find(to)?.notify(messages.METHODS.group, message);
		},
		listLinkedHosts: () => links.getOpen().map(open => open.host),
		listSeeds: () => links.getOpen().map(open => open.host.id),
		onGeneration(generation) {
			log.info('A catalogue generation is now in force.', {version: generation.version, routes: generation.routes.length});
			directory.setGeneration(generation);
			allotmentEnforcer.setOrganisations(generation.organisations);
			entryHosts.notifyAll(messages.METHODS.generationVersion, {version: generation.version});
		},
		onRetired(changes) {
			applyRetirements(changes.retirements);
			const {retirements, index} = changes;
			const announced = retirements.length > MAX_ANNOUNCED_RETIREMENTS ? {retirements: [], after: index, index} : changes;
			entryHosts.notifyAll(messages.METHODS.retired, announced);
			links.notifyAll(messages.METHODS.retired, announced);
		},
	});
	await Promise.all([registry.loaded, crashRegistry.load()]);
	const storedBeliefs = await beliefStore.load();
	dispatcher.mergeBeliefs(storedBeliefs.beliefs, storedBeliefs.ageMilliseconds);
	log.info('The stored beliefs were loaded.', {beliefs: storedBeliefs.beliefs.length, ageMilliseconds: Math.round(storedBeliefs.ageMilliseconds)});
	// Opened last: a message may arrive as soon as the server listens, and its handler needs all the parts above.
	const server = await link.openLinkServer({
		address: settings.linkAddress,
		methods,
		order: createMessageOrder(context, overloadControl),
		now: context.now,
		onClose(closed) {
			registry.unfollow(closed);
			const host = entryHosts.remove(closed);
			if (host === undefined) {
				return;
			}

			absenceTracker.recordLinkClosed(toEntryHostStatus(host));
			log.info('An entry host left.', describeEntryHost(host));
			publishStandbys();
		},
		onDefect(error) {
			log.error('A message from another host could not be handled.', {error: error.stack});
		},
	});
	const leaderCallOptions: LeaderCallOptions = {hostId: settings.hostId, group, findLink: links.find};
	context.metrics.registerGauge('entry_hosts', entryHosts.count);
	context.metrics.registerGauge('entry_hosts_absent', () => absenceTracker.list().length);
	context.metrics.registerGauge('instances', registry.countInstances);
	context.metrics.registerGauge('generation_version', getVersion);
	log.info('The control host has started.', {address: core.formatAddress(settings.linkAddress), isFirstStart: settings.isFirstStart});
	const teardown = utils.mergeTeardowns(watchPauses(context), absenceTracker.teardown, registry.teardown, dispatcher.teardown, directory.teardown, links.close);
	return {
		receiveHeartbeat(heartbeat) {
			registry.receiveHeartbeat(heartbeat);
		},
		findLatestStart: registry.findLatestStart,
		async retire(retirement) {
			const known = group.getRetirement(retirement.upstream);
			if (known === 'gone' || known === retirement.state) {
				return results.Ok(undefined);
			}

			const proposed = await proposeToLeader(leaderCallOptions, {name: 'retire', retirement});
			log.info('A retirement was proposed to the leader.', {...retirement, isTaken: proposed.isOk()});
			return proposed.map(() => undefined);
		},
		async putGeneration(submitted) {
			// A version that this replica has applied is committed, so that a resend needs no leader.
			if (submitted.generation.version <= getVersion()) {
				return results.Ok(getVersion());
			}

			const startedAt = context.now();
			const proposed = await proposeToLeader(leaderCallOptions, {name: 'put', stored: generations.encodeGeneration(submitted)});
			log.info('A catalogue generation was proposed to the leader.', {
				version: submitted.generation.version, isTaken: proposed.isOk(), leader: group.getLeader(), milliseconds: Math.round(context.now() - startedAt),
			});
			return proposed;
		},
		async readGeneration() {
			const startedAt = context.now();
			const read = await readFromLeader(leaderCallOptions);
			log.info('A read of the catalogue generation has ended.', {isAnswered: read.isOk(), leader: group.getLeader(), milliseconds: Math.round(context.now() - startedAt)});
			return read;
		},
		listAddresses: directory.listAddresses,
		addSeeds: links.addSeeds,
		async close() {
			teardown();
			await group.close();
			await server.close();
			log.info('The control host has stopped.');
		},
	};
}

function toEntryHostStatus({id, state, link: hostLink}: EntryHost): EntryHostStatus {
	return {id, isReady: state.isReady, silenceMilliseconds: hostLink.getSilenceMilliseconds()};
}

function registerMethods(methods: Map<string, link.LinkMethod>, table: Readonly<Record<string, link.LinkMethod>>): void {
	for (const [name, method] of Object.entries(table)) {
		methods.set(name, method);
	}
}
