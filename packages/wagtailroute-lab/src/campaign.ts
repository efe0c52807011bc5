/**
Plays many days on all processors: each process plays a share of the seeds.
*/
import * as childProcess from 'node:child_process';
import * as os from 'node:os';
import * as path from 'node:path';
import type {Figures} from './tally.ts';

/**
The days of one variant.
*/
export type Task = {
	readonly scenario: string;
	readonly variant: string;
	readonly firstSeed: number;
	readonly seeds: number;
};

type Share = Task & {readonly place: number};

const WORKER = path.join(import.meta.dirname, 'worker.ts');

/**
Seeds that one process plays at a time: few enough that all processors end together.
*/
const SEEDS_A_SHARE = 10;

/**
Plays tasks and returns the figures of each, by seed.

@param jobs Processes at most.
*/
export async function playTasks(tasks: readonly Task[], jobs: number = os.availableParallelism()): Promise<ReadonlyArray<readonly Figures[]>> {
	const shares = tasks.flatMap((task, place) => split(task).map(share => ({...share, place})));
	const done = tasks.map(() => new Map<number, readonly Figures[]>());
	const left = [...shares];
	const work = async () => {
		for (let share = left.shift(); share !== undefined; share = left.shift()) {
			// eslint-disable-next-line no-await-in-loop -- One share after the other; several processes work at once.
			done[share.place]!.set(share.firstSeed, await playShare(share));
		}
	};

	await Promise.all(Array.from({length: Math.min(jobs, shares.length)}, work));
	return done.map(figures => [...figures].toSorted(([one], [other]) => one - other).flatMap(([, list]) => list));
}

function split(task: Task): readonly Task[] {
	return Array.from({length: Math.ceil(task.seeds / SEEDS_A_SHARE)}, (_, index) => ({
		...task,
		firstSeed: task.firstSeed + (index * SEEDS_A_SHARE),
		seeds: Math.min(SEEDS_A_SHARE, task.seeds - (index * SEEDS_A_SHARE)),
	}));
}

async function playShare({place: _place, ...task}: Share): Promise<readonly Figures[]> {
	const {promise, resolve, reject} = Promise.withResolvers<readonly Figures[]>();
	const worker = childProcess.fork(WORKER, [JSON.stringify(task)]);
	worker.once('message', figures => {
		resolve(figures as readonly Figures[]);
	});
	worker.once('error', reject);
	worker.once('exit', code => {
		// After a message this changes nothing.
		reject(new Error(`A process of the laboratory ended with ${code}.`));
	});
	return promise;
}
