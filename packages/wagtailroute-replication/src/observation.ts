/**
A leader's view of the members and of hosts that want to join.
*/
import type * as core from 'wagtailroute-core';
import type * as group from './group.ts';
import * as constants from './constants.ts';
import * as members from './members.ts';
import type * as repair from './repair.ts';
import type * as replica from './replica.ts';

/**
Returns the members as this replica sees them. Only a leader knows which others are live and caught up.
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
Recently received announcements, the last one of each host.
*/
export type Announcements = {
	readonly add: (announcement: group.Announcement, now: number) => void;
	/**
	Returns the last announcement of a host, unless it is older than {@link constants.REACHABLE_MILLISECONDS}.
	*/
	readonly get: (host: core.HostId, now: number) => group.Announcement | undefined;
	/**
	Adds to each wanted host the member that runs there now: from its last announcement, else the live member of the group.
	*/
	readonly resolveMembers: (
		state: replica.Replica,
		wanted: ReadonlyArray<Pick<repair.WantedHost, 'host' | 'role'>>,
		now: number,
	) => readonly repair.WantedHost[];
};

/**
Creates an empty table; it has at most one announcement per host.
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
