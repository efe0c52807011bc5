/**
Exchange of digests: repairs what gossip left out, fills the table of a host that joins, and joins what a partition had
parted. Each message is bounded; a host that knows little asks often until it knows what the others know.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	EXCHANGE_INTERVAL_MILLISECONDS,
	JOIN_EXCHANGE_INTERVAL_MILLISECONDS,
	MAX_BUCKETS_PER_EXCHANGE,
	MAX_FETCHED_RECORDS,
	MAX_JOIN_EXCHANGES,
	MAX_MESSAGE_BYTES,
	MESSAGE_OVERHEAD_BYTES,
	RECONNECT_INTERVAL_MILLISECONDS,
	EXCHANGES_PER_SEED_EXCHANGE,
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
	getUnknownSeeds,
	pickMembers,
	sendMessage,
	createMemberUpdate,
} from './sending.ts';
import type {MembershipState} from './state.ts';
import {findDifferentBuckets, encodeDigest, getBucket} from './table.ts';
import {parseAddress} from './wire.ts';

// Quotes, colon, comma and a version of up to ten digits around a name.
const VERSION_OVERHEAD_BYTES = 14;

/**
Sends a digest when it is time.
*/
export function runExchange(state: MembershipState, {now, random}: core.Circumstances): readonly Effect[] {
	if (state.nextExchangeAt > now) {
		return [];
	}

	state.exchangeCount++;
	// Where hosts come and go all the time, two tables are never quite the same.
	state.isJoining &&= state.exchangeCount <= MAX_JOIN_EXCHANGES;
	state.nextExchangeAt = now + (state.isJoining ? JOIN_EXCHANGE_INTERVAL_MILLISECONDS : EXCHANGE_INTERVAL_MILLISECONDS);
	const address = pickExchangeAddress(state, random);
	return address ? [sendMessage(state, address, {kind: 'digest', hashes: encodeDigest(state.table)})] : [];
}

/**
Tells a dead host so when it is time: one that runs objects.
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
Answers a digest with the versions of groups that differ.
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
Compares versions: asks for what is newer there and tells what is newer here.
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
		// An ended host that this one never knew is of no use to it.
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
Answers with records.
*/
export function answerFetch(
	state: MembershipState,
	message: Extract<Message, {readonly kind: 'fetch'}>,
): readonly Effect[] {
	const updates = message.ids
		.map(id => id === state.self.id ? undefined : state.table.members.get(id))
		.filter(member => member !== undefined)
		// A suspected host's whole record first: the receiver may not know the host at all.
		.flatMap(member => member.state === 'suspect'
			? [createMemberUpdate(state, {...member, state: 'alive'}), createMemberUpdate(state, member)]
			: [createMemberUpdate(state, member)]);
	const ownUpdates = message.ids.includes(state.self.id) ? [createOwnUpdate(state)] : [];
	return sendUpdates(state, parseAddress(message.from.peer), [...ownUpdates, ...updates]);
}

/**
Takes the word of another host that both know the same.
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

	// Two parts of a fleet that forgot each other find together only by their seeds.
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
