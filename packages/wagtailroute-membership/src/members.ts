/**
Records of hosts, and the order of their versions, which decides which of two records of a host replaces the other.
*/
import type * as core from 'wagtailroute-core';

/**
`alive`; `suspect`: a probe failed, and the host has a short time to refute the suspicion; `dead`: it didn't refute it;
`left`: it announced its stop.
*/
export type MemberState = 'alive' | 'suspect' | 'dead' | 'left';

/**
Properties of a host that are fixed from start to stop of its process.
*/
export type HostDescription = {
	readonly id: core.HostId;
	/**
	Boot id: random, new at each start of the process.
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
The record of a host, as one host of the fleet knows it.
*/
export type Member = HostDescription & {
	/**
	Raised only by the host itself: to refute a suspicion, or because its record changed.
	*/
	readonly incarnation: number;
	readonly state: MemberState;
	/**
	Whether the host is about to refuse new requests.
	*/
	readonly draining: boolean;
	/**
	Highest revision of the catalogue that the host reported; it may have a newer one by now.
	*/
	readonly catalogueRevision: number;
	/**
	Fraction of the host's capacity in use, 0 to 1, as last reported.
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
Version of a record. A received record replaces the known one when its version is greater: by incarnation, then by state.
*/
export type Version = Pick<Member, 'incarnation' | 'state'>;

/**
Encodes a version as an integer in the same order.
*/
export function encodeVersion(version: Version): number {
	return (version.incarnation * STATES.length) + STATE_RANKS[version.state];
}

/**
Decodes a version written by `encodeVersion`.
*/
export function decodeVersion(encodedVersion: number): Version {
	return {incarnation: Math.floor(encodedVersion / STATES.length), state: STATES[encodedVersion % STATES.length]!};
}

/**
Returns whether the received version replaces the known one.
*/
export function isNewer(received: Version, known: Version): boolean {
	return encodeVersion(received) > encodeVersion(known);
}

/**
Returns whether the host is present: alive or suspected, so not known to have ended.
*/
export function isPresent(member: Version): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}
