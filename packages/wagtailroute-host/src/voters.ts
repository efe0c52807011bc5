/**
Chooses which control hosts vote in a group and which only follow.

A host that is gone is replaced only after a while; the choice itself is the replication package's.
*/
import type * as core from 'wagtailroute-core';
import * as replication from 'wagtailroute-replication';
import {MAXIMUM_VOTERS, REPLACE_MILLISECONDS} from './constants.ts';
import type {HostContext, Member} from './context.ts';

const goneSince = new WeakMap<HostContext, Map<core.HostId, number>>();

/**
Returns the hosts that belong into a group.
*/
export function chooseControlMembers(
	context: HostContext,
	status: replication.GroupStatus,
): readonly replication.WantedMember[] {
	const running = context.store.read(state => state.members.values()
		.filter(member => member.roles.includes('control') && isRunning(member))
		.toArray());
	noteGone(context, running);
	return replication.chooseMembers({
		members: status.members,
		runningHosts: running.map(({id, failureDomain}) => ({host: id, failureDomain})),
		isReplaceable: host => isReplaceable(context, host),
		maxVoters: MAXIMUM_VOTERS,
	});
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
