/**
The table of upstream instances, built from their heartbeats.

Each start of an upstream is an instance with its own id. A heartbeat may arrive at the wrong time in four ways:
- After a newer heartbeat of the same instance. Its sequence number is lower, so it is ignored.
- After its sender has ended and another instance runs at its address. The instance that started last holds the address.
- After its server has restarted. Heartbeats of starts before the latest start of a server are ignored.
- After its sender was acknowledged as leaving. A retirement is final.

A short silence does not remove an instance: its path to the control hosts may be interrupted while requests still reach it. Entry hosts
find out by their requests whether it serves.
*/
import * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	ADDRESS_TAKEOVER_MILLISECONDS,
	INSTANCE_EXPIRY_MILLISECONDS,
	MAX_RETIREMENTS,
	MAX_SERVERS,
} from './constants.ts';
import {parseUpstreamId} from './upstream-ids.ts';

/**
What an instance reports about itself.
*/
export type Heartbeat = {
	readonly upstream: core.UpstreamId;
	readonly service: core.ServiceName;
	readonly address: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	/**
	Remaining milliseconds of the warm-up, during which the instance is slow.
	*/
	readonly warmupMilliseconds: number;
	/**
	Increases with each heartbeat of the instance.
	*/
	readonly sequence: number;
};

/**
`serving`: accepts requests. `draining`: accepts no new requests and completes those it has.
*/
export type InstanceState = 'serving' | 'draining';

/**
An instance as last reported to this host. Times are monotonic milliseconds of this host.
*/
export type Instance = Omit<Heartbeat, 'warmupMilliseconds'> & {
	readonly state: InstanceState;
	/**
	Time of its last heartbeat.
	*/
	readonly heardAt: number;
	/**
	Time at which its warm-up ends.
	*/
	readonly warmAt: number;
};

/**
Effect of a heartbeat. `news`: the instance is new, its address, service, slots or state changed, or it now holds its address.
`refreshed`: none of these changed. `stale`: the heartbeat was ignored. `invalid`: it was ignored because no connection can be opened to its address.
*/
export type HeartbeatOutcome = 'news' | 'refreshed' | 'stale' | 'invalid';

/**
The table of instances.
*/
export type InstanceTable = {
	readonly applyHeartbeat: (heartbeat: Heartbeat, now: number) => HeartbeatOutcome;
	/**
	Marks an instance as draining or gone for good. Returns whether its state changed.
	*/
	readonly retire: (upstream: core.UpstreamId, state: 'draining' | 'gone') => boolean;
	readonly get: (upstream: core.UpstreamId) => Instance | undefined;
	/**
	Returns whether an instance ended without a retirement: its server has started again, or another instance holds its address.
	*/
	readonly isReplaced: (upstream: core.UpstreamId) => boolean;
	/**
	Returns the instance of the latest known start of a server.
	*/
	readonly findLatest: (server: string) => Instance | undefined;
	/**
	Returns the instances of a service that hold their address.
	*/
	readonly list: (service: core.ServiceName) => readonly Instance[];
	/**
	Returns the instances of all services that hold their address.
	*/
	readonly listAll: () => readonly Instance[];
	/**
	Removes instances that sent no heartbeat for `INSTANCE_EXPIRY_MILLISECONDS`; returns their ids.
	*/
	readonly expireSilent: (now: number) => readonly core.UpstreamId[];
	/**
	Removes an instance that another host has removed.
	*/
	readonly remove: (upstream: core.UpstreamId) => void;
};

type Tables = {
	readonly instances: Map<core.UpstreamId, Instance>;
	readonly byService: Map<core.ServiceName, Map<core.UpstreamId, Instance>>;
	/**
	The instance of the latest start of each server, including ended ones: a heartbeat of an earlier start may still arrive.
	*/
	readonly latestByServer: Map<string, core.UpstreamId>;
	/**
	The instance that holds each address.
	*/
	readonly holdersByAddress: Map<string, core.UpstreamId>;
	readonly retirements: Map<core.UpstreamId, 'draining' | 'gone'>;
};

/**
Creates an empty table.
*/
export function createInstanceTable(): InstanceTable {
	const tables: Tables = {
		instances: new Map(), byService: new Map(), latestByServer: new Map(), holdersByAddress: new Map(), retirements: new Map(),
	};
	return {
		applyHeartbeat: (heartbeat, now) => applyHeartbeat(tables, heartbeat, now),
		retire: (upstream, state) => retire(tables, upstream, state),
		get: upstream => tables.instances.get(upstream),
		isReplaced: upstream => isReplaced(tables, upstream),
		findLatest: server => tables.instances.get(tables.latestByServer.get(server) ?? ''),
		list: service => tables.byService.get(service)?.values().filter(instance => isAddressHolder(tables, instance)).toArray() ?? [],
		listAll: () => tables.instances.values().filter(instance => isAddressHolder(tables, instance)).toArray(),
		expireSilent: now => expireSilent(tables, now),
		remove(upstream) {
			const present = tables.instances.get(upstream);
			if (present !== undefined) {
				removeInstance(tables, present);
			}
		},
	};
}

