/**
The carriers of one service, computed from all hosts: the reference implementation against which the index is tested.
*/
import type * as core from 'wagtailroute-core';
import {getScore, type NameHash} from './scores.ts';
import {selectAcrossDomains} from './spreading.ts';

/**
A host that may carry services.
*/
export type CarrierHost = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Share of the services relative to other hosts; positive, 1 for a host of usual size.
	*/
	readonly weight: number;
};

/**
Input of the selection of a service's carriers.
*/
export type CarrierQuery = {
	readonly hash: NameHash;
	readonly service: core.ServiceName;
	readonly hosts: readonly CarrierHost[];
	/**
	Number of carriers, see `getCarrierCount`.
	*/
	readonly count: number;
};

/**
Returns the carriers of a service in the order of preference: no two in one failure domain while another failure domain
has an unselected host.
*/
export function getCarriers(query: CarrierQuery): readonly core.HostId[] {
	const serviceHash = query.hash(query.service);
	const candidates = query.hosts.map(host => ({
		id: host.id,
		failureDomain: host.failureDomain,
		score: getScore(serviceHash, query.hash(host.id), host.weight),
	}));
	return selectAcrossDomains(candidates, query.count).map(({candidate}) => candidate.id);
}
