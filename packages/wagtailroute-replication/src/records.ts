/**
Records of a log file: one a line, `checksum length json`, checksum (CRC-32) and length in hexadecimal. The checksum runs on
from that of the record before: without that, a record that is whole but missing, twice there or in the wrong place would be
taken, and a member of a quorum would come back with a state that never was, its votes and acknowledged entries gone.

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
	/**
	Checksum of the last whole record, from which that of the next one runs on.
	*/
	readonly checksum: number;
};

/**
A record as bytes, with its checksum.
*/
export type FormattedRecord = {readonly bytes: Buffer; readonly checksum: number};

/**
Writes a record.

@param previous Checksum of the record before it, 0 for the first one of a file.
*/
export function formatRecord(value: unknown, previous: number): FormattedRecord {
	const json = Buffer.from(JSON.stringify(value));
	const checksum = zlib.crc32(json, previous);
	const digits = checksum.toString(HEX).padStart(CHECKSUM_DIGITS, '0');
	const length = json.length.toString(HEX).padStart(LENGTH_DIGITS, '0');
	return {bytes: Buffer.concat([Buffer.from(`${digits} ${length} `), json, Buffer.from('\n')]), checksum};
}

/**
Reads the records of a file.
*/
export function parseRecords(file: Buffer): Records {
	const values: unknown[] = [];
	let offset = 0;
	let checksum = 0;
	while (offset < file.length) {
		const end = file.indexOf(LINE_BREAK, offset);
		const line = end === -1 ? undefined : file.subarray(offset, end);
		if (line === undefined || !isWhole(line, checksum)) {
			return {
				values, length: offset, isCorrupt: !isTorn(file.subarray(offset)), checksum,
			};
		}

		[checksum] = readHeader(line);

		values.push(JSON.parse(line.subarray(HEADER_BYTES).toString()));
		offset = end + 1;
	}

	return {
		values, length: offset, isCorrupt: false, checksum,
	};
}

function isWhole(line: Buffer, previous: number): boolean {
	const json = line.subarray(HEADER_BYTES);
	const [checksum, length] = readHeader(line);
	return length === json.length && checksum === zlib.crc32(json, previous);
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

	// Two records whose line break became a zero byte look like one line: the first of them was synced, as another followed.
	const [, length] = readHeader(rest);
	if (rest.length > HEADER_BYTES + length + 1) {
		return false;
	}

	if (rest.includes(0)) {
		return true;
	}

	return lineBreak === -1 ? rest.length < HEADER_BYTES || rest.length <= HEADER_BYTES + length : false;
}
