/**
Runs the command line inside the process of a test and captures its output.
*/
import * as stream from 'node:stream';
import * as cli from '../../cli.ts';

export type CliRun = {
	readonly code: number;
	readonly output: string;
	readonly errors: string;
};

/**
Runs the arguments with the given environment variables and standard input.
*/
export async function runCli(argv: readonly string[], environment: Readonly<Record<string, string>> = {}, input = ''): Promise<CliRun> {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await cli.runCli(argv, {
		environment,
		stdin: stream.Readable.from([input]),
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
