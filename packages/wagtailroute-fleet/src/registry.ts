/**
Instances of upstreams on a control host: from heartbeats that come here, and from those that came to other control hosts.

Each heartbeat is told to all other control hosts, once. What was lost on the way is made good by the next heartbeat. Entry
hosts that follow this host are told of changes only.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import * as generations from 'wagtailroute-generations';
import * as instances from 'wagtailroute-instances';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {
	FETCH_MILLISECONDS,
	HOUSEKEEPING_MILLISECONDS,
	RELAY_BATCH_MILLISECONDS,
	INSTANCES_SAVE_DELAY_MILLISECONDS,
	SILENT_UPSTREAM_MILLISECONDS,
} from './constants.ts';
import {toCandidate} from './candidates.ts';
import type {FleetContext} from './context.ts';
import type {InstanceStore} from './instance-store.ts';
import {
	type HeartbeatBatch,
	type InstanceChanges,
	METHODS,
	type RelayedHeartbeat,
} from './messages.ts';

/**
The registry of a control host.
*/
export type InstanceRegistry = {
	/**
	Takes a heartbeat from its sender.
	*/
	readonly receiveHeartbeat: (heartbeat: instances.Heartbeat) => instances.Reception;
	/**
	Takes heartbeats that another control host was sent.
	*/
	readonly receiveRelayed: (batch: HeartbeatBatch) => void;
	/**
	Takes what another control host knows: heartbeats were missed while there was no link to it.
	*/
	readonly catchUp: (from: link.Link) => Promise<void>;
	readonly retire: (retirement: generations.Retirement) => void;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Everything, as news to a host that knows nothing.
	*/
	readonly getSnapshot: () => InstanceChanges;
	readonly follow: (follower: link.Link) => void;
	readonly unfollow: (follower: link.Link) => void;
	readonly countInstances: () => number;
	/**
	Resolves once what was kept on disk is known.
	*/
	readonly loaded: Promise<void>;
	/**
	Returns the newest start of a server that is known, in Unix milliseconds; 0 when it is unknown or told none.
	*/
	readonly findLatestStart: (server: string) => number;
	readonly teardown: utils.Teardown;
};

/**
What the registry tells.
*/
export type InstanceRegistryOptions = {
	readonly notifyControls: (method: string, parameters: unknown) => void;
	readonly onChanged: (service: core.ServiceName) => void;
	readonly store: InstanceStore;
};

const EMPTY_BATCH: HeartbeatBatch = {news: [], refreshed: []};

