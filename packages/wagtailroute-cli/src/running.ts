/**
Runs a host until a signal stops it.
*/
import type * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as constants from './constants.ts';
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
	Called with each signal that arrives, before `stop` and while it lasts.
	*/
	readonly recordSignal?: (signal: NodeJS.Signals) => void;
};

/**
Starts a host, prints `readyLine` once it has started, waits for a signal to stop, and stops the host. Signals are handled from before the start.
*/
export async function runUntilStopped(
	output: stream.Writable,
	readyLine: string,
	start: () => Promise<results.Result<RunningHost, failures.CommandFailure>>,
	waitForStopSignal: signals.StopSignalWaiter = signals.createStopSignalWaiter('stop'),
): Promise<results.Result<string, failures.CommandFailure>> {
	try {
		const known: {host?: RunningHost} = {};
		const stopSignal = waitForStopSignal(signal => {
			known.host?.recordSignal?.(signal);
		});
		const started = await waitForStart(start(), stopSignal);
		if (started === undefined) {
			return results.Ok('');
		}

		if (started.isErr()) {
			return started;
		}

		known.host = started.value;
		output.write(`${readyLine}\n`);
		await stopSignal;
		await started.value.stop();
		return results.Ok('');
	} catch (error) {
		// An error without a code is a defect: it is thrown, so that its stack is printed.
		if ((error as NodeJS.ErrnoException).code === undefined) {
			throw error;
		}

		return results.Err(core.createFailure('stopped', failures.describeError(error)));
	}
}

/**
Waits for the end of a start, once a stop is asked for only briefly: a host that serves already is about to have started and must be drained, one that waits for a quorum serves nobody and can be
ended. Resolves with undefined for the latter.
*/
async function waitForStart<Started>(starting: Promise<Started>, stopSignal: Promise<undefined>): Promise<Started | undefined> {
	return await Promise.race([starting, stopSignal]) ?? Promise.race([starting, timers.setTimeout(constants.MAX_STOPPED_START_MILLISECONDS, undefined)]);
}
