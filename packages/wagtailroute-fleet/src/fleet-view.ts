/**
What an entry host knows from the control hosts: the generation in force, the instances of upstreams, and which of them take
no more work.

A generation only ever moves forward. It is fetched from a control host of the own failure domain where there is one: each
host fetches it once, and bytes between failure domains cost.
*/
import * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as instances from 'wagtailroute-instances';
import * as utils from 'wagtailroute-utils';
import {
	FETCH_RETRY_DELAY_MILLISECONDS,
	FETCH_TIMEOUT_MILLISECONDS,
	FAR_FETCH_DELAY_MILLISECONDS,
} from './constants.ts';
import {toCandidate} from './candidates.ts';
import type {FleetContext} from './context.ts';
import type {LinkedHost} from './control-links.ts';
import {type FetchedGeneration, type InstanceNews, METHODS} from './messages.ts';

/**
The knowledge of an entry host.
*/
export type FleetView = {
	readonly getGeneration: () => generations.Generation | undefined;
	readonly findRoute: generations.RouteFinder;
	readonly findOrganisation: generations.KeyFinder;
	readonly findService: (name: core.ServiceName) => generations.GenerationService | undefined;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	readonly isRetired: (upstream: core.UpstreamId) => boolean;
	/**
	Returns the addresses of all instances that are known, as text.
	*/
	readonly listAddresses: () => ReadonlySet<string>;
	/**
	A control host told the version that it has.
	*/
	readonly recordVersion: (control: LinkedHost, version: number) => void;
	readonly applyInstances: (news: InstanceNews) => void;
	readonly applyRetirements: (retirements: readonly generations.Retirement[]) => void;
	/**
	Follows the instances through one of the open control hosts.
	*/
	readonly followInstances: () => void;
	readonly handleControlHostLost: (control: LinkedHost) => void;
};

/**
What the knowledge needs.
*/
export type FleetViewOptions = {
	readonly failureDomain: core.FailureDomain;
	readonly getControlHosts: () => readonly LinkedHost[];
	readonly onGeneration: (generation: generations.Generation) => void;
	readonly onInstancesChanged: (service: core.ServiceName) => void;
};

type State = {
	generation: generations.Generation | undefined;
	findRoute: generations.RouteFinder;
	findOrganisation: generations.KeyFinder;
	services: ReadonlyMap<core.ServiceName, generations.GenerationService>;
	/**
	Highest version heard, by the control hosts that told it.
	*/
	newestVersion: number;
	newestVersionHolders: Set<core.HostId>;
	isFetching: boolean;
	instanceSource: LinkedHost | undefined;
};

