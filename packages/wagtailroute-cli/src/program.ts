/**
A process that runs one command and ends with its exit code.
*/
import process from 'node:process';
import type * as stream from 'node:stream';
import type * as commandLine from './command-line.ts';

/**
Runs a command line over the words and the surroundings of this process, and ends the process.
*/
export async function runProgram(
	runLine: (words: readonly string[], surroundings: commandLine.CliSurroundings) => Promise<number>,
): Promise<void> {
	const code = await runLine(process.argv.slice(2), {
		environment: process.env,
		stdin: process.stdin,
		stdout: process.stdout,
		stderr: process.stderr,
	});
	await Promise.all([flush(process.stdout), flush(process.stderr)]);
	// The command has ended: a kept connection must not hold the process.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
}

async function flush(output: stream.Writable): Promise<void> {
	await new Promise<void>(resolve => {
		output.write('', () => {
			resolve();
		});
	});
}
