/**
Runs the command line inside the test and keeps what it prints.
*/
import * as stream from 'node:stream';
import * as cli from '../../cli.ts';

export type Run = {
	readonly code: number;
	readonly output: string;
	readonly errors: string;
};

/**
Runs the words under the variables.
*/
export async function run(words: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Run> {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await cli.runCli(words, {
		environment,
		stdin: stream.Readable.from([]),
		stdout: createSink(output),
		stderr: createSink(errors),
	});
	return {code, output: output.join(''), errors: errors.join('')};
}

function createSink(texts: string[]): stream.Writable {
	return new stream.Writable({
		write(chunk, _encoding, done) {
			texts.push(String(chunk));
			done();
		},
	});
}
