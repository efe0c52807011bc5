/**
The hosts known to this host, and a digest of them by bucket.

The table is mutable inside the state: at 2,400 hosts a copy for each of the few messages a second would cost more than
everything else. Records are immutable and replaced as a whole; the order of the hosts depends on the events alone, so
the machine stays deterministic.

The digest covers the present hosts and treats suspected ones as alive: a suspicion is over within seconds, and including
it would make every exchange find a difference.
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
An expired host: records up to this incarnation are rejected.
*/
export type Tombstone = {readonly incarnation: number; readonly createdAt: number};

/**
The hosts known, with values derived from their records.
*/
export type MemberTable = {
	readonly members: Map<core.HostId, Member>;
	/**
	When each dead or left host entered that state, in monotonic milliseconds.
	*/
	readonly endedAt: Map<core.HostId, number>;
	readonly tombstones: Map<core.HostId, Tombstone>;
	/**
	One hash a bucket: the XOR of the hashes of its present hosts' ids and incarnations.
	*/
	readonly bucketHashes: Uint32Array;
	/**
	Ids of the present hosts; undefined after a change.
	*/
	presentIds: readonly core.HostId[] | undefined;
	/**
	Cached list of all records; undefined after a change.
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
Stores a record in place of the known one; the caller has compared their versions.
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
Lists all records, dead and left hosts included.
*/
export function listMembers(table: MemberTable): readonly Member[] {
	table.memberList ??= table.members.values().toArray();
	return table.memberList;
}

/**
Lists the ids of the present hosts, this host included.
*/
export function listPresentIds(table: MemberTable): readonly core.HostId[] {
	table.presentIds ??= table.members.values().filter(member => isPresent(member)).map(member => member.id).toArray();
	return table.presentIds;
}

/**
Removes the dead and left hosts whose retention time is over, and returns their ids.
*/
export function expireMembers(table: MemberTable, now: number): readonly core.HostId[] {
	const expiredIds: core.HostId[] = [];
	for (const [id, endTime] of table.endedAt) {
		if (now - endTime < ENDED_MEMBER_RETENTION_MILLISECONDS) {
			continue;
		}

		// Without a tombstone, a host that was partitioned off and still lists the expired one as alive would restore it.
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
Returns the index of the bucket that a host belongs to.
*/
export function getBucket(id: core.HostId): number {
	return hashText(id) % DIGEST_BUCKETS;
}

/**
Encodes the digest of all buckets in base64, three bytes a bucket.
*/
export function encodeDigest(table: MemberTable): string {
	const bytes = buffer.Buffer.alloc(DIGEST_BUCKETS * DIGEST_HASH_BYTES);
	for (const [index, hash] of table.bucketHashes.entries()) {
		bytes.writeUIntLE(truncateHash(hash), index * DIGEST_HASH_BYTES, DIGEST_HASH_BYTES);
	}

	return bytes.toString('base64');
}

/**
Returns the indexes of the buckets in which another host's digest differs; all of them for a digest of another length.
*/
export function findDifferentBuckets(table: MemberTable, hashes: string): readonly number[] {
	const bytes = buffer.Buffer.from(hashes, 'base64');
	// Reading past the end of a shorter digest would throw and stop this host.
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

	// FNV-1a leaves the low bits of similar ids alike, so the high bits are mixed in.
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	return (hash ^ (hash >>> 13)) >>> 0;
}
