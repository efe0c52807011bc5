/**
The signals that stop a host.
*/
import process from 'node:process';

const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
Signals that would end a stopping process by their default action, beside those that stop it.
*/
const HELD_SIGNALS: readonly NodeJS.Signals[] = ['SIGHUP'];

/**
Resolves when a signal asks the process to stop; `onSignal` is called with each signal from then on.
*/
export type StopSignalWaiter = (onSignal: (signal: NodeJS.Signals) => void) => Promise<undefined>;

/**
Resolves at the first SIGTERM or SIGINT. Until the process has ended, later ones and SIGHUP neither end it nor shorten its drain: a supervisor or a process group may send them several times.
*/
export async function waitForStopSignal(onSignal: (signal: NodeJS.Signals) => void): Promise<undefined> {
	return new Promise<undefined>(resolve => {
		let isStopping = false;
		const handleSignal = (signal: NodeJS.Signals): void => {
			onSignal(signal);
			if (isStopping) {
				return;
			}

			isStopping = true;
			for (const held of HELD_SIGNALS) {
				process.on(held, onSignal);
			}

			resolve(undefined);
		};

		for (const signal of STOP_SIGNALS) {
			process.on(signal, handleSignal);
		}
	});
}
