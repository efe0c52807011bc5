/**
The directory: which addresses a caller is told to use for a service.

Answers are drawn among the service's carriers, spread over failure domains and weighted by room. Hosts that are
draining, suspected or behind on the catalogue are left out. When no carrier is fit, an answer that may fail is better
than none: groups of less fit hosts are tried in a fixed order, and any host can serve any service.
*/
import type * as core from 'wagtailroute-core';
import {ADDRESS_COUNT, ADDRESS_TTL_SECONDS, MIN_ROOM} from './constants.ts';
import {getUniform, type NameHash} from './scores.ts';
import {chooseSpread} from './spreading.ts';

/**
What the directory needs to know of a host; a member record of the membership part fits.
*/
export type DirectoryMember = {
	readonly id: core.HostId;
	readonly trafficAddress: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly state: 'alive' | 'suspect' | 'left' | 'dead';
	readonly draining: boolean;
	/**
	Used share of the host's capacity, 0 idle to 1 full.
	*/
	readonly load?: number;
};

/**
What an answer depends on.
*/
export type AddressQuery = {
	readonly service: core.ServiceName;
	readonly carriers: readonly core.HostId[];
	readonly members: ReadonlyMap<core.HostId, DirectoryMember>;
	readonly random: () => number;
	/**
	Addresses wanted; `ADDRESS_COUNT` when left out.
	*/
	readonly count?: number;
	/**
	Says whether a host is behind on the catalogue.
	*/
	readonly behind?: (id: core.HostId) => boolean;
	/**
	Says whether this host's own view of another is a path fault or the like; such hosts count as suspected.
	*/
	readonly unreachable?: (id: core.HostId) => boolean;
	/**
	Gives the same caller the same answer while the hosts stay the same.
	*/
	readonly caller?: {readonly hash: NameHash; readonly key: string};
};

/**
One address of an answer.
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

type Group = {readonly carrier: boolean; readonly fitness: Fitness};

// The first group with a host in it answers.
const GROUPS: readonly Group[] = [
	{carrier: true, fitness: 'fit'},
	{carrier: false, fitness: 'fit'},
	{carrier: true, fitness: 'behind'},
	{carrier: false, fitness: 'behind'},
	{carrier: true, fitness: 'suspect'},
	{carrier: false, fitness: 'suspect'},
	{carrier: true, fitness: 'draining'},
	{carrier: false, fitness: 'draining'},
];

/**
Answers a caller: at most `count` addresses, each to be kept for `ttlSeconds`.
*/
export function getAddresses(query: AddressQuery): DirectoryAnswer {
	const candidates = getGroup(query).map(member => ({
		id: member.id,
		failureDomain: member.failureDomain,
		score: -Math.log(draw(query, member.id)) / getRoom(member),
		member,
	}));
	const chosen = chooseSpread(candidates, query.count ?? ADDRESS_COUNT);
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

function getGroup(query: AddressQuery): readonly DirectoryMember[] {
	const carriers = new Set(query.carriers);
	for (const group of GROUPS) {
		const members = getMembers(query, carriers, group);
		if (members.length > 0) {
			return members;
		}
	}

	return [];
}

function getMembers(
	query: AddressQuery,
	carriers: ReadonlySet<core.HostId>,
	group: Group,
): readonly DirectoryMember[] {
	const members = group.carrier
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

	if (member.state === 'suspect' || query.unreachable?.(member.id)) {
		return 'suspect';
	}

	return query.behind?.(member.id) ? 'behind' : 'fit';
}

function getRoom(member: DirectoryMember): number {
	return Math.max(MIN_ROOM, 1 - (member.load ?? 0));
}

function draw(query: AddressQuery, id: core.HostId): number {
	if (query.caller) {
		const {hash, key} = query.caller;
		return getUniform(hash(`${query.service} ${key}`), hash(id));
	}

	// A draw of 0 has no logarithm.
	return 1 - query.random();
}
