/**
The hosts that a host knows, and a digest of them by groups.

The table is mutable inside the state: at 2,400 hosts a copy for each of the few messages a second would cost more than
all else. Records are immutable and replaced as a whole; the order of the hosts follows from the events alone, so the
machine stays deterministic.

The digest covers the hosts taken for running, with suspected ones as alive: a suspicion is over within seconds and would
make every exchange differ.
*/
/* eslint-disable no-bitwise -- hashes are made of bit operations */
import * as buffer from 'node:buffer';
import type * as core from 'wagtailroute-core';
import {
	BUCKETS,
	FORGET_MILLISECONDS,
	MAX_TOMBSTONES,
	TOMBSTONE_MILLISECONDS,
} from './constants.ts';
import {isPresent, type Member} from './members.ts';

/**
A forgotten host: records up to this incarnation are refused.
*/
export type Tombstone = {readonly incarnation: number; readonly at: number};

/**
All hosts known.
*/
export type MemberTable = {
	readonly members: Map<core.HostId, Member>;
	/**
	When a dead or left host ended, in monotonic milliseconds.
	*/
	readonly ended: Map<core.HostId, number>;
	readonly tombstones: Map<core.HostId, Tombstone>;
	readonly hashes: Uint32Array;
	/**
	Names of the hosts taken for running; undefined after a change.
	*/
	present: readonly core.HostId[] | undefined;
	/**
	All records; undefined after a change.
	*/
	list: readonly Member[] | undefined;
};

const HASH_BYTES = 3;
const BYTE = 0xFF;

/**
Creates an empty table.
*/
export function createTable(): MemberTable {
	return {
		members: new Map(),
		ended: new Map(),
		tombstones: new Map(),
		hashes: new Uint32Array(BUCKETS),
		present: undefined,
		list: undefined,
	};
}

/**
Stores a record in place of the one known.
*/
export function storeMember(table: MemberTable, member: Member, now: number): void {
	const known = table.members.get(member.id);
	table.members.set(member.id, member);
	table.list = undefined;
	toggleHash(table, known);
	toggleHash(table, member);
	if (!known || isPresent(known) !== isPresent(member)) {
		table.present = undefined;
	}

	if (isPresent(member)) {
		table.ended.delete(member.id);
	} else if (!known || isPresent(known)) {
		table.ended.set(member.id, now);
	}
}

/**
All records, dead and left hosts included.
*/
export function listMembers(table: MemberTable): readonly Member[] {
	table.list ??= table.members.values().toArray();
	return table.list;
}

/**
Names of the hosts taken for running, this one included.
*/
export function listPresent(table: MemberTable): readonly core.HostId[] {
	table.present ??= table.members.values().filter(member => isPresent(member)).map(member => member.id).toArray();
	return table.present;
}

/**
Forgets hosts that ended long ago and returns their names.
*/
export function forgetMembers(table: MemberTable, now: number): readonly core.HostId[] {
	const forgotten: core.HostId[] = [];
	for (const [id, at] of table.ended) {
		if (now - at < FORGET_MILLISECONDS) {
			continue;
		}

		// Without a tombstone, a host that was cut off and still lists it as alive would bring it back.
		table.tombstones.delete(id);
		table.tombstones.set(id, {incarnation: table.members.get(id)!.incarnation, at: now});
		table.members.delete(id);
		table.ended.delete(id);
		table.list = undefined;
		forgotten.push(id);
	}

	boundTombstones(table, now);
	return forgotten;
}

/**
The group that a host belongs to.
*/
export function getBucket(id: core.HostId): number {
	return hashText(id) % BUCKETS;
}

/**
The digest of all groups, in base64.
*/
export function formatHashes(table: MemberTable): string {
	const bytes = buffer.Buffer.alloc(BUCKETS * HASH_BYTES);
	for (const [index, hash] of table.hashes.entries()) {
		bytes.writeUIntLE(truncateHash(hash), index * HASH_BYTES, HASH_BYTES);
	}

	return bytes.toString('base64');
}

/**
Groups in which another host's digest differs.
*/
export function findDifferences(table: MemberTable, hashes: string): readonly number[] {
	const bytes = buffer.Buffer.from(hashes, 'base64');
	// A digest of another length is none of this table's: reading past its end would throw, and end this host.
	if (bytes.length !== BUCKETS * HASH_BYTES) {
		return table.hashes.keys().toArray();
	}

	const different: number[] = [];
	for (const [index, hash] of table.hashes.entries()) {
		if (bytes.readUIntLE(index * HASH_BYTES, HASH_BYTES) !== truncateHash(hash)) {
			different.push(index);
		}
	}

	return different;
}

function boundTombstones(table: MemberTable, now: number): void {
	for (const [id, tombstone] of table.tombstones) {
		if (table.tombstones.size <= MAX_TOMBSTONES && now - tombstone.at < TOMBSTONE_MILLISECONDS) {
			return;
		}

		table.tombstones.delete(id);
	}
}

function toggleHash(table: MemberTable, member: Member | undefined): void {
	if (!(member && isPresent(member))) {
		return;
	}

	const bucket = getBucket(member.id);
	table.hashes[bucket]! ^= hashText(`${member.id} ${member.incarnation}`);
}

function truncateHash(hash: number): number {
	return (hash ^ (hash >>> 24)) & ((BYTE << 16) | (BYTE << 8) | BYTE);
}

function hashText(text: string): number {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- UTF-16 units are the same on every host
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	// FNV-1a leaves the low bits of similar names alike: mix the high ones in.
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	return (hash ^ (hash >>> 13)) >>> 0;
}
