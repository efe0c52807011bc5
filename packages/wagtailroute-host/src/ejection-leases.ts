/**
The ejections that this host acts on: tables read from the records under a lease.

A host that can't renew the lease takes every upstream back into service. What goes wrong otherwise: cut off, it would miss
that an upstream was readmitted, others would eject another one for it, and together they would go below the floor.
*/
import type * as core from 'wagtailroute-core';
import * as records from 'wagtailroute-records';
import * as utils from 'wagtailroute-utils';
import {CALL_TIMEOUT_MILLISECONDS, EJECTION_POLL_MILLISECONDS, EJECTION_POLL_TRIES} from './constants.ts';
import {findPeerAddress, type HostContext} from './context.ts';
import {
	EJECTION_CHANGE_METHOD,
	EJECTION_QUESTION_METHOD,
	type EjectionAnswer,
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
export type EjectionLeasePlan = {
	/**
	Services whose tables this host needs.
	*/
	readonly getServices: () => Iterable<core.ServiceName>;
	readonly onEjected: (service: core.ServiceName, upstream: core.UpstreamId) => void;
	readonly onReadmitted: (service: core.ServiceName, upstream: core.UpstreamId) => void;
};

type Held = {
	readonly version: number;
	readonly epochs: ReadonlyMap<core.UpstreamId, number>;
};

const NOTHING_HELD: Held = {version: 0, epochs: new Map()};

/**
Starts to keep the leases.
*/
export function startEjectionLeases(context: HostContext, plan: EjectionLeasePlan): EjectionLeases {
	const log = context.log('detection');
	const held = new Map<core.ServiceName, Held>();
	let leasedUntil = 0;
	let isPolling = false;
	let isAskedAgain = false;

	const hold = (service: core.ServiceName, next: Held) => {
		const before = held.get(service) ?? NOTHING_HELD;
		held.set(service, next);
		for (const upstream of before.epochs.keys()) {
			if (next.epochs.has(upstream)) {
				continue;
			}

			log.info('Upstream readmitted.', {service, upstream});
			plan.onReadmitted(service, upstream);
		}

		for (const [upstream, epoch] of next.epochs) {
			if (before.epochs.get(upstream) === epoch) {
				continue;
			}

			log.warn('Upstream ejected.', {service, upstream, epoch});
			plan.onEjected(service, upstream);
		}
	};

	const take = (table: EjectionTable) => {
		hold(table.service, {
			version: table.version,
			epochs: new Map(table.ejected.map(({upstream, epoch}) => [upstream, epoch])),
		});
	};

	const dropAll = () => {
		for (const service of held.keys()) {
			hold(service, NOTHING_HELD);
		}

		held.clear();
	};

	const getVersions = () => Object.fromEntries([...plan.getServices()].map(service => [service, held.get(service)?.version ?? 0]));

	const poll = async () => {
		if (isPolling) {
			isAskedAgain = true;
			return;
		}

		isPolling = true;
		const askedAt = context.now();
		const answer = await ask(context, getVersions());
		isPolling = false;
		if (answer?.kind === 'tables') {
			leasedUntil = askedAt + records.EJECTION_LEASE_MILLISECONDS;
			for (const table of answer.tables) {
				take(table);
			}
		}

		if (!isAskedAgain) {
			return;
		}

		isAskedAgain = false;
		void poll();
	};

	return {
		poll() {
			void poll();
		},
		getEpoch: (service, upstream) => held.get(service)?.epochs.get(upstream),
		hasEjections: service => (held.get(service)?.epochs.size ?? 0) > 0,
		teardown: utils.mergeTeardowns(
			context.peer.registerMethod(EJECTION_CHANGE_METHOD, () => {
				void poll();
			}),
			context.repeat(EJECTION_POLL_MILLISECONDS, () => {
				void poll();
				if (!(held.size > 0 && context.now() > leasedUntil)) {
					return;
				}

				log.warn('Ejection lease ended, all upstreams are taken back.');
				dropAll();
			}),
		),
	};
}

async function ask(
	context: HostContext,
	versions: Readonly<Record<core.ServiceName, number>>,
): Promise<EjectionAnswer | undefined> {
	if (Object.keys(versions).length === 0) {
		return undefined;
	}

	let address = chooseControlHost(context);
	for (let attempt = 0; address !== undefined && attempt < EJECTION_POLL_TRIES; attempt++) {
		// eslint-disable-next-line no-await-in-loop -- The next host is known from the answer.
		const called = await context.peer.call(address, EJECTION_QUESTION_METHOD, {versions}, CALL_TIMEOUT_MILLISECONDS);
		const answer = called.isOk() ? called.value as EjectionAnswer : undefined;
		if (answer?.kind === 'tables') {
			return answer;
		}

		const leader = answer?.leader;
		address = (leader === undefined ? undefined : findPeerAddress(context, leader)) ?? chooseControlHost(context);
	}

	return undefined;
}
