/**
How hosts without a group come to one: by announcing themselves, and by creating it.

Every host starts with a random incarnation and no members. It announces itself to the others; the leader, if there is one,
takes it in by a repair. A group is created by the first of its hosts alone, once all the others have answered its
announcement and said that their logs are empty.

What goes wrong with a plain list of members and a flag for the first start: the flag stays in the settings, the first host
loses its disk and starts again as if the group were new; with the hosts that lag behind it finds a quorum, and accepted
changes are gone. Here it can't: the others' answers name the incarnation of this start, so they were sent after the old
process had ended; if all of them were empty then, no entry of an earlier group was ever acknowledged by any of them and so
none was accepted. One that is not empty prevents the creation. The price is that all first hosts must be up together once.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as engine from './engine.ts';
import type * as group from './group.ts';
import * as members from './members.ts';
import type * as observation from './observation.ts';
import type * as runner from './runner.ts';

/**
Sends and takes announcements.
*/
export type Formation = {
	readonly receive: (announcement: group.Announcement) => void;
	readonly close: () => void;
};

/**
Starts announcing at once and then every {@link constants.ANNOUNCEMENT_INTERVAL_MILLISECONDS}.
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
A member that hears no leader announces itself too: it may have been removed while it was cut off.
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
