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
export type MemberChoiceOptions = {
	readonly members: readonly Member[];
	/**
	Hosts that run and may be members.
	*/
	readonly runningHosts: ReadonlyArray<{readonly host: core.HostId; readonly failureDomain: core.FailureDomain}>;
	/**
	Says whether a host is gone for so long that another may take its place.
	*/
	readonly isReplaceable: (host: core.HostId) => boolean;
	readonly maxVoters: number;
};

/**
Returns the hosts that belong into a group. A host that is gone stays as long as no other could vote in its place.
*/
export function chooseMembers(choice: MemberChoiceOptions): readonly WantedMember[] {
	const {members, runningHosts, isReplaceable, maxVoters} = choice;
	const memberHosts = [...new Set(members.map(member => getMemberHost(member.id)))];
	const isRunning = (host: core.HostId) => runningHosts.some(item => item.host === host);
	const hosts = [...new Set([...memberHosts.filter(host => isRunning(host) || !isReplaceable(host)), ...runningHosts.map(({host}) => host)])];
	const targetVoters = Math.min(maxVoters, Math.max(hosts.length, countVoters(members)));
	const voters = chooseVoters(choice, hosts, targetVoters);
	// Without a host in its place, a lost voter stays: fewer voters would bear fewer losses.
	const keptVoters = memberHosts.filter(host => !hosts.includes(host) && isVoterHost(members, host)).slice(0, Math.max(0, targetVoters - voters.size));
	return [
		...hosts.map(host => ({host, role: voters.has(host) ? 'voter' : 'learner'} as const)),
		...keptVoters.map(host => ({host, role: 'voter'} as const)),
	];
}

function chooseVoters({members, runningHosts}: MemberChoiceOptions, hosts: readonly core.HostId[], targetVoters: number): ReadonlySet<core.HostId> {
	const voters = new Set(hosts.filter(host => isVoterHost(members, host)).slice(0, targetVoters));
	const getDomain = (host: core.HostId) => runningHosts.find(item => item.host === host)?.failureDomain ?? '';
	const countVotersIn = (domain: core.FailureDomain) => [...voters].filter(voter => getDomain(voter) === domain).length;
	while (voters.size < Math.min(targetVoters, hosts.length)) {
		const [next] = hosts
			.filter(host => !voters.has(host))
			.toSorted((left, right) => countVotersIn(getDomain(left)) - countVotersIn(getDomain(right)));
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
