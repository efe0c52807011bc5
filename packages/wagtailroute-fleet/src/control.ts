/**
A control host: it takes heartbeats and operators' generations, keeps both with the other control hosts, dispatches services,
and answers the directory.
*/
import * as core from 'wagtailroute-core';
import type * as generations from 'wagtailroute-generations';
import type * as instances from 'wagtailroute-instances';
import * as link from 'wagtailroute-link';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {type LinkedHost, startAbsenceTracker} from './absences.ts';
import {startAllotmentEnforcer} from './allotment-enforcer.ts';
import {startControlLinks} from './control-links.ts';
import {createAskMethods} from './ask-methods.ts';
import {createBeliefStore} from './belief-store.ts';
import {
	BELIEVE_MILLISECONDS,
	CONTROLS_TOLD_MILLISECONDS,
	STANDBYS_MILLISECONDS,
	STANDBYS_TOLD,
} from './constants.ts';
import {orderDispatchers} from './dispatch-order.ts';
import {startDirectory} from './directory.ts';
import {countAddresses} from './directory-table.ts';
import {sendUpdates, startDispatching} from './dispatching.ts';
import {createHostCount} from './host-count.ts';
import {createEntryHosts, describeEntryHost, type EntryHost} from './entry-hosts.ts';
import type {FleetContext} from './context.ts';
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
import {startRegistry} from './registry.ts';
import {watchPauses} from './pauses.ts';
import {createRequestShare} from './request-share.ts';
import type {ControlHost, ControlSettings, StandbyHost} from './settings.ts';
import {chooseStandbys} from './standby-choice.ts';

