/**
Digest exchange (anti-entropy): repairs what gossip missed, fills the table of a host that joins, and merges the two
sides of a healed partition. Each message is bounded in size; a joining host repeats the exchange at a short interval
until a digest matches.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	EXCHANGE_INTERVAL_MILLISECONDS,
	EXCHANGES_PER_SEED_EXCHANGE,
	JOIN_EXCHANGE_INTERVAL_MILLISECONDS,
	MAX_BUCKETS_PER_EXCHANGE,
	MAX_FETCHED_RECORDS,
	MAX_JOIN_EXCHANGES,
	MAX_MESSAGE_BYTES,
	MESSAGE_OVERHEAD_BYTES,
	RECONNECT_INTERVAL_MILLISECONDS,
} from './constants.ts';
import {packUpdates} from './dissemination.ts';
import {
	decodeVersion,
	encodeVersion,
	isNewer,
	isPresent,
} from './members.ts';
import type {Effect, Message, Update} from './messages.ts';
import {createOwnUpdate} from './updates.ts';
import {
	createMemberUpdate,
	getUnknownSeeds,
	pickMembers,
	sendMessage,
} from './sending.ts';
import type {MembershipState} from './state.ts';
import {encodeDigest, findDifferentBuckets, getBucket} from './table.ts';
import {parseAddress} from './wire.ts';

// Bytes of a version in JSON besides the host id: quotes, colon, comma and up to ten digits.
const VERSION_OVERHEAD_BYTES = 14;

/**
Sends a digest to one host when an exchange is due.
*/
export function runExchange(state: MembershipState, {now, random}: core.Circumstances): readonly Effect[] {
	if (state.nextExchangeAt > now) {
		return [];
	}

	state.exchangeCount++;
	// While hosts start and stop all the time, no two digests ever match.
	state.isJoining &&= state.exchangeCount <= MAX_JOIN_EXCHANGES;
	state.nextExchangeAt = now + (state.isJoining ? JOIN_EXCHANGE_INTERVAL_MILLISECONDS : EXCHANGE_INTERVAL_MILLISECONDS);
	const address = pickExchangeAddress(state, random);
	return address ? [sendMessage(state, address, {kind: 'digest', hashes: encodeDigest(state.table)})] : [];
}

/**
Sends its record to one of the hosts declared dead, when that is due: a running host refutes it, for example after a
partition has healed.
*/
export function runReconnect(state: MembershipState, {now, random}: core.Circumstances): readonly Effect[] {
	if (state.nextReconnectAt > now) {
		return [];
	}

	state.nextReconnectAt = now + RECONNECT_INTERVAL_MILLISECONDS;
	const dead = state.table.endedAt.keys()
		.map(id => state.table.members.get(id)!)
		.filter(member => member.state === 'dead')
		.toArray();
	const member = dead[utils.pickIndex(random, dead.length)];
	return member ? [sendMessage(state, member.peerAddress, {kind: 'gossip'}, [createMemberUpdate(state, member)])] : [];
}

/**
Answers a digest with the versions of the hosts in some of the buckets that differ, chosen at random.
*/
export function answerDigest(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'digest'}>,
	random: utils.Random,
): readonly Effect[] {
	const address = parseAddress(message.from.peer);
	const differentBuckets = findDifferentBuckets(state.table, message.hashes);
	if (differentBuckets.length === 0) {
		return [sendMessage(state, address, {kind: 'same'})];
	}

	const buckets = new Set(utils.shuffle(random, differentBuckets).slice(0, MAX_BUCKETS_PER_EXCHANGE));
	const versions = collectVersions(state, buckets);
	return [...buckets].flatMap(bucket => {
		const parts = splitVersions(versions.get(bucket) ?? []);
		return parts.map(part => sendMessage(state, address, {
			kind: 'versions',
			bucket,
			whole: parts.length === 1,
			versions: Object.fromEntries(part),
		}));
	});
}

