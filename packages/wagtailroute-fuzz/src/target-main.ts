/**
A target as a process of its own, so that a crash shows as its end: answers each message of its parent with a sample.
*/
import process from 'node:process';
import {createPlace, openTarget} from './target.ts';

const target = await openTarget(createPlace(Number(process.argv[2])));
process.on('message', () => {
	void target.sample().then(sample => process.send?.(sample));
});
process.on('disconnect', () => {
	void stop();
});
async function stop(): Promise<void> {
	await target.close();
	// eslint-disable-next-line unicorn/no-process-exit -- Timers of the host may be left.
	process.exit();
}

process.send?.('ready');
