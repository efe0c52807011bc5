/**
Compact text for what a host saw of upstreams, to be sent to the other carriers: bytes in base64.

An upstream is named by three bytes of a hash of its name, since both ends know the names. Two upstreams of one service may
have the same hash; evidence about either would count for the wrong one. The reader notices, since it hashes all names that
it knows, and drops the evidence about both; the salt, the sender's epoch, makes it likely that other hosts' is unharmed.

For each upstream: hash; twice the number of pairs, plus one when there is nothing but a latency for each success; else the
successes, a byte that says which kinds of failure and whether sheds follow, and these counts; the pairs. A pair is a byte
with the step from the last bucket in the upper half and the count in the lower one; a half that is all ones says that the
number follows.
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
Writes what was seen of upstreams. Use the same salt to read it.
*/
export function encodeUpstreamSummaries(upstreams: readonly summaries.UpstreamSummary[], salt: number): string {
	const writer = createByteWriter();
	for (const upstream of upstreams) {
		writeUpstream(writer, upstream, salt);
	}

	return Buffer.from(writer.getBytes()).toString('base64');
}

/**
Reads what was seen of the given upstreams, and passes over the others; undefined when the text is none of
`encodeUpstreams`.
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
		const seen = readUpstream(reader);
		if (reader.isMalformed()) {
			return undefined;
		}

		const id = byHash.get(hash);
		if (id !== undefined) {
			upstreams.push({id, ...seen});
		}
	}

	return upstreams;
}

function writeUpstream(writer: ByteWriter, upstream: summaries.UpstreamSummary, salt: number): void {
	const pairs = sortByBucket(upstream.latencies);
	const isPlain = hasOnlySuccesses(upstream, pairs);
	writer.writeFixed(getHash(upstream.id, salt), HASH_BYTES);
	writer.writeNumber((pairs.length * 2) + (isPlain ? 1 : 0));
	if (!isPlain) {
		writeCounts(writer, upstream);
	}

	let before = 0;
	for (const [bucket, count] of pairs) {
		writePair(writer, bucket - before, count);
		before = bucket;
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

function writePair(writer: ByteWriter, step: number, count: number): void {
	const upper = Math.min(step, NIBBLE_ESCAPE);
	const lower = Math.min(count, NIBBLE_ESCAPE);
	writer.writeFixed((upper * NIBBLE_RANGE) + lower, 1);
	if (upper === NIBBLE_ESCAPE) {
		writer.writeNumber(step);
	}

	if (lower === NIBBLE_ESCAPE) {
		writer.writeNumber(count);
	}
}

function readUpstream(reader: ByteReader): Omit<summaries.UpstreamSummary, 'id'> {
	const head = reader.readNumber();
	const isPlain = head % 2 === 1;
	const counts = isPlain ? undefined : readCounts(reader);
	const latencies: number[] = [];
	let samples = 0;
	let bucket = 0;
	for (let left = Math.floor(head / 2); left > 0 && !reader.isMalformed(); left--) {
		const both = reader.readFixed(1);
		const upper = Math.floor(both / NIBBLE_RANGE);
		const lower = both % NIBBLE_RANGE;
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

// FNV-1a over the name, begun with the salt.
function getHash(id: core.UpstreamId, salt: number): number {
	let hash = 2_166_136_261 + salt;
	for (let index = 0; index < id.length; index++) {
		// eslint-disable-next-line no-bitwise -- The hash is defined by bits.
		hash = Math.imul(hash ^ id.codePointAt(index)!, 16_777_619);
	}

	// eslint-disable-next-line no-bitwise -- The lowest bits of such a hash are its weakest: the upper ones are folded in.
	return ((hash ^ (hash >>> 15)) >>> 0) % HASH_RANGE;
}