/**
Compares received versions with the known ones: requests the records that are newer there, sends those newer here.
*/
export function compareVersions(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'versions'}>,
): readonly Effect[] {
	const address = parseAddress(message.from.peer);
	const idsToFetch: core.HostId[] = [];
	const updatesToSend: Update[] = [];
	for (const [id, encodedVersion] of Object.entries(message.versions)) {
		const version = decodeVersion(encodedVersion);
		const known = state.table.members.get(id);
		// An unknown host that is dead or has left isn't worth fetching.
		if (known ? isNewer(version, known) : isPresent(version)) {
			idsToFetch.push(id);
		} else if (known && isNewer(known, version)) {
			updatesToSend.push(createMemberUpdate(state, known));
		}
	}

	if (message.whole) {
		updatesToSend.push(...createMissingUpdates(state, message));
	}

	const fetches: readonly Effect[] = idsToFetch.length > 0
		? [sendMessage(state, address, {kind: 'fetch', ids: idsToFetch.slice(0, MAX_FETCHED_RECORDS)})]
		: [];
	return [...fetches, ...sendUpdates(state, address, updatesToSend)];
}

/**
Answers a fetch with the requested records that are known.
*/
export function answerFetch(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'fetch'}>,
): readonly Effect[] {
	const updates = message.ids
		.map(id => id === state.self.id ? undefined : state.table.members.get(id))
		.filter(member => member !== undefined)
		// An update of a suspicion carries no record: the record precedes it for a receiver that doesn't know the host.
		.flatMap(member => member.state === 'suspect'
			? [createMemberUpdate(state, {...member, state: 'alive'}), createMemberUpdate(state, member)]
			: [createMemberUpdate(state, member)]);
	const ownUpdates = message.ids.includes(state.self.id) ? [createOwnUpdate(state)] : [];
	return sendUpdates(state, parseAddress(message.from.peer), [...ownUpdates, ...updates]);
}

/**
Handles the answer that the digests match: joining is complete.
*/
export function handleSame(state: MembershipState): readonly Effect[] {
	state.isJoining = false;
	return [];
}

function sendUpdates(
	state: MembershipState,
	address: core.Address,
	updates: readonly Update[],
): readonly Effect[] {
	return packUpdates(updates).map(packed => sendMessage(state, address, {kind: 'gossip'}, packed));
}

function pickExchangeAddress(state: MembershipState, random: utils.Random): core.Address | undefined {
	const [member] = pickMembers(state, 1, random);
	if (member && state.exchangeCount % EXCHANGES_PER_SEED_EXCHANGE !== 0) {
		return member.peerAddress;
	}

	// Two sides of a partition whose records of each other have expired can only merge through the seeds.
	const seeds = getUnknownSeeds(state);
	return seeds[utils.pickIndex(random, seeds.length)] ?? member?.peerAddress;
}

function collectVersions(
	state: MembershipState,
	buckets: ReadonlySet<number>,
): ReadonlyMap<number, ReadonlyArray<readonly [core.HostId, number]>> {
	const versions = new Map<number, Array<readonly [core.HostId, number]>>();
	for (const member of state.table.members.values()) {
		const bucket = getBucket(member.id);
		if (!buckets.has(bucket)) {
			continue;
		}

		const bucketVersions = versions.get(bucket) ?? [];
		bucketVersions.push([member.id, encodeVersion(member)]);
		versions.set(bucket, bucketVersions);
	}

	return versions;
}

function splitVersions(
	versions: ReadonlyArray<readonly [core.HostId, number]>,
): ReadonlyArray<ReadonlyArray<readonly [core.HostId, number]>> {
	const parts: Array<Array<readonly [core.HostId, number]>> = [[]];
	let remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
	for (const version of versions) {
		const bytes = version[0].length + VERSION_OVERHEAD_BYTES;
		if (bytes > remainingBytes) {
			parts.push([]);
			remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
		}

		parts.at(-1)!.push(version);
		remainingBytes -= bytes;
	}

	return parts;
}

function createMissingUpdates(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'versions'}>,
): readonly Update[] {
	const versions = collectVersions(state, new Set([message.bucket])).get(message.bucket) ?? [];
	return versions
		.filter(([id]) => message.versions[id] === undefined)
		.map(([id]) => state.table.members.get(id)!)
		.filter(member => member.state === 'alive')
		.map(member => createMemberUpdate(state, member));
}
