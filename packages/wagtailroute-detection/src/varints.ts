/**
Variable-length encoding of non-negative integers: seven bits in each byte, lowest first, and the eighth bit set while more
bytes follow.
*/

/**
Writer of numbers into a growing array of bytes.
*/
export type ByteWriter = {
	readonly writeNumber: (value: number) => void;
	/**
	Writes a number in the given number of bytes, lowest first.
	*/
	readonly writeFixed: (value: number, length: number) => void;
	readonly getBytes: () => readonly number[];
};

/**
Reader of numbers. Missing bytes are read as 0. After a read past the end, or of a number that is too long, `isMalformed`
returns true.
*/
export type ByteReader = {
	readonly readNumber: () => number;
	readonly readFixed: (length: number) => number;
	readonly isAtEnd: () => boolean;
	readonly isMalformed: () => boolean;
};

const BYTE_RANGE = 256;
const CONTINUATION_BIT = 128;

// The writer produces no longer numbers: seven bytes hold 49 bits.
const MAX_NUMBER_BYTES = 7;

/**
Creates a writer without bytes.
*/
export function createByteWriter(): ByteWriter {
	const bytes: number[] = [];
	return {
		writeNumber(value) {
			let remaining = value;
			while (remaining >= CONTINUATION_BIT) {
				bytes.push((remaining % CONTINUATION_BIT) + CONTINUATION_BIT);
				remaining = Math.floor(remaining / CONTINUATION_BIT);
			}

			bytes.push(remaining);
		},
		writeFixed(value, length) {
			for (let index = 0, remaining = value; index < length; index++) {
				bytes.push(remaining % BYTE_RANGE);
				remaining = Math.floor(remaining / BYTE_RANGE);
			}
		},
		getBytes: () => bytes,
	};
}

/**
Creates a reader at the first byte.
*/
export function createByteReader(bytes: Uint8Array): ByteReader {
	let position = 0;
	let isBroken = false;
	const readByte = (): number => {
		isBroken ||= position >= bytes.length;
		const byte = bytes[position] ?? 0;
		position++;
		return byte;
	};

	return {
		readNumber() {
			let value = 0;
			for (let index = 0; index < MAX_NUMBER_BYTES; index++) {
				const byte = readByte();
				value += (byte % CONTINUATION_BIT) * (CONTINUATION_BIT ** index);
				if (byte < CONTINUATION_BIT) {
					return value;
				}
			}

			isBroken = true;
			return 0;
		},
		readFixed(length) {
			let value = 0;
			for (let index = 0; index < length; index++) {
				value += readByte() * (BYTE_RANGE ** index);
			}

			return value;
		},
		isAtEnd: () => position >= bytes.length,
		isMalformed: () => isBroken,
	};
}