/**
Creates the knowledge of a host that has heard nothing.
*/
export function createFleetView(context: FleetContext, options: FleetViewOptions): FleetView {
	const {now, schedule} = context;
	const log = context.logs('knowledge');
	const instanceTable = instances.createInstanceTable();
	const retired = new Map<core.UpstreamId, generations.RetirementState>();
	const state: State = {
		generation: undefined,
		findRoute: () => undefined,
		findOrganisation: () => undefined,
		services: new Map(),
		newestVersion: 0,
		newestVersionHolders: new Set(),
		isFetching: false,
		instanceSource: undefined,
	};

	const getVersion = () => state.generation?.version ?? 0;

	const isNear = (control: LinkedHost) => control.host.failureDomain === options.failureDomain;

	const applyGeneration = (generation: generations.Generation) => {
		// A control host that lags behind may answer: what is in force here never gets older.
		if (generation.version <= getVersion()) {
			return;
		}

		state.generation = generation;
		state.findRoute = generations.createRouteFinder(generation);
		state.findOrganisation = generations.createKeyFinder(generation);
		state.services = new Map(generation.services.map(service => [service.name, service]));
		log.info('Generation in force.', {version: generation.version, routes: generation.routes.length});
		options.onGeneration(generation);
	};

	const fetchGeneration = async () => {
		if (state.isFetching || state.newestVersion <= getVersion()) {
			return;
		}

		const openHolders = options.getControlHosts().filter(control => state.newestVersionHolders.has(control.host.id));
		const source = openHolders.find(control => isNear(control)) ?? openHolders[Math.floor(context.random() * openHolders.length)];
		if (source === undefined) {
			return;
		}

		state.isFetching = true;
		const answer = await source.link.call(METHODS.fetchGeneration, {}, FETCH_TIMEOUT_MILLISECONDS);
		state.isFetching = false;
		const {generation = null} = answer.isOk() ? answer.value as FetchedGeneration : {};
		if (generation !== null) {
			applyGeneration(generation);
		}

		if (!(state.newestVersion > getVersion())) {
			return;
		}

		state.newestVersionHolders.delete(source.host.id);
		schedule(generation === null ? FETCH_RETRY_DELAY_MILLISECONDS : 0, () => {
			void fetchGeneration();
		});
	};

	const applyRetirements = (retirements: readonly generations.Retirement[]) => {
		for (const {upstream, state: retirement} of retirements) {
			const service = instanceTable.get(upstream)?.service;
			utils.setBounded(retired, upstream, retirement, generations.RETIREMENTS_KEPT);
			const hasChanged = instanceTable.retire(upstream, retirement);
			if (service === undefined || !hasChanged) {
				continue;
			}

			log.info('Instance retired.', {upstream, service, state: retirement});
			options.onInstancesChanged(service);
		}
	};

	const applyInstances = ({heard, forgotten, retirements}: InstanceNews) => {
		applyRetirements(retirements);
		const changed = new Set<core.ServiceName>();
		for (const {ageMilliseconds, ...heartbeat} of heard) {
			if (instanceTable.take(heartbeat, now() - ageMilliseconds) === 'news') {
				changed.add(heartbeat.service);
			}
		}

		for (const upstream of forgotten) {
			const service = instanceTable.get(upstream)?.service;
			instanceTable.forget(upstream);
			if (service !== undefined) {
				changed.add(service);
			}
		}

		for (const service of changed) {
			options.onInstancesChanged(service);
		}
	};

	const followInstances = () => {
		if (state.instanceSource?.link.isOpen() === true) {
			return;
		}

		const open = options.getControlHosts();
		const source = open.find(control => isNear(control)) ?? open[Math.floor(context.random() * open.length)];
		state.instanceSource = source;
		void (async () => {
			const answer = await source?.link.call(METHODS.followInstances, {}, FETCH_TIMEOUT_MILLISECONDS);
			if (answer?.isOk() === true) {
				applyInstances(answer.value as InstanceNews);
			} else if (source !== undefined && state.instanceSource === source) {
				state.instanceSource = undefined;
				schedule(FETCH_RETRY_DELAY_MILLISECONDS, followInstances);
			}
		})();
	};

	return {
		getGeneration: () => state.generation,
		findRoute: (host, path) => state.findRoute(host, path),
		findOrganisation: key => state.findOrganisation(key),
		findService: name => state.services.get(name),
		// Silence is told by control hosts only: what follows one of them hears of changes, not of heartbeats.
		listCandidates: service => instanceTable.list(service).map(instance => toCandidate(instance, false)),
		isRetired: upstream => retired.has(upstream),
		listAddresses: () => new Set(instanceTable.listAll().map(instance => core.formatAddress(instance.address))),
		recordVersion(control, version) {
			if (version < state.newestVersion || version <= getVersion()) {
				return;
			}

			if (version > state.newestVersion) {
				state.newestVersion = version;
				state.newestVersionHolders = new Set();
			}

			state.newestVersionHolders.add(control.host.id);
			if (isNear(control)) {
				void fetchGeneration();
			} else {
				schedule(FAR_FETCH_DELAY_MILLISECONDS, () => {
					void fetchGeneration();
				});
			}
		},
		applyInstances,
		applyRetirements,
		followInstances,
		handleControlHostLost(control) {
			state.newestVersionHolders.delete(control.host.id);
			if (state.instanceSource?.link !== control.link) {
				return;
			}

			state.instanceSource = undefined;
			followInstances();
		},
	};
}
