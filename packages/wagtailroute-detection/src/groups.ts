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
export type Group = string;

/**
Failure domains of the hosts that send summaries.
*/
export type Hosts = ReadonlyMap<core.HostId, core.FailureDomain>;

/**
Groups of each host.
*/
export type Membership = {
	readonly byHost: ReadonlyMap<core.HostId, readonly Group[]>;
	/**
	Groups that leave other hosts outside. A group of all hosts says nothing.
	*/
	readonly groups: readonly Group[];
};

/**
Membership without hosts.
*/
export const NO_MEMBERSHIP: Membership = {byHost: new Map(), groups: []};

/**
Returns the groups of each host.
*/
export function getMembership(hosts: Hosts): Membership {
	const ordered = [...hosts].toSorted(([left], [right]) => compareNames(left, right));
	const byHost = new Map(ordered.map(([host, failureDomain], rank): [core.HostId, readonly Group[]] => [
		host,
		[`part ${rank % constants.HOST_PARTS}`, `failure domain ${failureDomain}`],
	]));
	return {byHost, groups: listGroups(byHost)};
}

function listGroups(membership: Membership['byHost']): readonly Group[] {
	const sizes = new Map<Group, number>();
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
export function isOutside(membership: Membership, host: core.HostId, group: Group): boolean {
	return membership.byHost.get(host)?.includes(group) !== true;
}

function compareNames(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
