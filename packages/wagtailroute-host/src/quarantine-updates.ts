/**
The control side of the quarantine: tells the carriers of a service which requests may crash its backend servers, at once
when that changes, and again to hosts that ask because they may have missed it.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import {findPeerAddress, type HostContext} from './context.ts';

/**
What a host must know of one fingerprint.
*/
export type SuspectStatus = {
	readonly fingerprint: string;
	readonly standing: records.QuarantineStatus;
	/**
	How long it holds, in milliseconds.
	*/
	readonly milliseconds: number;
};

/**
One change, as it is pushed.
*/
export type SuspectChange = SuspectStatus & {
	readonly service: core.ServiceName;
	readonly version: number;
};

/**
The versions that a host knows, by service.
*/
export type SuspectsRequest = {readonly versions: Readonly<Record<core.ServiceName, number>>};

/**
All suspects of the services whose version is newer.
*/
export type SuspectsAnswer = {
	readonly services: ReadonlyArray<{
		readonly service: core.ServiceName;
		readonly version: number;
		readonly suspects: readonly SuspectStatus[];
	}>;
};

/**
Names of the methods.
*/
export const SUSPECT_CHANGE_METHOD = 'quarantine.changed';
export const SUSPECTS_METHOD = 'quarantine.list';

/**
Tells the carriers of changes. Called on the leader, when they are committed.
*/
export function notifySuspectChanges(context: HostContext, tables: records.Records, notices: readonly records.Notice[]): void {
	for (const notice of notices) {
		if (notice.kind !== 'fingerprint') {
			continue;
		}

		const {service, change} = notice;
		const entry = tables.getService(service)?.quarantine.entries.find(({fingerprint}) => fingerprint === change.fingerprint);
		const news: SuspectChange = {service, ...change, milliseconds: (entry?.until ?? 0) - tables.getGroupTime()};
		for (const carrier of context.store.read(state => state.carriers.get(service) ?? [])) {
			const address = findPeerAddress(context, carrier);
			if (address !== undefined) {
				context.peer.notify(address, SUSPECT_CHANGE_METHOD, news);
			}
		}
	}
}

/**
Answers a host that asks, from what this replica has applied.
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
