/**
Messages on a byte stream: one a line. JSON never holds a bare line feed, so a line is a whole message.
*/
import * as buffer from 'node:buffer';

const LINE_FEED = 0x0A;

/**
Cuts a stream into lines.
*/
export type LineReader = {
	/**
	Returns the lines that are whole with this chunk; undefined when a line is longer than the bound.
	*/
	readonly read: (chunk: buffer.Buffer) => readonly string[] | undefined;
};

/**
Creates a reader.

@param limitBytes Longest line in bytes.
*/
export function createLineReader(limitBytes: number): LineReader {
	let waiting: buffer.Buffer[] = [];
	let size = 0;
	return {
		read(chunk) {
			const lines: string[] = [];
			let start = 0;
			for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
				waiting.push(chunk.subarray(start, end));
				lines.push(waiting.length === 1 ? waiting[0]!.toString() : buffer.Buffer.concat(waiting).toString());
				waiting = [];
				size = 0;
				start = end + 1;
			}

			if (start < chunk.length) {
				waiting.push(chunk.subarray(start));
				size += chunk.length - start;
			}

			return size > limitBytes ? undefined : lines;
		},
	};
}
