/**
Tests of the packing of long messages.
*/
import * as zlib from 'node:zlib';
import test from 'ava';
import {MESSAGE_BYTES, PACKED_CHARACTERS} from '../../constants.ts';
import {packLine, unpackLine} from '../../packing.ts';

const LINES = [
	{name: 'empty', line: ''},
	{name: 'short', line: '{"a":1}'},
	{name: 'just short', line: `"${'a'.repeat(PACKED_CHARACTERS - 3)}"`},
	{name: 'long', line: JSON.stringify({text: 'æøå щ'.repeat(PACKED_CHARACTERS)})},
];

for (const {name, line} of LINES) {
	test(`a line that is ${name} comes back as it was`, t => {
		t.is(unpackLine(packLine(line)), line);
		t.true(packLine(line).length <= line.length);
	});
}

test('a line that would be longer than a message may be is not unpacked', t => {
	// Symptom: a host is killed for its memory.
	// Sequence: a stranger sends a few kilobytes that unpack to gigabytes.
	// Cause: the bound on messages was looked at before they were unpacked only.
	const bomb = zlib.deflateRawSync(' '.repeat(MESSAGE_BYTES + 1)).toString('base64');
	t.is(unpackLine(`z${bomb}`), undefined);
});
