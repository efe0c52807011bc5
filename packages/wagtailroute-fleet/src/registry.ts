/**
The registry of upstream instances on a control host, from heartbeats that this host receives and those that other control hosts relay.

Each heartbeat is relayed to all other control hosts once. A relayed heartbeat that is lost is not sent again: the next one replaces it.
Entry hosts that follow this host receive changes only.
*/
import * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as instances from 'wagtailroute-instances';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {
	FETCH_TIMEOUT_MILLISECONDS,
	HOUSEKEEPING_INTERVAL_MILLISECONDS,
	RELAY_BATCH_MILLISECONDS,
	INSTANCES_SAVE_DELAY_MILLISECONDS,
	SILENT_UPSTREAM_MILLISECONDS,
} from './constants.ts';
import {toCandidate} from './candidates.ts';
import type {FleetContext} from './context.ts';
import {createInstanceFollowers} from './instance-followers.ts';
import type {InstanceStore} from './instance-store.ts';
import {
	type HeartbeatBatch,
	type InstanceChanges,
	METHODS,
	type RelayedHeartbeat,
} from './messages.ts';
import type {HeartbeatStatus} from './silent-upstreams.ts';

/**
The instances that a control host knows.
*/
export type InstanceRegistry = {
	/**
	Handles a heartbeat that its sender sent to this host, and relays it unless it is stale.
	*/
	readonly receiveHeartbeat: (heartbeat: instances.Heartbeat) => instances.HeartbeatOutcome;
	/**
	Applies heartbeats that another control host received.
	*/
	readonly receiveRelayed: (batch: HeartbeatBatch) => void;
	/**
	Fetches and applies the instances that another control host knows: its heartbeats were not relayed here while there was no link.
	*/
	readonly catchUp: (from: link.Link) => Promise<void>;
	/**
	Applies a retirement; it is final.
	*/
	readonly retire: (retirement: generations.Retirement) => void;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Returns all instances and retirements, as the changes for a host that knows none.
	*/
	readonly getSnapshot: () => InstanceChanges;
	/**
	Sends every change over this link from now on.
	*/
	readonly follow: (follower: link.Link) => void;
	readonly unfollow: (follower: link.Link) => void;
	readonly countInstances: () => number;
	/**
	Resolves once the instances stored on disk are loaded.
	*/
	readonly loaded: Promise<void>;
	/**
	Returns the latest known start of a server in Unix milliseconds; 0 when the server is unknown or its heartbeats give no start.
	*/
	readonly findLatestStart: (server: string) => number;
	/**
	Returns undefined for an upstream that is unknown or was retired.
	*/
	readonly findHeartbeatStatus: (upstream: core.UpstreamId) => HeartbeatStatus | undefined;
	readonly teardown: utils.Teardown;
};

/**
What the registry depends on.
*/
export type InstanceRegistryOptions = {
	/**
	Sends a message to the other control hosts.
	*/
	readonly notifyControlHosts: (method: string, parameters: unknown) => void;
	/**
	Called when the candidates of a service may have changed.
	*/
	readonly onChanged: (service: core.ServiceName) => void;
	readonly store: InstanceStore;
};

/**
Outcomes of heartbeats that were applied.
*/
const APPLIED_OUTCOMES: ReadonlySet<instances.HeartbeatOutcome> = new Set(['news', 'refreshed']);

const EMPTY_BATCH: HeartbeatBatch = {news: [], refreshed: []};

