/**
The signals that end a host.
*/
import process from 'node:process';
import * as constants from './constants.ts';

const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
Resolves at the first signal to stop. The second one ends the process at once: an operator must be able to end a host whose
drain doesn't come to its end.
*/
export async function waitForStop(): Promise<undefined> {
	return new Promise<undefined>(resolve => {
		let count = 0;
		const receive = (): void => {
			count++;
			if (count > 1) {
				// The drain may hang: an exit code alone would not end it.
				// eslint-disable-next-line unicorn/no-process-exit
				process.exit(constants.EXIT_REFUSED);
			}

			resolve(undefined);
		};

		for (const signal of STOP_SIGNALS) {
			process.on(signal, receive);
		}
	});
}
