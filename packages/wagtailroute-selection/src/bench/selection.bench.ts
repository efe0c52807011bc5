/**
Entry point of the selection bench. By default it runs with 40 and 8 hosts; `SELECTION_BENCH=all` adds 4 hosts.
*/
import process from 'node:process';
import * as selection from './selection.ts';

const DEFAULT_HOSTS: readonly number[] = [40, 8];

/**
Runs the bench.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Record<string, string | number>>;
	readonly broken: readonly string[];
}> {
	const isFullRun = process.env.SELECTION_BENCH === 'all';
	const rows = selection.runSelectionBench(isFullRun ? {} : {hosts: DEFAULT_HOSTS});
	return {
		title: 'Choice of an upstream with one of them slow',
		rows,
		broken: selection.getBrokenBounds(rows),
	};
}
