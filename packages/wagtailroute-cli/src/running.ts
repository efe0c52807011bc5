/**
Runs a host until a signal stops it.
*/
import type * as stream from 'node:stream';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as failures from './failures.ts';
import * as signals from './signals.ts';

/**
A host that has started. `stop` drains it.
*/
export type RunningHost = {readonly stop: () => Promise<void>};

/**
Starts a host, prints `readyLine` once it has started, waits for a signal to stop, and stops the host.
*/
export async function runUntilStopped(
	output: stream.Writable,
	readyLine: string,
	start: () => Promise<RunningHost>,
	waitForStopSignal: () => Promise<undefined> = signals.waitForStopSignal,
): Promise<results.Result<string, failures.CommandFailure>> {
	try {
		const stopSignal = waitForStopSignal();
		const running = await Promise.race([start(), stopSignal]);
		// The start can take long, for example without a quorum. A signal during the start ends the process without a drain, since
		// the host has not served anything yet.
		if (!running) {
			return results.Ok('');
		}

		output.write(`${readyLine}\n`);
		await stopSignal;
		await running.stop();
		return results.Ok('');
	} catch (error) {
		// An error without a code is a defect: it is thrown, so that its stack is printed.
		if ((error as NodeJS.ErrnoException).code === undefined) {
			throw error;
		}

		return results.Err(core.createFailure('stopped', failures.describeError(error)));
	}
}
