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
	FETCH_AGAIN_MILLISECONDS,
	FETCH_MILLISECONDS,
	NEAR_FETCH_MILLISECONDS,
} from './constants.ts';
import {toCandidate} from './candidates.ts';
import type {FleetContext} from './context.ts';
import type {OpenControl} from './control-links.ts';
import {type FetchedGeneration, type InstanceChanges, METHODS} from './messages.ts';

/**
The knowledge of an entry host.
*/
export type Knowledge = {
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
	readonly hearVersion: (control: OpenControl, version: number) => void;
	readonly hearInstances: (news: InstanceChanges) => void;
	readonly hearRetirements: (retirements: readonly generations.Retirement[]) => void;
	/**
	Follows the instances through one of the open control hosts.
	*/
	readonly follow: () => void;
	readonly loseControl: (control: OpenControl) => void;
};

/**
What the knowledge needs.
*/
export type KnowledgePlan = {
	readonly failureDomain: core.FailureDomain;
	readonly getOpen: () => readonly OpenControl[];
	readonly onGeneration: (generation: generations.Generation) => void;
	readonly onInstances: (service: core.ServiceName) => void;
};

type State = {
	generation: generations.Generation | undefined;
	findRoute: generations.RouteFinder;
	findOrganisation: generations.KeyFinder;
	services: ReadonlyMap<core.ServiceName, generations.GenerationService>;
	/**
	Highest version heard, by the control hosts that told it.
	*/
	wantedVersion: number;
	holders: Set<core.HostId>;
	isFetching: boolean;
	feeder: OpenControl | undefined;
};

/**
Creates the knowledge of a host that has heard nothing.
*/
export function createKnowledge(context: FleetContext, plan: KnowledgePlan): Knowledge {
	const {now, schedule} = context;
	const log = context.logs('knowledge');
	const table = instances.createInstanceTable();
	const retired = new Map<core.UpstreamId, generations.RetirementState>();
	const state: State = {
		generation: undefined,
		findRoute: () => undefined,
		findOrganisation: () => undefined,
		services: new Map(),
		wantedVersion: 0,
		holders: new Set(),
		isFetching: false,
		feeder: undefined,
	};

	const getVersion = () => state.generation?.version ?? 0;

	const isNear = (control: OpenControl) => control.host.failureDomain === plan.failureDomain;

	const putInForce = (generation: generations.Generation) => {
		// A control host that lags behind may answer: what is in force here never gets older.
		if (generation.version <= getVersion()) {
			return;
		}

		state.generation = generation;
		state.findRoute = generations.createRouteFinder(generation);
		state.findOrganisation = generations.createKeyFinder(generation);
		state.services = new Map(generation.services.map(service => [service.name, service]));
		log.info('Generation in force.', {version: generation.version, routes: generation.routes.length});
		plan.onGeneration(generation);
	};

	const fetch = async () => {
		if (state.isFetching || state.wantedVersion <= getVersion()) {
			return;
		}

		const holders = plan.getOpen().filter(control => state.holders.has(control.host.id));
		const source = holders.find(control => isNear(control)) ?? holders[Math.floor(context.random() * holders.length)];
		if (source === undefined) {
			return;
		}

		state.isFetching = true;
		const answer = await source.link.call(METHODS.fetchGeneration, {}, FETCH_MILLISECONDS);
		state.isFetching = false;
		const {generation = null} = answer.isOk() ? answer.value as FetchedGeneration : {};
		if (generation !== null) {
			putInForce(generation);
		}

		if (!(state.wantedVersion > getVersion())) {
			return;
		}

		state.holders.delete(source.host.id);
		schedule(generation === null ? FETCH_AGAIN_MILLISECONDS : 0, () => {
			void fetch();
		});
	};

	const hearRetirements = (retirements: readonly generations.Retirement[]) => {
		for (const {upstream, state: retirement} of retirements) {
			const service = table.get(upstream)?.service;
			utils.setBounded(retired, upstream, retirement, generations.RETIREMENTS_KEPT);
			const isNews = table.retire(upstream, retirement);
			if (service === undefined || !isNews) {
				continue;
			}

			log.info('Instance retired.', {upstream, service, state: retirement});
			plan.onInstances(service);
		}
	};

	const hearInstances = ({heard, forgotten, retirements}: InstanceChanges) => {
		hearRetirements(retirements);
		const changed = new Set<core.ServiceName>();
		for (const {ageMilliseconds, ...heartbeat} of heard) {
			if (table.take(heartbeat, now() - ageMilliseconds) === 'news') {
				changed.add(heartbeat.service);
			}
		}

		for (const upstream of forgotten) {
			const service = table.get(upstream)?.service;
			table.forget(upstream);
			if (service !== undefined) {
				changed.add(service);
			}
		}

		for (const service of changed) {
			plan.onInstances(service);
		}
	};

	const follow = () => {
		if (state.feeder?.link.isOpen() === true) {
			return;
		}

		const open = plan.getOpen();
		const feeder = open.find(control => isNear(control)) ?? open[Math.floor(context.random() * open.length)];
		state.feeder = feeder;
		void (async () => {
			const answer = await feeder?.link.call(METHODS.followInstances, {}, FETCH_MILLISECONDS);
			if (answer?.isOk() === true) {
				hearInstances(answer.value as InstanceChanges);
			} else if (feeder !== undefined && state.feeder === feeder) {
				state.feeder = undefined;
				schedule(FETCH_AGAIN_MILLISECONDS, follow);
			}
		})();
	};

	return {
		getGeneration: () => state.generation,
		findRoute: (host, path) => state.findRoute(host, path),
		findOrganisation: key => state.findOrganisation(key),
		findService: name => state.services.get(name),
		// Silence is told by control hosts only: what follows one of them hears of changes, not of heartbeats.
		listCandidates: service => table.list(service).map(instance => toCandidate(instance, false)),
		isRetired: upstream => retired.has(upstream),
		listAddresses: () => new Set(table.listAll().map(instance => core.formatAddress(instance.address))),
		hearVersion(control, version) {
			if (version < state.wantedVersion || version <= getVersion()) {
				return;
			}

			if (version > state.wantedVersion) {
				state.wantedVersion = version;
				state.holders = new Set();
			}

			state.holders.add(control.host.id);
			if (isNear(control)) {
				void fetch();
			} else {
				schedule(NEAR_FETCH_MILLISECONDS, () => {
					void fetch();
				});
			}
		},
		hearInstances,
		hearRetirements,
		follow,
		loseControl(control) {
			state.holders.delete(control.host.id);
			if (state.feeder?.link !== control.link) {
				return;
			}

			state.feeder = undefined;
			follow();
		},
	};
}
