/**
The hosts that follow a control host's instances, and the changes that wait to be sent to them.

Changes of a moment are sent together: the start or the replacement of hundreds of upstreams would otherwise take as many messages to each follower.
*/
import type * as core from 'wagtailroute-core';
import type * as instances from 'wagtailroute-instances';
import type * as link from 'wagtailroute-link';
import * as utils from 'wagtailroute-utils';
import {INSTANCE_CHANGES_BATCH_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {type InstanceChanges, METHODS} from './messages.ts';

/**
Followers of instances. Recorded changes reach them within {@link INSTANCE_CHANGES_BATCH_MILLISECONDS}.
*/
export type InstanceFollowers = {
	readonly add: (follower: link.Link) => void;
	readonly remove: (follower: link.Link) => void;
	/**
	@param receivedAt Monotonic time in milliseconds.
	*/
	readonly recordHeartbeat: (heartbeat: instances.Heartbeat, receivedAt: number) => void;
	readonly recordForgotten: (upstreams: readonly core.UpstreamId[]) => void;
};

type ReceivedHeartbeat = {
	readonly heartbeat: instances.Heartbeat;
	readonly receivedAt: number;
};

export function createInstanceFollowers({now, schedule}: Pick<FleetContext, 'now' | 'schedule'>): InstanceFollowers {
	const followers = new Set<link.Link>();
	// An upstream is in one of the two: its last change counts.
	const heard = new Map<core.UpstreamId, ReceivedHeartbeat>();
	const forgotten = new Set<core.UpstreamId>();

	const takeChanges = (): InstanceChanges => {
		const changes = {
			heard: heard.values().map(({heartbeat, receivedAt}) => ({...heartbeat, ageMilliseconds: now() - receivedAt})).toArray(),
			forgotten: [...forgotten],
			retirements: [],
		};
		heard.clear();
		forgotten.clear();
		return changes;
	};

	const scheduleSending = utils.coalesce(schedule, INSTANCE_CHANGES_BATCH_MILLISECONDS, () => {
		const changes = takeChanges();
		for (const follower of followers) {
			follower.notify(METHODS.instancesChanged, changes);
		}
	});

	return {
		add(follower) {
			followers.add(follower);
		},
		remove(follower) {
			followers.delete(follower);
		},
		recordHeartbeat(heartbeat, receivedAt) {
			if (followers.size === 0) {
				return;
			}

			forgotten.delete(heartbeat.upstream);
			heard.set(heartbeat.upstream, {heartbeat, receivedAt});
			scheduleSending();
		},
		recordForgotten(upstreams) {
			for (const upstream of upstreams) {
				heard.delete(upstream);
				forgotten.add(upstream);
			}

			scheduleSending();
		},
	};
}
