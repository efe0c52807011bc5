/**
Groups of hosts that a path fault may take as one: a failure domain, or a quarter of the hosts.

An upstream that fails for the hosts of a single group only is not sick: something between them is. So next to the
evidence of all hosts there is, for each group, the evidence of the hosts outside it; an ejection needs all of these.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
Name of a group.
*/
export type HostGroup = string;

/**
Failure domains of the hosts that send summaries.
*/
export type FailureDomains = ReadonlyMap<core.HostId, core.FailureDomain>;

/**
Groups of each host.
*/
export type GroupMembership = {
	readonly byHost: ReadonlyMap<core.HostId, readonly HostGroup[]>;
	/**
	Groups that leave other hosts outside. A group of all hosts says nothing.
	*/
	readonly groups: readonly HostGroup[];
};

/**
Membership without hosts.
*/
export const EMPTY_MEMBERSHIP: GroupMembership = {byHost: new Map(), groups: []};

/**
Returns the groups of each host.
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
Whether the host is outside the group.
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
