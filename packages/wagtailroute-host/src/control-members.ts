/**
Chooses which control hosts vote in a group and which are learners.

Decides when an unavailable host may be replaced; the choice itself is made by the replication package.
*/
import type * as core from 'wagtailroute-core';
import * as replication from 'wagtailroute-replication';
import {MAX_VOTERS, REPLACE_MEMBER_DELAY_MILLISECONDS} from './constants.ts';
import type {HostContext, Member} from './context.ts';

/**
Monotonic time since which each host is unavailable, by the context of the host that observes it.
*/
const unavailableSince = new WeakMap<HostContext, Map<core.HostId, number>>();

/**
Returns the hosts that should be members of a group.
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
	const sinceByHost = unavailableSince.get(context) ?? new Map<core.HostId, number>();
	unavailableSince.set(context, sinceByHost);
	const names = new Set(running.map(member => member.id));
	for (const member of context.store.read(state => state.members.values().toArray())) {
		if (names.has(member.id)) {
			sinceByHost.delete(member.id);
		} else if (!sinceByHost.has(member.id)) {
			sinceByHost.set(member.id, context.now());
		}
	}
}

function isReplaceable(context: HostContext, host: core.HostId): boolean {
	const since = unavailableSince.get(context)?.get(host);
	return since !== undefined && context.now() - since > REPLACE_MEMBER_DELAY_MILLISECONDS;
}
