/**
Starts a target as a process of its own.
*/
import * as childProcess from 'node:child_process';
import {once} from 'node:events';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import {createPlace, type Sample, type Target} from './target.ts';

const START_MILLISECONDS = 30_000;
const SAMPLE_MILLISECONDS = 5000;
const STOP_MILLISECONDS = 5000;

/**
Starts the process; resolves when the target answers good requests.
*/
export async function startTarget(firstPort: number): Promise<Target> {
	const child = childProcess.fork(path.join(import.meta.dirname, 'target-main.ts'), [String(firstPort)], {
		execArgv: ['--expose-gc'],
		stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
	});
	const ended = new AbortController();
	child.once('exit', (code, signal) => {
		ended.abort(new Error(`exit code ${code ?? signal}`));
	});

	const waitForMessage = async (milliseconds: number): Promise<unknown> => {
		const [message] = await once(child, 'message', {
			signal: AbortSignal.any([ended.signal, AbortSignal.timeout(milliseconds)]),
		}) as [unknown];
		return message;
	};

	await waitForMessage(START_MILLISECONDS);
	return {
		place: createPlace(firstPort),
		async sample() {
			ended.signal.throwIfAborted();
			child.send('sample');
			return await waitForMessage(SAMPLE_MILLISECONDS) as Sample;
		},
		async close() {
			if (!ended.signal.aborted) {
				child.disconnect();
				await Promise.race([once(child, 'exit'), timers.setTimeout(STOP_MILLISECONDS, undefined, {ref: false})]);
			}

			child.kill('SIGKILL');
		},
	};
}
