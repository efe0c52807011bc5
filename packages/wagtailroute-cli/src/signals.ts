/**
The signals that stop a host.
*/
import process from 'node:process';

/**
What SIGHUP asks a host for: to stop, or to read its settings again, which the host does itself.
*/
export type HangupAction = 'stop' | 'reload';

/**
Resolves when a signal asks the process to stop; `onSignal` is called with each signal that arrives.
*/
export type StopSignalWaiter = (onSignal: (signal: NodeJS.Signals) => void) => Promise<undefined>;

const STOP_SIGNALS: Readonly<Record<HangupAction, ReadonlySet<NodeJS.Signals>>> = {
	stop: new Set(['SIGTERM', 'SIGINT', 'SIGHUP']),
	reload: new Set(['SIGTERM', 'SIGINT']),
};

/**
Signals that end a process by their default action.
*/
const HANDLED_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/**
Creates a waiter for the first signal that asks for a stop. From its call until the process has ended, no handled signal ends the process or shortens its drain: a supervisor or a process group may
send them several times.
*/
export function createStopSignalWaiter(hangupAction: HangupAction): StopSignalWaiter {
	return async onSignal => new Promise<undefined>(resolve => {
		for (const handled of HANDLED_SIGNALS) {
			process.on(handled, signal => {
				onSignal(signal);
				if (STOP_SIGNALS[hangupAction].has(signal)) {
					resolve(undefined);
				}
			});
		}
	});
}
