/**
Cluster formation: hosts without a group announce themselves to join one or to bootstrap it.

Every host starts with a random incarnation and no members, and announces itself to the others. If there is a leader, it adds
the host by a membership change. A new group is bootstrapped only by the first of its initial hosts, once all the others have
answered its announcement with an empty log.

A static list of members with a first-start flag is unsafe: if the flag stays in the settings and the first host loses its
disk, it starts as if the group were new, forms a quorum with hosts that lag behind, and committed entries are lost. Here the
others' answers name the incarnation of this start, so they were sent after the previous process had ended; if all their logs
are empty, none of them has acknowledged an entry of an earlier group, and so none was committed. A single log that is not
empty prevents the bootstrap. The cost is that all initial hosts must be up at the same time once.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as engine from './engine.ts';
import type * as group from './group.ts';
import * as members from './members.ts';
import type * as observation from './observation.ts';
import type * as runner from './runner.ts';

/**
Sends and receives announcements.
*/
export type Formation = {
	readonly receive: (announcement: group.Announcement) => void;
	readonly close: () => void;
};

/**
Sends announcements at once and then every {@link constants.ANNOUNCEMENT_INTERVAL_MILLISECONDS}.
*/
export function createFormation(
	options: group.GroupOptions,
	announcements: observation.Announcements,
	loop: runner.ReplicaLoop,
): Formation {
	const {clock, host} = options;
	const firstHosts = options.initialMembers?.hosts ?? [];
	let cancel = () => {
		// Nothing is scheduled yet.
	};

	const announceTo = (to: core.HostId) => {
		const state = loop.getState();
		options.send(to, {
			kind: 'announce',
			group: options.group,
			from: state.settings.self,
			to: announcements.get(to, clock())?.from ?? null,
			isEmpty: engine.isEmpty(state),
		});
	};

	const bootstrapIfAgreed = () => {
		const state = loop.getState();
		const {self} = state.settings;
		const isCreator = firstHosts[0] === host && engine.isEmpty(state);
		const answers = firstHosts.slice(1).map(name => announcements.get(name, clock()));
		const isAgreed = answers.every(answer => answer?.to === self && answer.isEmpty);
		if (!isCreator || !isAgreed) {
			return;
		}

		const ids = [self, ...answers.map(answer => answer!.from)];
		loop.dispatch({kind: 'create-group', members: ids.map(id => ({id, role: 'voter'}))});
	};

	const announce = () => {
		for (const name of isWithoutGroup(loop) ? getSeeds(options) : []) {
			announceTo(name);
		}

		bootstrapIfAgreed();
		cancel = options.schedule(constants.ANNOUNCEMENT_INTERVAL_MILLISECONDS, announce);
	};

	announce();
	return {
		receive(announcement) {
			announcements.add(announcement, clock());
			const isAnswered = announcement.to === loop.getState().settings.self;
			if (!isAnswered && isWithoutGroup(loop)) {
				announceTo(members.getMemberHost(announcement.from));
			}

			bootstrapIfAgreed();
		},
		close() {
			cancel();
		},
	};
}

/**
Returns whether this host is not a member or has no leader. A member without a leader may have been removed while it was
partitioned, so it announces itself too.
*/
function isWithoutGroup(loop: runner.ReplicaLoop): boolean {
	const {leader, members: listed, settings} = loop.getState();
	return leader === null || listed.every(member => member.id !== settings.self);
}

function getSeeds(options: group.GroupOptions): ReadonlySet<core.HostId> {
	const seeds = new Set([...options.getSeeds?.() ?? [], ...options.initialMembers?.hosts ?? []]);
	seeds.delete(options.host);
	return seeds;
}
