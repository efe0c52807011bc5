/**
The main function of a process that runs one command and exits with its exit code.
*/
import process from 'node:process';
import type * as stream from 'node:stream';
import type * as commandLine from './command-line.ts';

/**
Runs a command line with the arguments, environment and streams of this process, flushes its output and exits.
*/
export async function runProgram(
	runCommandLine: (argv: readonly string[], context: commandLine.CliContext) => Promise<number>,
): Promise<void> {
	const code = await runCommandLine(process.argv.slice(2), {
		environment: process.env,
		stdin: process.stdin,
		stdout: process.stdout,
		stderr: process.stderr,
	});
	await Promise.all([flush(process.stdout), flush(process.stderr)]);
	// An idle keep-alive connection would keep the process running after the command has ended.
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
