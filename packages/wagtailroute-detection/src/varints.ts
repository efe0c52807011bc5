/**
Whole numbers in bytes: seven bits a byte, lowest first, the eighth bit set while more follow.
*/

/**
Writes numbers.
*/
export type ByteWriter = {
	readonly writeNumber: (value: number) => void;
	/**
	Writes so many bytes, lowest first.
	*/
	readonly writeFixed: (value: number, length: number) => void;
	readonly getBytes: () => readonly number[];
};

/**
Reads numbers. A read past the end gives 0 and breaks the reader.
*/
export type ByteReader = {
	readonly readNumber: () => number;
	readonly readFixed: (length: number) => number;
	readonly isAtEnd: () => boolean;
	readonly isMalformed: () => boolean;
};

const BYTE_RANGE = 256;
const CONTINUATION_BIT = 128;

// A longer number doesn't come from a writer.
const MAX_NUMBER_BYTES = 7;

/**
Creates a writer.
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
Creates a reader.
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
