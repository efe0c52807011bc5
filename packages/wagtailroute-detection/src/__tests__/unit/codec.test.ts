/**
Tests of the compact text encoding of summaries.
*/
import {Buffer} from 'node:buffer';
import test from 'ava';
import * as fc from 'fast-check';
import * as detection from '../../index.ts';

const IDS: readonly string[] = Array.from({length: 20}, (_, index) => `quoting-${24_500 + index}`);
const COUNT = fc.oneof(fc.nat({max: 20}), fc.nat({max: 100_000}));
const FAILURES = fc.dictionary(fc.constantFrom(...detection.FAILURE_KINDS), COUNT.map(count => count + 1), {noNullPrototype: true});
const LATENCIES = fc.uniqueArray(fc.tuple(fc.nat({max: 71}), COUNT), {selector: ([bucket]) => bucket, maxLength: 30})
	.map(pairs => pairs.toSorted(([left], [right]) => left - right).flat());
const UPSTREAMS = fc.uniqueArray(
	fc.record({
		id: fc.constantFrom(...IDS), successes: COUNT, failures: FAILURES, sheds: COUNT, latencies: LATENCIES,
	}),
	{selector: ({id}) => id},
);

test('decoding returns what was encoded', t => {
	const seed = 21;
	t.log(`seed ${seed}`);
	fc.assert(fc.property(UPSTREAMS, fc.nat(), (upstreams, salt) => {
		t.deepEqual(detection.decodeUpstreamSummaries(detection.encodeUpstreamSummaries(upstreams, salt), IDS, salt), upstreams);
	}), {seed, numRuns: 300});
});

test('truncated or foreign text is refused or decoded in part, and decoding ends', t => {
	// Guards against a decoder that trusts counts in arbitrary bytes, and hangs at a message of another version.
	const seed = 22;
	t.log(`seed ${seed}`);
	fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
		const read = detection.decodeUpstreamSummaries(Buffer.from(bytes).toString('base64'), IDS, 1) ?? [];
		t.true(read.every(({id}) => IDS.includes(id)));
	}), {seed, numRuns: 500});
	const text = detection.encodeUpstreamSummaries([{
		id: IDS[0]!, successes: 3, failures: {reset: 1}, sheds: 0, latencies: [20, 3],
	}], 1);
	t.is(detection.decodeUpstreamSummaries(text.slice(0, 4), IDS, 1), undefined);
});

test('evidence about upstreams with the same hash counts for neither', t => {
	// Guards against the ejection of a healthy upstream for the failures of another one: the ids of two upstreams of one service
	// have the same hash, and the decoder uses the first id that matches.
	const names = Array.from({length: 12_000}, (_, index) => `u-${index}`);
	const encode = (id: string) => detection.encodeUpstreamSummaries([{
		id, successes: 1, failures: {}, sheds: 0, latencies: [],
	}], 1);
	const seen = new Map<string, string>();
	const pair = names.flatMap(id => {
		const text = encode(id);
		const other = seen.get(text);
		seen.set(text, id);
		return other === undefined ? [] : [[other, id]];
	})[0];
	t.truthy(pair);
	t.deepEqual(detection.decodeUpstreamSummaries(encode(pair![0]!), pair!, 1), []);
	t.is(detection.decodeUpstreamSummaries(encode(pair![0]!), [pair![0]!], 1)?.length, 1);
});
