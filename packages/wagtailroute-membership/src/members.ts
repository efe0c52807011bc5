/**
Records of hosts and the order in which one replaces another.
*/
import type * as core from 'wagtailroute-core';

/**
`alive`; `suspect`: probes fail and it has a short time to object; `dead`: it didn't; `left`: it said so.
*/
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/**
What a host is and where it is reached.
*/
export type HostDescription = {
	readonly id: core.HostId;
	/**
	Random, new at each start of the process.
	*/
	readonly boot: string;
	readonly peerAddress: core.Address;
	readonly trafficAddress: core.Address;
	readonly adminAddress: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly region: core.Region;
	readonly roles: readonly string[];
};

/**
A host as another one knows it.
*/
export type Member = HostDescription & {
	/**
	Only the host itself raises it: to object to a suspicion, or because its record changed.
	*/
	readonly incarnation: number;
	readonly state: MemberState;
	/**
	The host refuses new requests soon.
	*/
	readonly draining: boolean;
	/**
	Last revision of the catalogue heard of; it may be older than what the host has.
	*/
	readonly catalogueRevision: number;
	/**
	Used share of the host's capacity, 0 to 1, as last heard.
	*/
	readonly load?: number;
};

const STATE_RANKS: Readonly<Record<MemberState, number>> = {
	alive: 0,
	suspect: 1,
	dead: 2,
	left: 3,
};

const STATES: readonly MemberState[] = ['alive', 'suspect', 'dead', 'left'];

/**
A version of a record: what is heard replaces what is known when its version is greater.
*/
export type Version = Pick<Member, 'incarnation' | 'state'>;

/**
Writes a version as one integer that grows with it.
*/
export function encodeVersion(version: Version): number {
	return (version.incarnation * STATES.length) + STATE_RANKS[version.state];
}

/**
Reads a version.
*/
export function decodeVersion(encodedVersion: number): Version {
	return {incarnation: Math.floor(encodedVersion / STATES.length), state: STATES[encodedVersion % STATES.length]!};
}

/**
Says whether a version replaces another.
*/
export function isNewer(received: Version, known: Version): boolean {
	return encodeVersion(received) > encodeVersion(known);
}

/**
Says whether the host is taken for running: alive or suspected.
*/
export function isPresent(member: Version): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}
