/**
Chooses which hosts of a group are voters and which are learners.

Running voters stay voters. An absent voter is replaced only if another host is available, since every membership change
carries a risk and most hosts return. New voters come from the failure domains with the fewest voters.
*/
import type * as core from 'wagtailroute-core';
import {getMemberHost, type Member, type MemberRole} from './members.ts';

/**
A host that should be a member, with its role.
*/
export type WantedMember = {
	readonly host: core.HostId;
	readonly role: MemberRole;
};

/**
The current members and the hosts to choose from.
*/
export type MemberChoiceOptions = {
	readonly members: readonly Member[];
	/**
	Running hosts that may be members.
	*/
	readonly runningHosts: ReadonlyArray<{readonly host: core.HostId; readonly failureDomain: core.FailureDomain}>;
	/**
	Returns whether a host has been absent long enough to be replaced.
	*/
	readonly isReplaceable: (host: core.HostId) => boolean;
	readonly maxVoters: number;
};

/**
Returns the hosts that should be members. An absent voter stays until another host can replace it.
*/
export function chooseMembers(choice: MemberChoiceOptions): readonly WantedMember[] {
	const {members, runningHosts, isReplaceable, maxVoters} = choice;
	const memberHosts = [...new Set(members.map(member => getMemberHost(member.id)))];
	const isRunning = (host: core.HostId) => runningHosts.some(item => item.host === host);
	const hosts = [...new Set([...memberHosts.filter(host => isRunning(host) || !isReplaceable(host)), ...runningHosts.map(({host}) => host)])];
	const targetVoters = Math.min(maxVoters, Math.max(hosts.length, countVoters(members)));
	const voters = chooseVoters(choice, hosts, targetVoters);
	// A lost voter without a replacement stays, since a smaller group tolerates fewer failures.
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
