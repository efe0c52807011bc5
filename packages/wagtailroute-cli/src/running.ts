/**
Runs a host until a signal stops it.
*/
import type * as stream from 'node:stream';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as failures from './failures.ts';
import * as signals from './signals.ts';

/**
A host that has started.
*/
export type RunningHost = {
	/**
	Drains the host.
	*/
	readonly stop: () => Promise<void>;
	/**
	Called with each signal that asks for a stop, before `stop` and while it lasts.
	*/
	readonly recordSignal?: (signal: NodeJS.Signals) => void;
};

/**
Starts a host, prints `readyLine` once it has started, waits for a signal to stop, and stops the host.
*/
export async function runUntilStopped(
	output: stream.Writable,
	readyLine: string,
	start: () => Promise<RunningHost>,
	waitForStopSignal: signals.StopSignalWaiter = signals.waitForStopSignal,
): Promise<results.Result<string, failures.CommandFailure>> {
	try {
		const started: {host?: RunningHost} = {};
		const stopSignal = waitForStopSignal(signal => {
			started.host?.recordSignal?.(signal);
		});
		const running = await Promise.race([start(), stopSignal]);
		// The start can take long, for example without a quorum. A signal during the start ends the process without a drain, since
		// the host has not served anything yet.
		if (!running) {
			return results.Ok('');
		}

		started.host = running;
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
