/**
What an entry host has received from the control hosts: the catalogue generation in force, the instances of upstreams, and the retired ones among
them.

The generation's version never decreases.
*/
import * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as instances from 'wagtailroute-instances';
import * as utils from 'wagtailroute-utils';
import {
	FAR_FOLLOW_DELAY_MILLISECONDS,
	FETCH_RETRY_DELAY_MILLISECONDS,
	FETCH_TIMEOUT_MILLISECONDS,
} from './constants.ts';
import {toCandidate} from './candidates.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import type {LinkedHost} from './control-links.ts';
import {createGenerationFetcher} from './generation-fetcher.ts';
import {type InstanceChanges, METHODS} from './messages.ts';

/**
An entry host's copy of the catalogue and the instances. Lookups of an unknown route, key or service return undefined.
*/
export type FleetView = {
	readonly getGeneration: () => generations.Generation | undefined;
	readonly findRoute: generations.RouteFinder;
	readonly findOrganisation: generations.OrganisationFinder;
	readonly findService: (name: core.ServiceName) => generations.GenerationService | undefined;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Returns the instances of all services that accept requests.
	*/
	readonly listServingInstances: () => readonly instances.Instance[];
	readonly isRetired: (upstream: core.UpstreamId) => boolean;
	/**
	Returns whether another instance has taken the upstream's name or address.
	*/
	readonly isReplaced: (upstream: core.UpstreamId) => boolean;
	/**
	Returns the addresses of all known instances, as text.
	*/
	readonly listAddresses: () => ReadonlySet<string>;
	/**
	Records the generation version that a control host has, and fetches the generation if it is newer than this host's.
	*/
	readonly recordVersion: (control: LinkedHost, version: number) => void;
	/**
	Applies new, changed and forgotten instances, and retirements.
	*/
	readonly applyInstances: (changes: InstanceChanges) => void;
	readonly applyRetirements: (retirements: readonly generations.Retirement[]) => void;
	/**
	Fetches all instances from a linked control host, which then sends every change: one of the own failure domain, or after a delay any other, until one of
	the own is linked.
	*/
	readonly followInstances: () => void;
	/**
	Follows the instances through another control host if the lost one sent them.
	*/
	readonly handleControlHostLost: (control: LinkedHost) => void;
};

