/**
Groups of hosts that one network path fault may affect together: a failure domain, or a quarter of the hosts.

An upstream that fails only for the hosts of a single group is not sick: the path between them is faulty. Besides the
pooled evidence, detection keeps the evidence of the hosts outside each group; an ejection requires all of them.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
Name of a group, unique in a service.
*/
export type HostGroup = string;

/**
Failure domain of each host that sends summaries.
*/
export type FailureDomains = ReadonlyMap<core.HostId, core.FailureDomain>;

/**
Assignment of hosts to groups.
*/
export type GroupMembership = {
	readonly byHost: ReadonlyMap<core.HostId, readonly HostGroup[]>;
	/**
	Groups with hosts outside them. A group of all hosts allows no comparison.
	*/
	readonly groups: readonly HostGroup[];
};

/**
Assignment without hosts.
*/
export const EMPTY_MEMBERSHIP: GroupMembership = {byHost: new Map(), groups: []};

/**
Assigns each host to its failure domain, and to one of `HOST_PARTITIONS` parts by the order of the host ids.
*/
export function createMembership(hosts: FailureDomains): GroupMembership {
	const ordered = [...hosts].toSorted(([left], [right]) => compareNames(left, right));
	const byHost = new Map(ordered.map(([host, failureDomain], rank): [core.HostId, readonly HostGroup[]] => [
		host,
		[`part ${rank % constants.HOST_PARTITIONS}`, `failure domain ${failureDomain}`],
	]));
	return {byHost, groups: listGroups(byHost)};
}

function listGroups(membership: GroupMembership['byHost']): readonly HostGroup[] {
	const sizes = new Map<HostGroup, number>();
	for (const groups of membership.values()) {
		for (const group of groups) {
			sizes.set(group, (sizes.get(group) ?? 0) + 1);
		}
	}

	return [...sizes].filter(([, size]) => size < membership.size).map(([group]) => group);
}

/**
Returns whether the host is outside the group. Unknown hosts are outside every group.
*/
export function isOutside(membership: GroupMembership, host: core.HostId, group: HostGroup): boolean {
	return membership.byHost.get(host)?.includes(group) !== true;
}

function compareNames(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
