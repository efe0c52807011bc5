/**
Chooses which hosts vote in a group and which only follow.

Voters that run keep their place; a host that is gone is replaced only when another can take its place, since each change of
members is a risk and most hosts come back. New voters are taken from the failure domains with the fewest.
*/
import type * as core from 'wagtailroute-core';
import {getMemberHost, type Member, type MemberRole} from './members.ts';

/**
A host that belongs into a group.
*/
export type WantedMember = {
	readonly host: core.HostId;
	readonly role: MemberRole;
};

/**
What a choice is made from.
*/
export type MemberChoice = {
	readonly members: readonly Member[];
	/**
	Hosts that run and may be members.
	*/
	readonly running: ReadonlyArray<{readonly host: core.HostId; readonly failureDomain: core.FailureDomain}>;
	/**
	Says whether a host is gone for so long that another may take its place.
	*/
	readonly isReplaceable: (host: core.HostId) => boolean;
	readonly votersMost: number;
};

/**
Returns the hosts that belong into a group. A host that is gone stays as long as no other could vote in its place.
*/
export function chooseMembers(choice: MemberChoice): readonly WantedMember[] {
	const {members, running, isReplaceable, votersMost} = choice;
	const present = [...new Set(members.map(member => getMemberHost(member.id)))];
	const isRunning = (host: core.HostId) => running.some(item => item.host === host);
	const hosts = [...new Set([...present.filter(host => isRunning(host) || !isReplaceable(host)), ...running.map(({host}) => host)])];
	const wanted = Math.min(votersMost, Math.max(hosts.length, countVoters(members)));
	const voters = chooseVoters(choice, hosts, wanted);
	// Without a host in its place, a lost voter stays: fewer voters would bear fewer losses.
	const kept = present.filter(host => !hosts.includes(host) && isVoterHost(members, host)).slice(0, Math.max(0, wanted - voters.size));
	return [
		...hosts.map(host => ({host, role: voters.has(host) ? 'voter' : 'learner'} as const)),
		...kept.map(host => ({host, role: 'voter'} as const)),
	];
}

function chooseVoters({members, running}: MemberChoice, hosts: readonly core.HostId[], wanted: number): ReadonlySet<core.HostId> {
	const voters = new Set(hosts.filter(host => isVoterHost(members, host)).slice(0, wanted));
	const getDomain = (host: core.HostId) => running.find(item => item.host === host)?.failureDomain ?? '';
	const countIn = (domain: core.FailureDomain) => [...voters].filter(voter => getDomain(voter) === domain).length;
	while (voters.size < Math.min(wanted, hosts.length)) {
		const [next] = hosts
			.filter(host => !voters.has(host))
			.toSorted((left, right) => countIn(getDomain(left)) - countIn(getDomain(right)));
		voters.add(next!);
	}

	return voters;
}

function isVoterHost(members: readonly Member[], host: core.HostId): boolean {
	return members.some(member => member.role === 'voter' && getMemberHost(member.id) === host);
}

function countVoters(members: readonly Member[]): number {
	return members.filter(member => member.role === 'voter').length;
}