/**
Creates the registry.
*/
export function startInstanceRegistry(context: FleetContext, {notifyControls, onChanged, store}: InstanceRegistryOptions): InstanceRegistry {
	const {now} = context;
	const log = context.logs('instances');
	const table = instances.createInstanceTable();
	const followers = new Set<link.Link>();
	const silentUpstreams = new Set<core.UpstreamId>();
	const retirements = new Map<core.UpstreamId, generations.RetirementState>();
	let pendingBatch: HeartbeatBatch = EMPTY_BATCH;

	const notifyFollowers = (news: InstanceChanges) => {
		for (const follower of followers) {
			follower.notify(METHODS.instancesChanged, news);
		}
	};

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
		// One that drains would come back as serving.
		void store.save(listHeartbeats().filter(({upstream}) => !retirements.has(upstream)));
	});

	const flushBatch = () => {
		notifyControls(METHODS.heard, pendingBatch);
		pendingBatch = EMPTY_BATCH;
	};

	const scheduleFlush = utils.coalesce(context.schedule, RELAY_BATCH_MILLISECONDS, flushBatch);

	/**
	News go at once, what changes nothing is collected: it is most of all heartbeats.
	*/
	const relay = (heartbeat: instances.Heartbeat, reception: instances.Reception) => {
		if (reception === 'news') {
			pendingBatch = {...pendingBatch, news: [...pendingBatch.news, {...heartbeat, ageMilliseconds: 0}]};
			flushBatch();
			return;
		}

		pendingBatch = {...pendingBatch, refreshed: [...pendingBatch.refreshed, [heartbeat.upstream, heartbeat.sequence, 0]]};
		scheduleFlush();
	};

	const applyHeartbeat = (heartbeat: instances.Heartbeat, heardAt: number) => {
		const reception = table.take(heartbeat, heardAt);
		const wasSilent = reception !== 'stale' && silentUpstreams.delete(heartbeat.upstream);
		if (reception === 'news') {
			const {upstream, service, address, slots, sequence, failureDomain} = heartbeat;
			log.info('Instance heard.', {
				upstream, service, address: `${address.ip}:${address.port}`, slots, sequence, failureDomain,
			});
			scheduleSave();
			notifyFollowers({heard: [{...heartbeat, ageMilliseconds: now() - heardAt}], forgotten: [], retirements: []});
		}

		if (reception === 'news' || wasSilent) {
			onChanged(heartbeat.service);
		}

		return reception;
	};

	const applyRelayed = (heartbeats: readonly RelayedHeartbeat[]) => {
		for (const {ageMilliseconds, ...heartbeat} of heartbeats) {
			applyHeartbeat(heartbeat, now() - ageMilliseconds);
		}
	};

	/**
	Silence alone takes no upstream out: it only ends the trials of one that failed as well.
	*/
	const checkSilence = () => {
		const forgotten = table.forgetSilent(now());
		if (forgotten.length > 0) {
			log.info('Instances forgotten.', {upstreams: forgotten});
			notifyFollowers({heard: [], forgotten, retirements: []});
		}

		const changed = new Set<core.ServiceName>();
		for (const instance of table.listAll()) {
			if (!(now() - instance.heardAt > SILENT_UPSTREAM_MILLISECONDS) || silentUpstreams.has(instance.upstream)) {
				continue;
			}

			silentUpstreams.add(instance.upstream);
			changed.add(instance.service);
			log.warn('Instance silent.', {upstream: instance.upstream, service: instance.service, ageMilliseconds: Math.round(now() - instance.heardAt)});
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
	const stopChecking = context.repeat(HOUSEKEEPING_MILLISECONDS, checkSilence);
	return {
		receiveHeartbeat(heartbeat) {
			const reception = applyHeartbeat(heartbeat, now());
			if (reception !== 'stale') {
				relay(heartbeat, reception);
			}

			return reception;
		},
		receiveRelayed(batch) {
			applyRelayed(batch.news);

			for (const [upstream, sequence, age] of batch.refreshed) {
				// One that is unknown here comes with the list that is fetched when a link opens.
				const known = table.get(upstream);
				if (known !== undefined) {
					applyHeartbeat({...known, sequence, warmupMilliseconds: Math.max(0, known.warmAt - now())}, now() - age);
				}
			}
		},
		async catchUp(from) {
			const answer = await from.call(METHODS.listInstances, {}, FETCH_MILLISECONDS);
			applyRelayed(answer.isOk() ? (answer.value as InstanceChanges).heard : []);
		},
		retire({upstream, state}) {
			const service = table.get(upstream)?.service;
			utils.setBounded(retirements, upstream, state, generations.RETIREMENTS_KEPT);
			const isNews = table.retire(upstream, state);
			if (service === undefined || !isNews) {
				return;
			}

			log.info('Instance retired.', {upstream, service, state});
			scheduleSave();
			onChanged(service);
		},
		listCandidates: service => table.list(service).map(instance => toCandidate(instance, silentUpstreams.has(instance.upstream))),
		getSnapshot: () => ({
			heard: listHeartbeats(),
			forgotten: [],
			retirements: retirements.entries().map(([upstream, state]) => ({upstream, state})).toArray(),
		}),
		follow(follower) {
			followers.add(follower);
		},
		unfollow(follower) {
			followers.delete(follower);
		},
		countInstances: () => table.listAll().length,
		loaded,
		findLatestStart(server) {
			const newest = table.findNewest(server);
			return newest === undefined ? 0 : instances.getLifetime(newest.upstream).startedAt;
		},
		teardown: stopChecking,
	};
}
