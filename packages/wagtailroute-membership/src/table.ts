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
	DIGEST_BUCKETS,
	ENDED_MEMBER_RETENTION_MILLISECONDS,
	MAX_TOMBSTONES,
	TOMBSTONE_RETENTION_MILLISECONDS,
} from './constants.ts';
import {isPresent, type Member} from './members.ts';

/**
A forgotten host: records up to this incarnation are refused.
*/
export type Tombstone = {readonly incarnation: number; readonly createdAt: number};

/**
All hosts known.
*/
export type MemberTable = {
	readonly members: Map<core.HostId, Member>;
	/**
	When a dead or left host ended, in monotonic milliseconds.
	*/
	readonly endedAt: Map<core.HostId, number>;
	readonly tombstones: Map<core.HostId, Tombstone>;
	readonly bucketHashes: Uint32Array;
	/**
	Names of the hosts taken for running; undefined after a change.
	*/
	presentIds: readonly core.HostId[] | undefined;
	/**
	All records; undefined after a change.
	*/
	memberList: readonly Member[] | undefined;
};

const DIGEST_HASH_BYTES = 3;
const BYTE_MASK = 0xFF;

/**
Creates an empty table.
*/
export function createTable(): MemberTable {
	return {
		members: new Map(),
		endedAt: new Map(),
		tombstones: new Map(),
		bucketHashes: new Uint32Array(DIGEST_BUCKETS),
		presentIds: undefined,
		memberList: undefined,
	};
}

/**
Stores a record in place of the one known.
*/
export function storeMember(table: MemberTable, member: Member, now: number): void {
	const known = table.members.get(member.id);
	table.members.set(member.id, member);
	table.memberList = undefined;
	toggleHash(table, known);
	toggleHash(table, member);
	if (!known || isPresent(known) !== isPresent(member)) {
		table.presentIds = undefined;
	}

	if (isPresent(member)) {
		table.endedAt.delete(member.id);
	} else if (!known || isPresent(known)) {
		table.endedAt.set(member.id, now);
	}
}

/**
All records, dead and left hosts included.
*/
export function listMembers(table: MemberTable): readonly Member[] {
	table.memberList ??= table.members.values().toArray();
	return table.memberList;
}

/**
Names of the hosts taken for running, this one included.
*/
export function listPresentIds(table: MemberTable): readonly core.HostId[] {
	table.presentIds ??= table.members.values().filter(member => isPresent(member)).map(member => member.id).toArray();
	return table.presentIds;
}

/**
Forgets hosts that ended long ago and returns their names.
*/
export function expireMembers(table: MemberTable, now: number): readonly core.HostId[] {
	const expiredIds: core.HostId[] = [];
	for (const [id, at] of table.endedAt) {
		if (now - at < ENDED_MEMBER_RETENTION_MILLISECONDS) {
			continue;
		}

		// Without a tombstone, a host that was cut off and still lists it as alive would bring it back.
		table.tombstones.delete(id);
		table.tombstones.set(id, {incarnation: table.members.get(id)!.incarnation, createdAt: now});
		table.members.delete(id);
		table.endedAt.delete(id);
		table.memberList = undefined;
		expiredIds.push(id);
	}

	removeOldTombstones(table, now);
	return expiredIds;
}

/**
The group that a host belongs to.
*/
export function getBucket(id: core.HostId): number {
	return hashText(id) % DIGEST_BUCKETS;
}

/**
The digest of all groups, in base64.
*/
export function encodeDigest(table: MemberTable): string {
	const bytes = buffer.Buffer.alloc(DIGEST_BUCKETS * DIGEST_HASH_BYTES);
	for (const [index, hash] of table.bucketHashes.entries()) {
		bytes.writeUIntLE(truncateHash(hash), index * DIGEST_HASH_BYTES, DIGEST_HASH_BYTES);
	}

	return bytes.toString('base64');
}

/**
Groups in which another host's digest differs.
*/
export function findDifferentBuckets(table: MemberTable, hashes: string): readonly number[] {
	const bytes = buffer.Buffer.from(hashes, 'base64');
	// A digest of another length is none of this table's: reading past its end would throw, and end this host.
	if (bytes.length !== DIGEST_BUCKETS * DIGEST_HASH_BYTES) {
		return table.bucketHashes.keys().toArray();
	}

	const differentBuckets: number[] = [];
	for (const [index, hash] of table.bucketHashes.entries()) {
		if (bytes.readUIntLE(index * DIGEST_HASH_BYTES, DIGEST_HASH_BYTES) !== truncateHash(hash)) {
			differentBuckets.push(index);
		}
	}

	return differentBuckets;
}

function removeOldTombstones(table: MemberTable, now: number): void {
	for (const [id, tombstone] of table.tombstones) {
		if (table.tombstones.size <= MAX_TOMBSTONES && now - tombstone.createdAt < TOMBSTONE_RETENTION_MILLISECONDS) {
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
	table.bucketHashes[bucket]! ^= hashText(`${member.id} ${member.incarnation}`);
}

function truncateHash(hash: number): number {
	return (hash ^ (hash >>> 24)) & ((BYTE_MASK << 16) | (BYTE_MASK << 8) | BYTE_MASK);
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
