/**
The ejections that this host acts on: tables read from the records under a lease.

A host that can't renew the lease takes every upstream back into service. What goes wrong otherwise: cut off, it would miss
that an upstream was readmitted, others would eject another one for it, and together they would go below the floor.
*/
import type * as core from 'wagtailroute-core';
import * as records from 'wagtailroute-records';
import * as utils from 'wagtailroute-utils';
import {CALL_TIMEOUT_MILLISECONDS, EJECTION_POLL_INTERVAL_MILLISECONDS, MAX_EJECTION_POLL_ATTEMPTS} from './constants.ts';
import {findPeerAddress, type HostContext} from './context.ts';
import {
	EJECTION_CHANGE_METHOD,
	EJECTION_TABLES_METHOD,
	type EjectionTablesAnswer,
	type EjectionTable,
} from './ejection-tables.ts';
import {chooseControlHost} from './proposals.ts';

/**
The leases of a host.
*/
export type EjectionLeases = {
	/**
	Reads the tables now.
	*/
	readonly poll: () => void;
	readonly getEpoch: (service: core.ServiceName, upstream: core.UpstreamId) => number | undefined;
	readonly hasEjections: (service: core.ServiceName) => boolean;
	readonly teardown: utils.Teardown;
};

/**
What the leases need.
*/
export type EjectionLeasesOptions = {
	/**
	Services whose tables this host needs.
	*/
	readonly getServices: () => Iterable<core.ServiceName>;
	readonly onEjected: (service: core.ServiceName, upstream: core.UpstreamId) => void;
	readonly onReadmitted: (service: core.ServiceName, upstream: core.UpstreamId) => void;
};

type HeldTable = {
	readonly version: number;
	readonly epochs: ReadonlyMap<core.UpstreamId, number>;
};

const EMPTY_TABLE: HeldTable = {version: 0, epochs: new Map()};

/**
Starts to keep the leases.
*/
export function startEjectionLeases(context: HostContext, options: EjectionLeasesOptions): EjectionLeases {
	const log = context.log('detection');
	const tables = new Map<core.ServiceName, HeldTable>();
	let leasedUntil = 0;
	let isPolling = false;
	let isPollRequested = false;

	const replaceTable = (service: core.ServiceName, next: HeldTable) => {
		const before = tables.get(service) ?? EMPTY_TABLE;
		tables.set(service, next);
		for (const upstream of before.epochs.keys()) {
			if (next.epochs.has(upstream)) {
				continue;
			}

			log.info('Upstream readmitted.', {service, upstream});
			options.onReadmitted(service, upstream);
		}

		for (const [upstream, epoch] of next.epochs) {
			if (before.epochs.get(upstream) === epoch) {
				continue;
			}

			log.warn('Upstream ejected.', {service, upstream, epoch});
			options.onEjected(service, upstream);
		}
	};

	const applyTable = (table: EjectionTable) => {
		replaceTable(table.service, {
			version: table.version,
			epochs: new Map(table.ejected.map(({upstream, epoch}) => [upstream, epoch])),
		});
	};

	const dropAllTables = () => {
		for (const service of tables.keys()) {
			replaceTable(service, EMPTY_TABLE);
		}

		tables.clear();
	};

	const getVersions = () => Object.fromEntries([...options.getServices()].map(service => [service, tables.get(service)?.version ?? 0]));

	const poll = async () => {
		if (isPolling) {
			isPollRequested = true;
			return;
		}

		isPolling = true;
		const requestedAt = context.now();
		const answer = await requestTables(context, getVersions());
		isPolling = false;
		if (answer?.kind === 'tables') {
			leasedUntil = requestedAt + records.EJECTION_LEASE_MILLISECONDS;
			for (const table of answer.tables) {
				applyTable(table);
			}
		}

		if (!isPollRequested) {
			return;
		}

		isPollRequested = false;
		void poll();
	};

	return {
		poll() {
			void poll();
		},
		getEpoch: (service, upstream) => tables.get(service)?.epochs.get(upstream),
		hasEjections: service => (tables.get(service)?.epochs.size ?? 0) > 0,
		teardown: utils.mergeTeardowns(
			context.peer.registerMethod(EJECTION_CHANGE_METHOD, () => {
				void poll();
			}),
			context.repeat(EJECTION_POLL_INTERVAL_MILLISECONDS, () => {
				void poll();
				if (!(tables.size > 0 && context.now() > leasedUntil)) {
					return;
				}

				log.warn('Ejection lease ended, all upstreams are taken back.');
				dropAllTables();
			}),
		),
	};
}

async function requestTables(
	context: HostContext,
	versions: Readonly<Record<core.ServiceName, number>>,
): Promise<EjectionTablesAnswer | undefined> {
	if (Object.keys(versions).length === 0) {
		return undefined;
	}

	let address = chooseControlHost(context);
	for (let attempt = 0; address !== undefined && attempt < MAX_EJECTION_POLL_ATTEMPTS; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- The next host is known from the answer.
		const called = await context.peer.call(address, EJECTION_TABLES_METHOD, {versions}, CALL_TIMEOUT_MILLISECONDS);
		const answer = called.isOk() ? called.value as EjectionTablesAnswer : undefined;
		if (answer?.kind === 'tables') {
			return answer;
		}

		const leader = answer?.leader;
		address = (leader === undefined ? undefined : findPeerAddress(context, leader)) ?? chooseControlHost(context);
	}

	return undefined;
}
