/**
Runs a host from its start to its stop.
*/
import type * as stream from 'node:stream';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as failures from './failures.ts';
import * as signals from './signals.ts';

/**
Something that runs until it is stopped. `stop` drains it.
*/
export type Running = {readonly stop: () => Promise<void>};

/**
Prints the line once it runs, waits for a signal, and stops it.
*/
export async function runUntilStopped(
	output: stream.Writable,
	line: string,
	start: () => Promise<Running>,
	waitForStop: () => Promise<undefined> = signals.waitForStop,
): Promise<results.Result<string, failures.CommandFailure>> {
	try {
		const stopped = waitForStop();
		const running = await Promise.race([start(), stopped]);
		// A start can wait for long, on a quorum for one: a signal during it ends the process without a drain, for nothing was
		// served yet.
		if (!running) {
			return results.Ok('');
		}

		output.write(`${line}\n`);
		await stopped;
		await running.stop();
		return results.Ok('');
	} catch (error) {
		// Without a code it is a defect, whose stack is wanted.
		if ((error as NodeJS.ErrnoException).code === undefined) {
			throw error;
		}

		return results.Err(core.createFailure('stopped', failures.describeError(error)));
	}
}
