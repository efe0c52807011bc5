/**
Chooses which control hosts vote in a group and which only follow.

A host that is gone is replaced only after a while; the choice itself is the replication package's.
*/
import type * as core from 'wagtailroute-core';
import * as replication from 'wagtailroute-replication';
import {MAX_VOTERS, REPLACE_MEMBER_DELAY_MILLISECONDS} from './constants.ts';
import type {HostContext, Member} from './context.ts';

const unavailableSince = new WeakMap<HostContext, Map<core.HostId, number>>();

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
	recordUnavailable(context, running);
	return replication.chooseMembers({
		members: status.members,
		runningHosts: running.map(({id, failureDomain}) => ({host: id, failureDomain})),
		isReplaceable: host => isReplaceable(context, host),
		maxVoters: MAX_VOTERS,
	});
}

function isRunning(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

function recordUnavailable(context: HostContext, running: readonly Member[]): void {
	const since = unavailableSince.get(context) ?? new Map<core.HostId, number>();
	unavailableSince.set(context, since);
	const names = new Set(running.map(member => member.id));
	for (const member of context.store.read(state => state.members.values().toArray())) {
		if (names.has(member.id)) {
			since.delete(member.id);
		} else if (!since.has(member.id)) {
			since.set(member.id, context.now());
		}
	}
}

function isReplaceable(context: HostContext, host: core.HostId): boolean {
	const since = unavailableSince.get(context)?.get(host);
	return since !== undefined && context.now() - since > REPLACE_MEMBER_DELAY_MILLISECONDS;
}
