/**
The directory: which addresses a caller receives for a service.

Addresses are selected at random among the service's carriers, spread over failure domains and weighted by free
capacity. Hosts that are draining, suspected or behind on the catalogue are left out. When no carrier is fit, an address
that may fail is better than none: groups of less fit hosts follow in a fixed order, as any host can serve any service.
*/
import type * as core from 'wagtailroute-core';
import {ADDRESS_COUNT, ADDRESS_TTL_SECONDS, MIN_FREE_CAPACITY} from './constants.ts';
import {mixToUniform, type NameHash} from './scores.ts';
import {selectAcrossDomains} from './spreading.ts';

/**
The fields of a host that the directory uses; the member records of wagtailroute-membership are assignable to it.
*/
export type DirectoryMember = {
	readonly id: core.HostId;
	readonly trafficAddress: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly state: 'alive' | 'suspect' | 'left' | 'dead';
	readonly draining: boolean;
	/**
	Used fraction of the host's capacity, from 0 (idle) to 1 (full).
	*/
	readonly load?: number;
};

/**
Input of an answer to a caller.
*/
export type AddressQuery = {
	readonly service: core.ServiceName;
	readonly carriers: readonly core.HostId[];
	readonly members: ReadonlyMap<core.HostId, DirectoryMember>;
	readonly random: () => number;
	/**
	Maximum number of addresses; `ADDRESS_COUNT` by default.
	*/
	readonly count?: number;
	/**
	Returns whether a host has an older catalogue than it should.
	*/
	readonly isBehind?: (id: core.HostId) => boolean;
	/**
	Returns whether this host itself fails to reach another host, for instance by a path fault; such a host counts as
	suspected.
	*/
	readonly isUnreachable?: (id: core.HostId) => boolean;
	/**
	Identifies the caller: the same key gets the same answer while the hosts stay the same. Without it, answers are random.
	*/
	readonly caller?: {readonly hash: NameHash; readonly key: string};
};

/**
The traffic address of a host and its failure domain.
*/
export type DirectoryAddress = core.Address & {readonly failureDomain: core.FailureDomain};

/**
An answer to a caller; `addresses` is empty only when no host of the fleet is known to run.
*/
export type DirectoryAnswer = {
	readonly service: core.ServiceName;
	readonly addresses: readonly DirectoryAddress[];
	readonly ttlSeconds: number;
};

type Fitness = 'fit' | 'behind' | 'suspect' | 'draining' | 'gone';

type MemberGroup = {readonly isCarrier: boolean; readonly fitness: Fitness};

// The answer consists of hosts of the first group that isn't empty.
const GROUPS_BY_PREFERENCE: readonly MemberGroup[] = [
	{isCarrier: true, fitness: 'fit'},
	{isCarrier: false, fitness: 'fit'},
	{isCarrier: true, fitness: 'behind'},
	{isCarrier: false, fitness: 'behind'},
	{isCarrier: true, fitness: 'suspect'},
	{isCarrier: false, fitness: 'suspect'},
	{isCarrier: true, fitness: 'draining'},
	{isCarrier: false, fitness: 'draining'},
];

/**
Returns the answer to a caller: at most `count` addresses, to be cached for `ttlSeconds`.
*/
export function getAddresses(query: AddressQuery): DirectoryAnswer {
	const candidates = getPreferredMembers(query).map(member => ({
		id: member.id,
		failureDomain: member.failureDomain,
		score: -Math.log(drawUniform(query, member.id)) / getFreeCapacity(member),
		member,
	}));
	const chosen = selectAcrossDomains(candidates, query.count ?? ADDRESS_COUNT);
	return {
		service: query.service,
		addresses: chosen.map(({candidate: {member}}) => ({
			ip: member.trafficAddress.ip,
			port: member.trafficAddress.port,
			failureDomain: member.failureDomain,
		})),
		ttlSeconds: ADDRESS_TTL_SECONDS,
	};
}

function getPreferredMembers(query: AddressQuery): readonly DirectoryMember[] {
	const carriers = new Set(query.carriers);
	for (const group of GROUPS_BY_PREFERENCE) {
		const members = getGroupMembers(query, carriers, group);
		if (members.length > 0) {
			return members;
		}
	}

	return [];
}

function getGroupMembers(
	query: AddressQuery,
	carriers: ReadonlySet<core.HostId>,
	group: MemberGroup,
): readonly DirectoryMember[] {
	const members = group.isCarrier
		? query.carriers.map(id => query.members.get(id)).filter(member => member !== undefined)
		: query.members.values().filter(member => !carriers.has(member.id)).toArray();
	return members.filter(member => getFitness(query, member) === group.fitness);
}

function getFitness(query: AddressQuery, member: DirectoryMember): Fitness {
	if (member.state === 'dead' || member.state === 'left') {
		return 'gone';
	}

	if (member.draining) {
		return 'draining';
	}

	if (member.state === 'suspect' || query.isUnreachable?.(member.id)) {
		return 'suspect';
	}

	return query.isBehind?.(member.id) ? 'behind' : 'fit';
}

function getFreeCapacity(member: DirectoryMember): number {
	return Math.max(MIN_FREE_CAPACITY, 1 - (member.load ?? 0));
}

function drawUniform(query: AddressQuery, id: core.HostId): number {
	if (query.caller) {
		const {hash, key} = query.caller;
		return mixToUniform(hash(`${query.service} ${key}`), hash(id));
	}

	// The score is computed from the logarithm of this number, so it must not be 0.
	return 1 - query.random();
}
