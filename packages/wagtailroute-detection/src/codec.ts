/**
Compact text encoding of the upstream summaries that a host sends to the other carriers of a service: bytes in base64.

An upstream is identified by three bytes of a hash of its id, since both ends know the ids. Two upstreams of one service may
have the same hash, and evidence about one would count for the other. The decoder detects this, since it hashes all ids that
it knows, and drops the evidence about both. The salt is the sender's epoch, so that the same two ids probably don't collide
in other hosts' summaries.

Encoding of an upstream, in this order:
- the hash;
- a header number: twice the number of latency pairs, plus one for the short form, which is used when there are only
  successes, each with its latency;
- except in the short form: the successes, a number with a flag for each failure kind and for sheds, and the counts of those
  flagged;
- the latency pairs: a byte with the difference from the last bucket in the upper half and the count in the lower one. A half
  with all bits set means that the value follows as a number of its own.
Numbers are encoded as in `varints.ts`.
*/
import {Buffer} from 'node:buffer';
import type * as core from 'wagtailroute-core';
import * as summaries from './summaries.ts';
import {
	createByteReader,
	createByteWriter,
	type ByteReader,
	type ByteWriter,
} from './varints.ts';

const HASH_BYTES = 3;
const HASH_RANGE = 256 ** HASH_BYTES;
const NIBBLE_RANGE = 16;
const NIBBLE_ESCAPE = NIBBLE_RANGE - 1;
const SHEDS_FLAG = 2 ** summaries.FAILURE_KINDS.length;

/**
Encodes upstream summaries. They must be decoded with the same salt.
*/
export function encodeUpstreamSummaries(upstreams: readonly summaries.UpstreamSummary[], salt: number): string {
	const writer = createByteWriter();
	for (const upstream of upstreams) {
		writeUpstream(writer, upstream, salt);
	}

	return Buffer.from(writer.getBytes()).toString('base64');
}

/**
Decodes the summaries of the given upstreams, and ignores the others. Returns undefined when the text is malformed.
*/
export function decodeUpstreamSummaries(
	text: string,
	ids: Iterable<core.UpstreamId>,
	salt: number,
): readonly summaries.UpstreamSummary[] | undefined {
	const byHash = new Map<number, core.UpstreamId | undefined>();
	for (const id of ids) {
		const hash = getHash(id, salt);
		byHash.set(hash, byHash.has(hash) ? undefined : id);
	}

	const reader = createByteReader(Buffer.from(text, 'base64'));
	const upstreams: summaries.UpstreamSummary[] = [];
	while (!reader.isAtEnd()) {
		const hash = reader.readFixed(HASH_BYTES);
		const decoded = readUpstream(reader);
		if (reader.isMalformed()) {
			return undefined;
		}

		const id = byHash.get(hash);
		if (id !== undefined) {
			upstreams.push({id, ...decoded});
		}
	}

	return upstreams;
}

function writeUpstream(writer: ByteWriter, upstream: summaries.UpstreamSummary, salt: number): void {
	const pairs = sortByBucket(upstream.latencies);
	const isShortForm = hasOnlySuccesses(upstream, pairs);
	writer.writeFixed(getHash(upstream.id, salt), HASH_BYTES);
	writer.writeNumber((pairs.length * 2) + (isShortForm ? 1 : 0));
	if (!isShortForm) {
		writeCounts(writer, upstream);
	}

	let previousBucket = 0;
	for (const [bucket, count] of pairs) {
		writePair(writer, bucket - previousBucket, count);
		previousBucket = bucket;
	}
}

function hasOnlySuccesses({successes, failures, sheds}: summaries.UpstreamSummary, pairs: readonly BucketCount[]): boolean {
	const samples = pairs.reduce((sum, [, count]) => sum + count, 0);
	return successes === samples && sheds === 0 && Object.keys(failures).length === 0;
}

function writeCounts(writer: ByteWriter, upstream: summaries.UpstreamSummary): void {
	const failures = summaries.FAILURE_KINDS.map(kind => upstream.failures[kind] ?? 0);
	let flags = upstream.sheds > 0 ? SHEDS_FLAG : 0;
	for (const [index, count] of failures.entries()) {
		flags += count > 0 ? 2 ** index : 0;
	}

	writer.writeNumber(upstream.successes);
	writer.writeNumber(flags);
	for (const count of [...failures, upstream.sheds]) {
		if (count > 0) {
			writer.writeNumber(count);
		}
	}
}

function writePair(writer: ByteWriter, bucketDifference: number, count: number): void {
	const upper = Math.min(bucketDifference, NIBBLE_ESCAPE);
	const lower = Math.min(count, NIBBLE_ESCAPE);
	writer.writeFixed((upper * NIBBLE_RANGE) + lower, 1);
	if (upper === NIBBLE_ESCAPE) {
		writer.writeNumber(bucketDifference);
	}

	if (lower === NIBBLE_ESCAPE) {
		writer.writeNumber(count);
	}
}

function readUpstream(reader: ByteReader): Omit<summaries.UpstreamSummary, 'id'> {
	const header = reader.readNumber();
	const isShortForm = header % 2 === 1;
	const counts = isShortForm ? undefined : readCounts(reader);
	const latencies: number[] = [];
	let samples = 0;
	let bucket = 0;
	for (let remainingPairs = Math.floor(header / 2); remainingPairs > 0 && !reader.isMalformed(); remainingPairs--) {
		const byte = reader.readFixed(1);
		const upper = Math.floor(byte / NIBBLE_RANGE);
		const lower = byte % NIBBLE_RANGE;
		bucket += upper === NIBBLE_ESCAPE ? reader.readNumber() : upper;
		const count = lower === NIBBLE_ESCAPE ? reader.readNumber() : lower;
		latencies.push(bucket, count);
		samples += count;
	}

	return {...(counts ?? {successes: samples, failures: {}, sheds: 0}), latencies};
}

function readCounts(reader: ByteReader): Pick<summaries.UpstreamSummary, 'successes' | 'failures' | 'sheds'> {
	const successes = reader.readNumber();
	const flags = reader.readNumber();
	const failures: Partial<Record<summaries.FailureKind, number>> = {};
	for (const [index, kind] of summaries.FAILURE_KINDS.entries()) {
		if (Math.floor(flags / (2 ** index)) % 2 === 1) {
			failures[kind] = reader.readNumber();
		}
	}

	return {successes, failures, sheds: Math.floor(flags / SHEDS_FLAG) % 2 === 1 ? reader.readNumber() : 0};
}

type BucketCount = readonly [bucket: number, count: number];

function sortByBucket(latencies: readonly number[]): readonly BucketCount[] {
	const pairs: BucketCount[] = [];
	for (let index = 0; index + 1 < latencies.length; index += 2) {
		pairs.push([latencies[index]!, latencies[index + 1]!]);
	}

	return pairs.toSorted(([left], [right]) => left - right);
}

// FNV-1a over the id, with the salt added to the initial value.
function getHash(id: core.UpstreamId, salt: number): number {
	let hash = 2_166_136_261 + salt;
	for (let index = 0; index < id.length; index++) {
		// eslint-disable-next-line no-bitwise -- The hash is defined by bits.
		hash = Math.imul(hash ^ id.codePointAt(index)!, 16_777_619);
	}

	// eslint-disable-next-line no-bitwise -- The lowest bits of this hash are the least random, so the upper ones are folded in.
	return ((hash ^ (hash >>> 15)) >>> 0) % HASH_RANGE;
}
