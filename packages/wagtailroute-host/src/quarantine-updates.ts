/**
The control side of the quarantine: notifies the carriers of a service of changes to its suspect requests, and lists the
suspects for hosts that poll because they may have missed a change.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import {findPeerAddress, type HostContext} from './context.ts';

/**
Status of one request fingerprint.
*/
export type SuspectStatus = {
	readonly fingerprint: string;
	readonly standing: records.QuarantineStatus;
	/**
	Milliseconds for which the status holds.
	*/
	readonly milliseconds: number;
};

/**
A change, as it is pushed to carriers.
*/
export type SuspectChange = SuspectStatus & {
	readonly service: core.ServiceName;
	readonly version: number;
};

/**
Versions that the requesting host has, by service.
*/
export type SuspectsRequest = {readonly versions: Readonly<Record<core.ServiceName, number>>};

/**
Answer: all suspects of the services whose version is newer than the requested one.
*/
export type SuspectsAnswer = {
	readonly services: ReadonlyArray<{
		readonly service: core.ServiceName;
		readonly version: number;
		readonly suspects: readonly SuspectStatus[];
	}>;
};

/**
Names of the methods: carriers are notified of a change by the first, hosts poll by the second.
*/
export const SUSPECT_CHANGE_METHOD = 'quarantine.changed';
export const SUSPECTS_METHOD = 'quarantine.list';

/**
Notifies the carriers of changes. Called on the leader when they are committed.
*/
export function notifySuspectChanges(context: HostContext, tables: records.Records, notices: readonly records.Notice[]): void {
	for (const notice of notices) {
		if (notice.kind !== 'fingerprint') {
			continue;
		}

		const {service, change} = notice;
		const entry = tables.getService(service)?.quarantine.entries.find(({fingerprint}) => fingerprint === change.fingerprint);
		const message: SuspectChange = {service, ...change, milliseconds: (entry?.until ?? 0) - tables.getGroupTime()};
		for (const carrier of context.store.read(state => state.carriers.get(service) ?? [])) {
			const address = findPeerAddress(context, carrier);
			if (address !== undefined) {
				context.peer.notify(address, SUSPECT_CHANGE_METHOD, message);
			}
		}
	}
}

/**
Lists the suspects for a host, as this replica has applied them.
*/
export function listSuspects(tables: records.Records, {versions}: SuspectsRequest): SuspectsAnswer {
	const services = Object.entries(versions).flatMap(([service, version]) => {
		const quarantine = tables.getService(service)?.quarantine;
		return quarantine === undefined || quarantine.version <= version
			? []
			: [{service, version: quarantine.version, suspects: listActiveSuspects(quarantine, tables.getGroupTime())}];
	});
	return {services};
}

function listActiveSuspects(quarantine: records.QuarantineState, time: number): readonly SuspectStatus[] {
	return quarantine.entries
		.filter(({standing, until}) => standing !== 'cleared' && until > time)
		.map(({fingerprint, standing, until}) => ({fingerprint, standing, milliseconds: until - time}));
}
