/**
What a leader sees of the members and of hosts that want to join.
*/
import type * as core from 'wagtailroute-core';
import type * as group from './group.ts';
import * as constants from './constants.ts';
import * as members from './members.ts';
import type * as repair from './repair.ts';
import type * as replica from './replica.ts';

/**
Returns the members as this replica sees them; only a leader knows who is live.
*/
export function observeMembers(state: replica.Replica, now: number): readonly repair.ObservedMember[] {
	return state.members.map(member => {
		const progress = state.progress.get(member.id);
		const isSelf = member.id === state.settings.self;
		return {
			...member,
			isLive: isSelf || (progress !== undefined && now - progress.lastResponseAt < constants.REACHABLE_MILLISECONDS),
			isCaughtUp: isSelf || (progress !== undefined && progress.matchIndex >= state.commit),
		};
	});
}

/**
Announcements heard lately.
*/
export type Announcements = {
	readonly add: (announcement: group.Announcement, now: number) => void;
	/**
	The last announcement of a host, unless it is too old.
	*/
	readonly get: (host: core.HostId, now: number) => group.Announcement | undefined;
	/**
	Adds to each wanted host the member that runs there now.
	*/
	readonly resolveMembers: (
		state: replica.Replica,
		wanted: ReadonlyArray<Pick<repair.WantedHost, 'host' | 'role'>>,
		now: number,
	) => readonly repair.WantedHost[];
};

/**
Creates an empty table, one row a host.
*/
export function createAnnouncements(): Announcements {
	const latest = new Map<core.HostId, {readonly announcement: group.Announcement; readonly at: number}>();
	const get = (host: core.HostId, now: number) => {
		const last = latest.get(host);
		return last !== undefined && now - last.at < constants.REACHABLE_MILLISECONDS ? last.announcement : undefined;
	};

	return {
		add(announcement, now) {
			latest.set(members.getMemberHost(announcement.from), {announcement, at: now});
		},
		get,
		resolveMembers(state, wanted, now) {
			const observed = observeMembers(state, now);
			return wanted.map(({host, role}) => {
				const live = observed.findLast(member => member.isLive && members.getMemberHost(member.id) === host);
				return {host, role, current: get(host, now)?.from ?? live?.id ?? null};
			});
		},
	};
}
