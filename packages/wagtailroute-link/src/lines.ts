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

@param maxLineBytes Longest line in bytes.
*/
export function createLineReader(maxLineBytes: number): LineReader {
	let pendingChunks: buffer.Buffer[] = [];
	let pendingBytes = 0;
	return {
		read(chunk) {
			const lines: string[] = [];
			let start = 0;
			for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, start)) {
				pendingChunks.push(chunk.subarray(start, end));
				lines.push(pendingChunks.length === 1 ? pendingChunks[0]!.toString() : buffer.Buffer.concat(pendingChunks).toString());
				pendingChunks = [];
				pendingBytes = 0;
				start = end + 1;
			}

			if (start < chunk.length) {
				pendingChunks.push(chunk.subarray(start));
				pendingBytes += chunk.length - start;
			}

			return pendingBytes > maxLineBytes ? undefined : lines;
		},
	};
}