/**
A running control host.
*/
export type Control = {
	/**
	Takes a heartbeat of an instance that serves.
	*/
	readonly takeHeartbeat: (heartbeat: instances.Heartbeat) => void;
	/**
	Returns the newest start of a server that is known, in Unix milliseconds; 0 when it is unknown or told none.
	*/
	readonly findStart: (server: string) => number;
	/**
	Resolves once the whole fleet is bound not to send new requests to the instance.
	*/
	readonly retire: (retirement: generations.Retirement) => Promise<results.Result<void, LeaderFailure>>;
	/**
	Resolves once the generation, or a newer one, is kept by a quorum. The result is the version in force.
	*/
	readonly putGeneration: (stored: generations.StoredGeneration) => Promise<results.Result<number, LeaderFailure>>;
	/**
	Reads the newest generation as it was sent; undefined before the first.
	*/
	readonly readGeneration: () => Promise<results.Result<string | undefined, LeaderFailure>>;
	/**
	Returns the addresses of entry hosts for a caller.

	@param host Host name that the caller is going to use.
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
	const entries = createEntryHosts(settings.failureDomain, context.now);
	const methods = new Map<string, link.LinkMethod>();
	const registry = startRegistry(context, {
		tellControls(method, parameters) {
			links.notifyAll(method, parameters);
		},
		onChanged(service) {
			dispatching.refresh(service);
		},
		store: createInstanceStore(settings.dataFolder, context.logs('instances')),
	});
	const hostCount = createHostCount(context.now, () => countAddresses(directory.getTable()));
	// After a restart of everything no entry host is known, and whoever asks is all there is.
	const requestShare = createRequestShare(hostCount.get, 1);
	const absences = startAbsenceTracker(context, {
		listHosts: () => entries.listAll().map(host => describeHeard(host)),
		getHostShare: requestShare.getHostShare,
		windowMilliseconds: settings.allotments.windowMilliseconds,
	});
	const allotting = startAllotmentEnforcer(context, {
		settings: settings.allotments,
		requestShare,
		absences,
		isReceivingReports: true,
		notifyDispatchers(method, parameters) {
			links.notifyAll(method, parameters);
		},
	});
	const dispatching = startDispatching(context, {
		settings,
		allotting,
		requestShare,
		isTold: true,
		onEntryHosts: hostCount.record,
		listCandidates: registry.listCandidates,
		listStandbys: service => orderDispatchers(service, standbys, host => host.id).slice(0, STANDBYS_TOLD).map(host => host.id),
		notify(host, method, parameters) {
			entries.find(host)?.link.notify(method, parameters);
		},
		tellControls(method, parameters) {
			links.notifyAll(method, parameters);
			keepBeliefs();
		},
	});
	const beliefStore = createBeliefStore(settings.dataFolder, context.logs('beliefs'), {getTimeOfDay: Date.now});
	const keepBeliefs = utils.coalesce(context.schedule, BELIEVE_MILLISECONDS, () => {
		void beliefStore.save(dispatching.listBeliefs());
	});
	const directory = startDirectory(context, {
		failureDomain: settings.failureDomain,
		entries,
		report: service => dispatching.report(service),
	});
	let standbys: readonly StandbyHost[] = [];
	const tellStandbys = utils.coalesce(context.schedule, STANDBYS_MILLISECONDS, () => {
		const chosen = chooseStandbys(entries.listReady());
		if (chosen.map(({id}) => id).join(' ') === standbys.map(({id}) => id).join(' ')) {
			return;
		}

		standbys = chosen;
		entries.notifyAll(messages.METHODS.standbys, standbys);
	});
	const listControls = () => [self, ...links.getOpen().map(open => open.host)];
	const getVersion = () => group.getStored()?.generation.version ?? 0;

	const tellControls = utils.coalesce(context.schedule, CONTROLS_TOLD_MILLISECONDS, () => {
		const controls = listControls();
		entries.notifyAll(messages.METHODS.controls, controls);
		links.notifyAll(messages.METHODS.controls, controls);
	});

	registerMethods(methods, {
		[messages.METHODS.hello](hello: messages.Hello, from: link.Link) {
			if (hello.entry !== undefined) {
				const host = {
					id: hello.id, failureDomain: hello.failureDomain, state: hello.entry, link: from,
				};
				entries.add(host);
				absences.recordHello(hello.id, hello.runningMilliseconds ?? Infinity);
				tellStandbys();
				log.info('Entry host joined.', describeEntryHost(host));
			}

			if (hello.control !== undefined) {
				links.addDiscovered([hello.control]);
			}

			return {
				failureDomain: settings.failureDomain, controls: listControls(), standbys, directory: directory.getTable(), version: getVersion(),
			} satisfies messages.Welcome;
		},
		[messages.METHODS.state](state: messages.EntryState, from: link.Link) {
			const before = entries.setState(from, state);
			if (before === undefined || before.state.isReady === state.isReady) {
				return;
			}

			log.info('Entry host changed.', describeEntryHost({...before, state}));
			tellStandbys();
		},
		[messages.METHODS.controls](controls: readonly ControlHost[]) {
			links.addDiscovered(controls);
		},
		[messages.METHODS.group](message: messages.GroupMessage) {
			group.receive(message);
		},
		[messages.METHODS.propose]: async ({command}: {command: generations.GenerationCommand}) => group.propose(command),
		[messages.METHODS.readGeneration]: async () => group.read(),
		[messages.METHODS.fetchGeneration]: () => ({generation: group.getStored()?.generation ?? null}) satisfies messages.FetchedGeneration,
		[messages.METHODS.heard]: registry.takeRelayed,
		[messages.METHODS.listInstances]: () => registry.describeAll(),
		[messages.METHODS.followInstances](_parameters: unknown, from: link.Link) {
			registry.follow(from);
			return registry.describeAll();
		},
		[messages.METHODS.believe](belief: messages.Belief) {
			dispatching.hearBelief(belief);
			keepBeliefs();
		},
		[messages.METHODS.updates]: dispatching.applyUpdates,
		[messages.METHODS.beliefs](beliefs: readonly messages.Belief[]) {
			dispatching.hearBeliefs(beliefs);
		},
		[messages.METHODS.use]: allotting.applyReport,
		[messages.METHODS.probe]: () => ({}),
		...createAskMethods(dispatching, entries.findByLink),
	});
	const links = startControlLinks(context, {
		seeds: settings.seeds,
		hostId: settings.hostId,
		failureDomain: settings.failureDomain,
		createHello: () => ({id: settings.hostId, failureDomain: settings.failureDomain, control: self}),
		methods,
		onOpen({link: opened}) {
			tellControls();
			opened.notify(messages.METHODS.beliefs, dispatching.listBeliefs());
			sendUpdates(opened, dispatching);
			void registry.catchUp(opened);
		},
		onLost: tellControls,
	});
	const group = startControlGroup(context, {
		settings,
		send(to, message) {
			links.find(to)?.notify(messages.METHODS.group, message);
		},
		getRunning: () => links.getOpen().map(open => open.host),
		getKnown: () => links.getOpen().map(open => open.host.id),
		onGeneration(generation) {
			log.info('Generation in force.', {version: generation.version, routes: generation.routes.length});
			directory.setGeneration(generation);
			allotting.setOrganisations(generation.organisations);
			entries.notifyAll(messages.METHODS.generationVersion, {version: generation.version});
		},
		onRetired(retirements) {
			for (const retirement of retirements) {
				registry.retire(retirement);
			}

			entries.notifyAll(messages.METHODS.retired, {retirements});
		},
	});
	await registry.loaded;
	const kept = await beliefStore.load();
	dispatching.hearBeliefs(kept.beliefs, kept.ageMilliseconds);
	log.info('Beliefs taken up.', {beliefs: kept.beliefs.length, ageMilliseconds: Math.round(kept.ageMilliseconds)});
	// Opened last: the parts need each other, and a message may come as soon as there is a server.
	const server = await link.openLinkServer({
		address: settings.linkAddress,
		methods,
		order: createMessageOrder(context),
		now: context.now,
		onClose(closed) {
			registry.unfollow(closed);
			const host = entries.remove(closed);
			if (host === undefined) {
				return;
			}

			absences.recordLinkClosed(describeHeard(host));
			log.info('Entry host left.', describeEntryHost(host));
			tellStandbys();
		},
		onDefect(error) {
			log.error('Message could not be handled.', {error: error.stack});
		},
	});
	const calls: LeaderCallOptions = {hostId: settings.hostId, group, findLink: links.find};
	context.metrics.registerGauge('entry_hosts', entries.count);
	context.metrics.registerGauge('entry_hosts_absent', () => absences.list().length);
	context.metrics.registerGauge('instances', registry.countInstances);
	context.metrics.registerGauge('generation_version', getVersion);
	log.info('Host started.', {address: core.formatAddress(settings.linkAddress), isFirstStart: settings.isFirstStart});
	const teardown = utils.mergeTeardowns(watchPauses(context), absences.teardown, registry.teardown, dispatching.teardown, directory.teardown, links.close);
	return {
		takeHeartbeat(heartbeat) {
			registry.take(heartbeat);
		},
		findStart: registry.findStart,
		async retire(retirement) {
			const known = group.getRetirement(retirement.upstream);
			if (known === 'gone' || known === retirement.state) {
				return results.Ok(undefined);
			}

			const proposed = await proposeToLeader(calls, {name: 'retire', retirement});
			log.info('Retirement proposed.', {...retirement, isTaken: proposed.isOk()});
			return proposed.map(() => undefined);
		},
		async putGeneration(stored) {
			const startedAt = context.now();
			const proposed = await proposeToLeader(calls, {name: 'put', stored});
			log.info('Generation proposed.', {
				version: stored.generation.version, isTaken: proposed.isOk(), leader: group.getLeader(), milliseconds: Math.round(context.now() - startedAt),
			});
			return proposed;
		},
		async readGeneration() {
			const startedAt = context.now();
			const read = await readFromLeader(calls);
			log.info('Generation read.', {isAnswered: read.isOk(), leader: group.getLeader(), milliseconds: Math.round(context.now() - startedAt)});
			return read.map(document => document ?? undefined);
		},
		listAddresses: directory.listAddresses,
		addSeeds: links.addSeeds,
		async close() {
			teardown();
			await group.close();
			await server.close();
			log.info('Host stopped.');
		},
	};
}

function describeHeard({id, state, link: over}: EntryHost): LinkedHost {
	return {id, isReady: state.isReady, silenceMilliseconds: over.getSilence()};
}

function registerMethods(methods: Map<string, link.LinkMethod>, table: Readonly<Record<string, link.LinkMethod>>): void {
	for (const [name, method] of Object.entries(table)) {
		methods.set(name, method);
	}
}
