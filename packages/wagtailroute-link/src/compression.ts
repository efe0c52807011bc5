/**
Long messages travel deflated.

A catalogue of some hundred routes goes from its operator's host to the leader, from there to every replica, and to each entry
host. Spelled out it is 80 to 160 KB each time: on a link of a few megabits it holds up the asks behind it for a third of a
second, and between failure domains its bytes are dear. Names of fields make up most of it, so it shrinks to a tenth.

Short messages stay as they are: an ask of 60 bytes would grow.
*/
import * as buffer from 'node:buffer';
import * as zlib from 'node:zlib';
import {
	COMPRESSION_LEVEL,
	MAX_MESSAGE_BYTES,
	MIN_COMPRESSED_CHARACTERS,
	SAMPLE_CHARACTERS,
} from './constants.ts';

/**
First character of a packed line. JSON-RPC messages begin with a brace or a bracket.
*/
const COMPRESSED_PREFIX = 'z';

/**
Characters of base64 without a break. Other JSON has a quotation mark, a comma or a bracket more often.
*/
const COMPRESSED_TEXT_PATTERN = /^[\w+\/]+$/v;

/**
Returns the line as it travels.
*/
export function compressLine(line: string): string {
	return line.length < MIN_COMPRESSED_CHARACTERS || isMostlyCompressed(line)
		? line
		: COMPRESSED_PREFIX + zlib.deflateRawSync(line, {level: COMPRESSION_LEVEL}).toString('base64');
}

/**
Returns whether most of a line is one value that was deflated before. Deflating it once more takes as long as the first time, for each of its receivers.
*/
function isMostlyCompressed(line: string): boolean {
	const start = Math.floor(line.length / 4);
	return COMPRESSED_TEXT_PATTERN.test(line.slice(start, start + SAMPLE_CHARACTERS));
}

/**
Returns the line as it was before it was packed; undefined for one that can't be unpacked, or would be longer than a message may be.
*/
export function decompressLine(line: string): string | undefined {
	if (!line.startsWith(COMPRESSED_PREFIX)) {
		return line;
	}

	try {
		const compressed = buffer.Buffer.from(line.slice(COMPRESSED_PREFIX.length), 'base64');
		return zlib.inflateRawSync(compressed, {maxOutputLength: MAX_MESSAGE_BYTES}).toString();
	} catch {
		// Not deflated, cut, or beyond the bound: the caller closes the link and says so.
		return undefined;
	}
}
