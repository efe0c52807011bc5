/**
Records of a log file, one per line: `checksum length json`, with the CRC-32 checksum and the length in hexadecimal.

Each checksum continues that of the previous record. With independent checksums, records that are lost, repeated or out of
order would go unnoticed, and a voter could restart without votes and entries that it has acknowledged.

Serialized JSON contains no line breaks and no zero bytes, so a torn write can be told from corruption. A write interrupted
by a crash lacks its end or has zero bytes where blocks were not written; it was never acknowledged and is truncated. Any
other record that doesn't match its checksum was once synced and may have been acknowledged, so it is reported as corrupt.
*/
import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';

const HEX = 16;
const CHECKSUM_DIGITS = 8;
const LENGTH_DIGITS = 8;
const HEADER_BYTES = CHECKSUM_DIGITS + LENGTH_DIGITS + 2;
const LINE_BREAK = 10;

/**
Contents of a file. `length`: bytes up to the end of the last valid record. `isCorrupt`: the record that starts there is
corrupt, not merely torn.
*/
export type Records = {
	readonly values: readonly unknown[];
	readonly length: number;
	readonly isCorrupt: boolean;
	/**
	Checksum of the last valid record, which the next record's checksum continues.
	*/
	readonly checksum: number;
};

/**
A serialized record with its checksum.
*/
export type FormattedRecord = {readonly bytes: Buffer; readonly checksum: number};

/**
Serializes a record.

@param previous Checksum of the previous record; 0 for the first one of a file.
*/
export function formatRecord(value: unknown, previous: number): FormattedRecord {
	const json = Buffer.from(JSON.stringify(value));
	const checksum = zlib.crc32(json, previous);
	const digits = checksum.toString(HEX).padStart(CHECKSUM_DIGITS, '0');
	const length = json.length.toString(HEX).padStart(LENGTH_DIGITS, '0');
	return {bytes: Buffer.concat([Buffer.from(`${digits} ${length} `), json, Buffer.from('\n')]), checksum};
}

/**
Parses records up to the first invalid one.
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
Returns whether the rest of a file is a single write torn by a crash. One write is one record, so its line break can only
be the last byte.
*/
function isTorn(rest: Buffer): boolean {
	const lineBreak = rest.indexOf(LINE_BREAK);
	const isSingle = lineBreak === -1 || lineBreak === rest.length - 1;
	if (!isSingle) {
		return false;
	}

	// If a line break was corrupted to a zero byte, two records look like one; the first was synced before the second was written.
	const [, length] = readHeader(rest);
	if (rest.length > HEADER_BYTES + length + 1) {
		return false;
	}

	if (rest.includes(0)) {
		return true;
	}

	return lineBreak === -1 ? rest.length < HEADER_BYTES || rest.length <= HEADER_BYTES + length : false;
}
