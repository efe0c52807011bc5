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
	readonly isBroken: () => boolean;
};

const BYTE = 256;
const MORE = 128;

// A longer number doesn't come from a writer.
const LONGEST_NUMBER_BYTES = 7;

/**
Creates a writer.
*/
export function createByteWriter(): ByteWriter {
	const bytes: number[] = [];
	return {
		writeNumber(value) {
			let rest = value;
			while (rest >= MORE) {
				bytes.push((rest % MORE) + MORE);
				rest = Math.floor(rest / MORE);
			}

			bytes.push(rest);
		},
		writeFixed(value, length) {
			for (let index = 0, rest = value; index < length; index++) {
				bytes.push(rest % BYTE);
				rest = Math.floor(rest / BYTE);
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
			for (let index = 0; index < LONGEST_NUMBER_BYTES; index++) {
				const byte = readByte();
				value += (byte % MORE) * (MORE ** index);
				if (byte < MORE) {
					return value;
				}
			}

			isBroken = true;
			return 0;
		},
		readFixed(length) {
			let value = 0;
			for (let index = 0; index < length; index++) {
				value += readByte() * (BYTE ** index);
			}

			return value;
		},
		isAtEnd: () => position >= bytes.length,
		isBroken: () => isBroken,
	};
}