function applyHeartbeat(tables: Tables, heartbeat: Heartbeat, now: number): HeartbeatOutcome {
	const present = tables.instances.get(heartbeat.upstream);
	const retired = tables.retirements.get(heartbeat.upstream);
	if (retired === 'gone' || (present !== undefined && heartbeat.sequence <= present.sequence) || isSuperseded(tables, heartbeat.upstream)) {
		return 'stale';
	}

	// Hosts of an older version relay and store addresses that they have not checked.
	if (!core.isConnectable(heartbeat.address)) {
		return 'invalid';
	}

	removeEarlierStart(tables, heartbeat.upstream);
	const {warmupMilliseconds, ...reported} = heartbeat;
	const instance: Instance = {
		...reported,
		state: retired ?? 'serving',
		heardAt: now,
		warmAt: now + warmupMilliseconds,
	};
	const addressKey = core.formatAddress(instance.address);
	const isNewHolder = tables.holdersByAddress.get(addressKey) !== instance.upstream && canHoldAddress(tables, instance, addressKey);
	if (isNewHolder) {
		tables.holdersByAddress.set(addressKey, instance.upstream);
	}

	storeInstance(tables, instance);
	return present === undefined || isNewHolder || hasChanged(present, instance) ? 'news' : 'refreshed';
}

/**
Returns whether the server of an instance has started again since.
*/
function isSuperseded({latestByServer}: Tables, upstream: core.UpstreamId): boolean {
	const {server, startedAt} = parseUpstreamId(upstream);
	const known = latestByServer.get(server);
	return known !== undefined && parseUpstreamId(known).startedAt > startedAt;
}

function isReplaced(tables: Tables, upstream: core.UpstreamId): boolean {
	const present = tables.instances.get(upstream);
	const hasLostAddress = present !== undefined && !isAddressHolder(tables, present);
	return !tables.retirements.has(upstream) && (hasLostAddress || isSuperseded(tables, upstream));
}

/**
Removes the instance of the server's previous start, which ended when the server restarted.
*/
function removeEarlierStart(tables: Tables, upstream: core.UpstreamId): void {
	const {server} = parseUpstreamId(upstream);
	const earlier = tables.latestByServer.get(server);
	const ended = earlier === undefined || earlier === upstream ? undefined : tables.instances.get(earlier);
	if (ended !== undefined) {
		removeInstance(tables, ended);
	}

	utils.setBounded(tables.latestByServer, server, upstream, MAX_SERVERS);
}

/**
Returns whether an instance may take its address over from the instance that holds it.
*/
function canHoldAddress({holdersByAddress, instances}: Tables, {upstream, heardAt}: Instance, addressKey: string): boolean {
	const holder = instances.get(holdersByAddress.get(addressKey) ?? '');
	return holder === undefined
		|| parseUpstreamId(upstream).startedAt >= parseUpstreamId(holder.upstream).startedAt
		|| heardAt - holder.heardAt > ADDRESS_TAKEOVER_MILLISECONDS;
}

function hasChanged(present: Instance, next: Instance): boolean {
	return present.state !== next.state
		|| present.service !== next.service
		|| present.slots !== next.slots
		|| core.formatAddress(present.address) !== core.formatAddress(next.address);
}

function retire(tables: Tables, upstream: core.UpstreamId, state: 'draining' | 'gone'): boolean {
	const known = tables.retirements.get(upstream);
	if (known === 'gone' || known === state) {
		return false;
	}

	utils.setBounded(tables.retirements, upstream, state, MAX_RETIREMENTS);
	const present = tables.instances.get(upstream);
	if (present === undefined) {
		return true;
	}

	if (state === 'draining') {
		storeInstance(tables, {...present, state});
	} else {
		removeInstance(tables, present);
	}

	return true;
}

function storeInstance(tables: Tables, instance: Instance): void {
	const present = tables.instances.get(instance.upstream);
	if (present !== undefined && present.service !== instance.service) {
		tables.byService.get(present.service)?.delete(present.upstream);
	}

	tables.instances.set(instance.upstream, instance);
	const byId = tables.byService.get(instance.service) ?? new Map<core.UpstreamId, Instance>();
	byId.set(instance.upstream, instance);
	tables.byService.set(instance.service, byId);
}

function removeInstance(tables: Tables, instance: Instance): void {
	tables.instances.delete(instance.upstream);
	const byId = tables.byService.get(instance.service);
	byId?.delete(instance.upstream);
	if (byId?.size === 0) {
		tables.byService.delete(instance.service);
	}

	const addressKey = core.formatAddress(instance.address);
	if (tables.holdersByAddress.get(addressKey) === instance.upstream) {
		tables.holdersByAddress.delete(addressKey);
	}
}

function isAddressHolder(tables: Tables, instance: Instance): boolean {
	return tables.holdersByAddress.get(core.formatAddress(instance.address)) === instance.upstream;
}

function expireSilent(tables: Tables, now: number): readonly core.UpstreamId[] {
	const silent = tables.instances.values().filter(instance => now - instance.heardAt > INSTANCE_EXPIRY_MILLISECONDS).toArray();
	for (const instance of silent) {
		removeInstance(tables, instance);
	}

	return silent.map(instance => instance.upstream);
}
