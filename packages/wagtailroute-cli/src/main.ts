/**
The entry of the program.
*/
import process from 'node:process';
import type * as stream from 'node:stream';
import * as cli from './cli.ts';

async function main(): Promise<void> {
	const code = await cli.runCli(process.argv.slice(2), {
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

void main();
