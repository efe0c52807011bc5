/**
The control side of ejections: gives hosts the table of what is ejected, and tells carriers at once that it changed.

A table is read only after a quorum has confirmed that this host still leads. A leader that was cut off would otherwise hand
out old tables: hosts would renew their lease on ejections that were ended, and together with new ones break the floor.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type * as replication from 'wagtailroute-replication';
import type * as utils from 'wagtailroute-utils';
import {findPeerAddress, type HostContext} from './context.ts';

/**
The versions that a host knows, by service.
*/
export type EjectionTablesRequest = {readonly versions: Readonly<Record<core.ServiceName, number>>};

/**
What is ejected of one service.
*/
export type EjectionTable = {
	readonly service: core.ServiceName;
	readonly version: number;
	readonly ejected: ReadonlyArray<{readonly upstream: core.UpstreamId; readonly epoch: number}>;
};

/**
Answer to a question: the tables whose version is another one. Those left out are as the host knows them.
*/
export type EjectionTablesAnswer =
	| {readonly kind: 'tables'; readonly tables: readonly EjectionTable[]}
	| {readonly kind: 'not-leader'; readonly leader?: core.HostId};

/**
Names of the methods.
*/
export const EJECTION_TABLES_METHOD = 'ejections.list';
export const EJECTION_CHANGE_METHOD = 'ejections.changed';

/**
Registers the method by which hosts read the tables.
*/
export function registerEjectionTables(
	context: HostContext,
	tables: records.Records,
	getGroup: () => replication.Group | undefined,
): utils.Teardown {
	return context.peer.registerMethod(EJECTION_TABLES_METHOD, async (request: EjectionTablesRequest): Promise<EjectionTablesAnswer> => {
		const group = getGroup();
		const status = group?.getStatus();
		if (group === undefined || status?.role !== 'leader') {
			return {kind: 'not-leader', leader: status?.leader ?? undefined};
		}

		const confirmed = await group.readBarrier();
		return confirmed.isOk() ? {kind: 'tables', tables: listTables(tables, request)} : {kind: 'not-leader'};
	});
}

function listTables(tables: records.Records, {versions}: EjectionTablesRequest): readonly EjectionTable[] {
	return Object.entries(versions).flatMap(([service, known]) => {
		const ejections = tables.getService(service)?.ejections;
		return ejections === undefined || ejections.version === known
			? []
			: [{
				service,
				version: ejections.version,
				ejected: ejections.ejected.map(({upstream, epoch}) => ({upstream, epoch})),
			}];
	});
}

/**
Tells the carriers of a service that its table changed. Called on the leader, when the change is committed.
*/
export function notifyEjectionChanges(context: HostContext, notices: readonly records.Notice[]): void {
	const services = new Set(notices.filter(notice => notice.kind === 'ejection').map(notice => notice.service));
	for (const service of services) {
		for (const carrier of context.store.read(state => state.carriers.get(service) ?? [])) {
			const address = findPeerAddress(context, carrier);
			if (address !== undefined) {
				context.peer.notify(address, EJECTION_CHANGE_METHOD, {service});
			}
		}
	}
}