/**
Creates the registry and starts to load the stored instances.
*/
export function startInstanceRegistry(context: FleetContext, {notifyControlHosts, onChanged, store}: InstanceRegistryOptions): InstanceRegistry {
	const {now} = context;
	const log = context.logs('instances');
	const table = instances.createInstanceTable();
	const followers = createInstanceFollowers(context);
	const silentUpstreams = new Set<core.UpstreamId>();
	const retirements = new Map<core.UpstreamId, generations.RetirementState>();
	let pendingBatch: HeartbeatBatch = EMPTY_BATCH;

	const listHeartbeats = () => table.listAll().map(instance => ({
		upstream: instance.upstream,
		service: instance.service,
		address: instance.address,
		failureDomain: instance.failureDomain,
		slots: instance.slots,
		sequence: instance.sequence,
		warmupMilliseconds: Math.max(0, instance.warmAt - instance.heardAt),
		ageMilliseconds: now() - instance.heardAt,
	}));

	const scheduleSave = utils.coalesce(context.schedule, INSTANCES_SAVE_DELAY_MILLISECONDS, () => {
		// A draining instance would be loaded as serving after a restart, since its state is not stored.
		void store.save(listHeartbeats().filter(({upstream}) => !retirements.has(upstream)));
	});

	const flushBatch = () => {
		notifyControlHosts(METHODS.heard, pendingBatch);
		pendingBatch = EMPTY_BATCH;
	};

	const scheduleFlush = utils.coalesce(context.schedule, RELAY_BATCH_MILLISECONDS, flushBatch);

	/**
	Relays a heartbeat: at once if it changes something, otherwise in a batch, since most heartbeats change nothing.
	*/
	const relay = (heartbeat: instances.Heartbeat, outcome: instances.HeartbeatOutcome) => {
		if (outcome === 'news') {
			pendingBatch = {...pendingBatch, news: [...pendingBatch.news, {...heartbeat, ageMilliseconds: 0}]};
			flushBatch();
			return;
		}

		pendingBatch = {...pendingBatch, refreshed: [...pendingBatch.refreshed, [heartbeat.upstream, heartbeat.sequence, 0]]};
		scheduleFlush();
	};

	const applyHeartbeat = (heartbeat: instances.Heartbeat, receivedAt: number) => {
		const outcome = table.applyHeartbeat(heartbeat, receivedAt);
		const wasSilent = APPLIED_OUTCOMES.has(outcome) && silentUpstreams.delete(heartbeat.upstream);
		const {upstream, service, address, slots, sequence, failureDomain} = heartbeat;
		if (outcome === 'invalid') {
			log.warn('A heartbeat with an unusable address was ignored.', {upstream, service, address: core.formatAddress(address)});
		} else if (outcome === 'news') {
			log.info('An upstream instance is new or changed.', {
				upstream, service, address: core.formatAddress(address), slots, sequence, failureDomain,
			});
			scheduleSave();
			followers.recordHeartbeat(heartbeat, receivedAt);
		}

		if (outcome === 'news' || wasSilent) {
			onChanged(service);
		}

		return outcome;
	};

	const applyRelayed = (heartbeats: readonly RelayedHeartbeat[]) => {
		for (const {ageMilliseconds, ...heartbeat} of heartbeats) {
			applyHeartbeat(heartbeat, now() - ageMilliseconds);
		}
	};

	/**
	Removes instances after a long silence. A shorter one removes no upstream from dispatch: it only ends the trials of an upstream that has failed as well.
	*/
	const checkSilence = () => {
		const forgotten = table.expireSilent(now());
		if (forgotten.length > 0) {
			log.info('Upstream instances were removed after a long silence.', {upstreams: forgotten});
			followers.recordForgotten(forgotten);
		}

		const changed = new Set<core.ServiceName>();
		for (const instance of table.listAll()) {
			if (!(now() - instance.heardAt > SILENT_UPSTREAM_MILLISECONDS) || silentUpstreams.has(instance.upstream)) {
				continue;
			}

			silentUpstreams.add(instance.upstream);
			changed.add(instance.service);
			log.warn('An upstream instance became silent.', {upstream: instance.upstream, service: instance.service, ageMilliseconds: Math.round(now() - instance.heardAt)});
		}

		for (const service of changed) {
			onChanged(service);
		}
	};

	const loadStored = async () => {
		const stored = await store.load();
		for (const heartbeat of stored) {
			applyHeartbeat(heartbeat, now());
		}
	};

	const loaded = loadStored();
	const stopChecking = context.repeat(HOUSEKEEPING_INTERVAL_MILLISECONDS, checkSilence);
	return {
		receiveHeartbeat(heartbeat) {
			const outcome = applyHeartbeat(heartbeat, now());
			if (APPLIED_OUTCOMES.has(outcome)) {
				relay(heartbeat, outcome);
			}

			return outcome;
		},
		receiveRelayed(batch) {
			applyRelayed(batch.news);

			for (const [upstream, sequence, age] of batch.refreshed) {
				// An instance that is unknown here is part of the list that is fetched when a link opens.
				const known = table.get(upstream);
				if (known !== undefined) {
					applyHeartbeat({...known, sequence, warmupMilliseconds: Math.max(0, known.warmAt - now())}, now() - age);
				}
			}
		},
		async catchUp(from) {
			const answer = await from.call(METHODS.listInstances, {}, FETCH_TIMEOUT_MILLISECONDS);
			applyRelayed(answer.isOk() ? (answer.value as InstanceChanges).heard : []);
		},
		retire({upstream, state}) {
			const service = table.get(upstream)?.service;
			const isGone = retirements.get(upstream) === 'gone';
			utils.setBounded(retirements, upstream, isGone ? 'gone' : state, generations.MAX_RETIREMENTS);
			const isChanged = table.retire(upstream, state);
			if (service === undefined || !isChanged) {
				return;
			}

			log.info('An upstream instance was retired.', {upstream, service, state});
			scheduleSave();
			onChanged(service);
		},
		listCandidates: service => table.list(service).map(instance => toCandidate(instance, silentUpstreams.has(instance.upstream))),
		getSnapshot: () => ({
			heard: listHeartbeats(),
			forgotten: [],
			retirements: retirements.entries().map(([upstream, state]) => ({upstream, state})).toArray(),
		}),
		follow: followers.add,
		unfollow: followers.remove,
		countInstances: () => table.listAll().length,
		loaded,
		findLatestStart(server) {
			const latest = table.findLatest(server);
			return latest === undefined ? 0 : instances.parseUpstreamId(latest.upstream).startedAt;
		},
		findHeartbeatStatus(upstream) {
			const heardAt = table.get(upstream)?.heardAt ?? -Infinity;
			const isReplaced = table.isReplaced(upstream);
			const isKnown = isReplaced || heardAt > -Infinity;
			return isKnown && !retirements.has(upstream) ? {heardAt, isReplaced} : undefined;
		},
		teardown: stopChecking,
	};
}
