/**
The signals that stop a host.
*/
import process from 'node:process';
import * as constants from './constants.ts';

const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
Resolves when a signal asks the process to stop; `onSignal` is called with each such signal.
*/
export type StopSignalWaiter = (onSignal: (signal: NodeJS.Signals) => void) => Promise<undefined>;

/**
Resolves at the first SIGTERM or SIGINT. The second one exits the process at once, so that an operator can end a host whose drain
hangs.
*/
export async function waitForStopSignal(onSignal: (signal: NodeJS.Signals) => void): Promise<undefined> {
	return new Promise<undefined>(resolve => {
		let signalCount = 0;
		const handleSignal = (signal: NodeJS.Signals): void => {
			signalCount++;
			onSignal(signal);
			if (signalCount > 1) {
				// Setting process.exitCode would not end a process whose drain hangs.
				// eslint-disable-next-line unicorn/no-process-exit
				process.exit(constants.EXIT_FAILURE);
			}

			resolve(undefined);
		};

		for (const signal of STOP_SIGNALS) {
			process.on(signal, handleSignal);
		}
	});
}
