/**
Entry of the bench of detection: the guarded rows with their bounds.

The whole table of all sizes takes minutes, so a run by default keeps to one seed and the guarded sizes. `DETECTION_BENCH=all`
runs every size with two seeds.
*/
import process from 'node:process';
import * as bounds from './bounds.ts';
import * as detection from './detection.ts';

const SECONDS_DIGITS = 2;
const WHOLE_SEEDS: readonly number[] = [1, 2];

/**
Runs the bench.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Record<string, string | number>>;
	readonly broken: readonly string[];
}> {
	const isWhole = process.env.DETECTION_BENCH === 'all';
	const rows = detection.runDetectionBench(isWhole ? {seeds: WHOLE_SEEDS, sizes: detection.SIZES} : {});
	return {
		title: `Detection of gray failures, ${isWhole ? 'all sizes' : 'guarded sizes'}`,
		rows: rows.map(row => formatRow(row)),
		broken: bounds.getBrokenBounds(rows),
	};
}

function formatRow({size, scenario, policy, detectionMilliseconds, missed, falsePerHour, harmed}: detection.Row): Record<string, string | number> {
	return {
		size,
		scenario,
		policy,
		'detected after (s)': detectionMilliseconds === null ? '-' : (detectionMilliseconds / 1000).toFixed(SECONDS_DIGITS),
		missed,
		'false ejections an hour': falsePerHour,
		'requests harmed': harmed,
	};
}
