/**
Tests of the packing of long messages.
*/
import * as crypto from 'node:crypto';
import * as zlib from 'node:zlib';
import test from 'ava';
import {MAX_MESSAGE_BYTES, MIN_COMPRESSED_CHARACTERS} from '../../constants.ts';
import {compressLine, decompressLine} from '../../compression.ts';

const LINES = [
	{name: 'empty', line: ''},
	{name: 'short', line: '{"a":1}'},
	{name: 'just short', line: `"${'a'.repeat(MIN_COMPRESSED_CHARACTERS - 3)}"`},
	{name: 'long', line: JSON.stringify({text: 'æøå щ'.repeat(MIN_COMPRESSED_CHARACTERS)})},
];

const DEFLATED = zlib.deflateRawSync(crypto.randomBytes(20_000)).toString('base64');

test('a line that consists mostly of deflated text is not deflated again', t => {
	// Guards against a host that is busy with one large message: it was deflated once more for each of its receivers.
	for (const line of [JSON.stringify({kind: 'append', value: DEFLATED}), JSON.stringify({kind: 'append', values: [DEFLATED, DEFLATED]})]) {
		t.is(compressLine(line), line);
		t.is(decompressLine(line), line);
	}

	const list = JSON.stringify(Array.from({length: 2000}, (_, number) => number));
	t.true(compressLine(list).length < list.length);
});

for (const {name, line} of LINES) {
	test(`a line that is ${name} comes back as it was`, t => {
		t.is(decompressLine(compressLine(line)), line);
		t.true(compressLine(line).length <= line.length);
	});
}

test('a line that would be longer than a message may be is not unpacked', t => {
	// Symptom: a host is killed for its memory.
	// Sequence: a stranger sends a few kilobytes that unpack to gigabytes.
	// Cause: the bound on messages was looked at before they were unpacked only.
	const bomb = zlib.deflateRawSync(' '.repeat(MAX_MESSAGE_BYTES + 1)).toString('base64');
	t.is(decompressLine(`z${bomb}`), undefined);
});
