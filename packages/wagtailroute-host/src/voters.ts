/**
Chooses which control hosts vote in a group and which only follow.

Voters that run keep their place; a host that is gone is replaced only after a while and only when another can take its
place, since each change of members is a risk and most hosts come back within seconds. New voters are taken from the
failure domains with the fewest.
*/
import type * as core from 'wagtailroute-core';
import * as replication from 'wagtailroute-replication';
import {MAXIMUM_VOTERS, REPLACE_MILLISECONDS} from './constants.ts';
import type {HostContext, Member} from './context.ts';

/**
A host that belongs into a group.
*/
export type WantedMember = {
	readonly host: core.HostId;
	readonly role: 'voter' | 'learner';
};

const goneSince = new WeakMap<HostContext, Map<core.HostId, number>>();

/**
Returns the hosts that belong into a group.
*/
export function chooseControlMembers(
	context: HostContext,
	status: replication.GroupStatus,
): readonly WantedMember[] {
	const running = context.store.read(state => state.members.values()
		.filter(member => member.roles.includes('control') && isRunning(member))
		.toArray());
	noteGone(context, running);
	const present = new Set(status.members.map(member => replication.getMemberHost(member.id)));
	const kept = [...present].filter(host => !isReplaceable(context, host));
	const hosts = new Set([...kept, ...running.map(member => member.id)]);
	const voters = chooseVoters(context, status, [...hosts]);
	return [...hosts].map(host => ({host, role: voters.has(host) ? 'voter' : 'learner'}));
}

function isRunning(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

function noteGone(context: HostContext, running: readonly Member[]): void {
	const times = goneSince.get(context) ?? new Map<core.HostId, number>();
	goneSince.set(context, times);
	const names = new Set(running.map(member => member.id));
	for (const member of context.store.read(state => state.members.values().toArray())) {
		if (names.has(member.id)) {
			times.delete(member.id);
		} else if (!times.has(member.id)) {
			times.set(member.id, context.now());
		}
	}
}

function isReplaceable(context: HostContext, host: core.HostId): boolean {
	const since = goneSince.get(context)?.get(host);
	return since !== undefined && context.now() - since > REPLACE_MILLISECONDS;
}

function chooseVoters(
	context: HostContext,
	status: replication.GroupStatus,
	hosts: readonly core.HostId[],
): ReadonlySet<core.HostId> {
	const voters = new Set(status.members
		.filter(member => member.role === 'voter')
		.map(member => replication.getMemberHost(member.id))
		.filter(host => hosts.includes(host)));
	const getDomain = (host: core.HostId) => context.store.read(state => state.members.get(host)?.failureDomain ?? '');
	const countIn = (domain: core.FailureDomain) => [...voters].filter(voter => getDomain(voter) === domain).length;
	const wanted = Math.min(MAXIMUM_VOTERS, hosts.length);
	while (voters.size < wanted) {
		const [next] = hosts
			.filter(host => !voters.has(host))
			.toSorted((left, right) => countIn(getDomain(left)) - countIn(getDomain(right)));
		voters.add(next!);
	}

	return voters;
}