/**
Collaborators of a fleet view.
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
	findOrganisation: generations.OrganisationFinder;
	services: ReadonlyMap<core.ServiceName, generations.GenerationService>;
	instanceSource: LinkedHost | undefined;
};

/**
Creates the view of a host that has received nothing.
*/
export function createFleetView(context: FleetContext, options: FleetViewOptions): FleetView {
	const {now, schedule} = context;
	const log = context.logs('knowledge');
	const onDefect = createDefectHandler(context, 'instance-follow');
	const instanceTable = instances.createInstanceTable();
	const retired = new Map<core.UpstreamId, generations.RetirementState>();
	const state: State = {
		generation: undefined,
		findRoute: () => undefined,
		findOrganisation: () => undefined,
		services: new Map(),
		instanceSource: undefined,
	};

	const getVersion = () => state.generation?.version ?? 0;

	const isNear = (control: LinkedHost) => control.host.failureDomain === options.failureDomain;

	const applyGeneration = (generation: generations.Generation) => {
		// The answer may come from a control host that lags behind; it must not replace a newer generation.
		if (generation.version <= getVersion()) {
			return;
		}

		state.generation = generation;
		state.findRoute = generations.createRouteFinder(generation);
		state.findOrganisation = generations.createOrganisationFinder(generation);
		state.services = new Map(generation.services.map(service => [service.name, service]));
		log.info('A catalogue generation is now in force.', {version: generation.version, routes: generation.routes.length});
		options.onGeneration(generation);
	};

	const generationFetcher = createGenerationFetcher(context, {...options, getVersion, apply: applyGeneration});

	const applyRetirements = (retirements: readonly generations.Retirement[]) => {
		for (const {upstream, state: retirement} of retirements) {
			const service = instanceTable.get(upstream)?.service;
			utils.setBounded(retired, upstream, retirement, generations.MAX_RETIREMENTS);
			const hasChanged = instanceTable.retire(upstream, retirement);
			if (service === undefined || !hasChanged) {
				continue;
			}

			log.info('An upstream instance was retired.', {upstream, service, state: retirement});
			options.onInstancesChanged(service);
		}
	};

	const applyInstances = ({heard, forgotten, retirements}: InstanceChanges) => {
		applyRetirements(retirements);
		const changed = new Set<core.ServiceName>();
		for (const {ageMilliseconds, ...heartbeat} of heard) {
			const outcome = instanceTable.applyHeartbeat(heartbeat, now() - ageMilliseconds);
			if (outcome === 'news') {
				changed.add(heartbeat.service);
			} else if (outcome === 'invalid') {
				log.warn('An upstream instance with an unusable address was ignored.', {upstream: heartbeat.upstream, service: heartbeat.service, address: core.formatAddress(heartbeat.address)});
			}
		}

		for (const upstream of forgotten) {
			const service = instanceTable.get(upstream)?.service;
			instanceTable.remove(upstream);
			if (service !== undefined) {
				changed.add(service);
			}
		}

		for (const service of changed) {
			options.onInstancesChanged(service);
		}
	};

	const followFrom = async (source: LinkedHost) => {
		const previous = state.instanceSource;
		state.instanceSource = source;
		const answer = await source.link.call(METHODS.followInstances, {}, FETCH_TIMEOUT_MILLISECONDS);
		if (answer.isOk()) {
			applyInstances(answer.value as InstanceChanges);
			previous?.link.notify(METHODS.unfollowInstances, {});
		} else if (state.instanceSource === source) {
			state.instanceSource = previous?.link.isOpen() === true ? previous : undefined;
			schedule(FETCH_RETRY_DELAY_MILLISECONDS, followInstances);
		}
	};

	const startFollowing = (source: LinkedHost) => {
		utils.runDetached(async () => followFrom(source), error => {
			onDefect(error);
			state.instanceSource = state.instanceSource === source ? undefined : state.instanceSource;
			schedule(FETCH_RETRY_DELAY_MILLISECONDS, followInstances);
		});
	};

	const hasOpenSource = () => state.instanceSource?.link.isOpen() === true;

	const scheduleFarFollow = utils.coalesce(schedule, FAR_FOLLOW_DELAY_MILLISECONDS, () => {
		const open = options.getControlHosts();
		const source = open.find(control => isNear(control)) ?? open[Math.floor(context.random() * open.length)];
		if (source !== undefined && !hasOpenSource()) {
			startFollowing(source);
		}
	});

	const followInstances = () => {
		const near = options.getControlHosts().find(control => isNear(control));
		const isFollowingNear = hasOpenSource() && isNear(state.instanceSource!);
		if (near !== undefined && !isFollowingNear) {
			startFollowing(near);
		} else if (!hasOpenSource()) {
			scheduleFarFollow();
		}
	};

	return {
		getGeneration: () => state.generation,
		findRoute: (host, path) => state.findRoute(host, path),
		findOrganisation: key => state.findOrganisation(key),
		findService: name => state.services.get(name),
		// Only control hosts receive heartbeats and detect silent instances; this host receives changes only, so none counts as silent here.
		listCandidates: service => instanceTable.list(service).map(instance => toCandidate(instance, false)),
		listServingInstances: () => instanceTable.listAll().filter(({state: instanceState}) => instanceState === 'serving'),
		isRetired: upstream => retired.has(upstream),
		isReplaced: instanceTable.isReplaced,
		listAddresses: () => new Set(instanceTable.listAll().map(instance => core.formatAddress(instance.address))),
		recordVersion: generationFetcher.recordVersion,
		applyInstances,
		applyRetirements,
		followInstances,
		handleControlHostLost(control) {
			generationFetcher.handleControlHostLost(control);
			if (state.instanceSource?.link !== control.link) {
				return;
			}

			state.instanceSource = undefined;
			followInstances();
		},
	};
}
