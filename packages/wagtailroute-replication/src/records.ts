/**
Records of a log file: one a line, `checksum length json`, checksum (CRC-32) and length in hexadecimal.

JSON has no line breaks and no zero bytes, which is what tells a torn write from damage. A write that a crash tore lacks
its end, or has zero bytes where blocks were not written; it was never acknowledged and is cut off. Anything else that
doesn't match its checksum was once synced and acknowledged: cutting it off would make this host forget what it promised,
so it is reported.
*/
import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';

const HEX = 16;
const CHECKSUM_DIGITS = 8;
const LENGTH_DIGITS = 8;
const HEADER_BYTES = CHECKSUM_DIGITS + LENGTH_DIGITS + 2;
const LINE_BREAK = 10;

/**
What a file holds. `length`: bytes up to the end of the last whole record. `isCorrupt`: a record before or at the end is
damaged.
*/
export type Records = {
	readonly values: readonly unknown[];
	readonly length: number;
	readonly isCorrupt: boolean;
};

/**
Writes a record.
*/
export function formatRecord(value: unknown): Buffer {
	const json = Buffer.from(JSON.stringify(value));
	const checksum = zlib.crc32(json).toString(HEX).padStart(CHECKSUM_DIGITS, '0');
	const length = json.length.toString(HEX).padStart(LENGTH_DIGITS, '0');
	return Buffer.concat([Buffer.from(`${checksum} ${length} `), json, Buffer.from('\n')]);
}

/**
Reads the records of a file.
*/
export function parseRecords(file: Buffer): Records {
	const values: unknown[] = [];
	let offset = 0;
	while (offset < file.length) {
		const end = file.indexOf(LINE_BREAK, offset);
		const line = end === -1 ? undefined : file.subarray(offset, end);
		if (line === undefined || !isWhole(line)) {
			return {values, length: offset, isCorrupt: !isTorn(file.subarray(offset))};
		}

		values.push(JSON.parse(line.subarray(HEADER_BYTES).toString()));
		offset = end + 1;
	}

	return {values, length: offset, isCorrupt: false};
}

function isWhole(line: Buffer): boolean {
	const json = line.subarray(HEADER_BYTES);
	const [checksum, length] = readHeader(line);
	return length === json.length && checksum === zlib.crc32(json);
}

function readHeader(line: Buffer): readonly [checksum: number, length: number] {
	const header = line.subarray(0, HEADER_BYTES).toString('latin1');
	const isHeader = /^[\da-f]{8} [\da-f]{8} $/v.test(header);
	return isHeader
		? [Number.parseInt(header.slice(0, CHECKSUM_DIGITS), HEX), Number.parseInt(header.slice(CHECKSUM_DIGITS + 1), HEX)]
		: [NaN, NaN];
}

/**
Says whether the rest of a file is one write that a crash tore. One write is one record, so its line break can only be the
last byte.
*/
function isTorn(rest: Buffer): boolean {
	const lineBreak = rest.indexOf(LINE_BREAK);
	const isSingle = lineBreak === -1 || lineBreak === rest.length - 1;
	if (!isSingle) {
		return false;
	}

	if (rest.includes(0)) {
		return true;
	}

	if (lineBreak !== -1) {
		return false;
	}

	const [, length] = readHeader(rest);
	return rest.length < HEADER_BYTES || rest.length <= HEADER_BYTES + length;
}
