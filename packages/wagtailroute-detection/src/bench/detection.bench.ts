/**
Entry point of the detection bench, which compares the results with their bounds.

The full table of all sizes takes minutes, so a run uses one seed and the guarded sizes by default. `DETECTION_BENCH=all` runs
every size with two seeds.
*/
import process from 'node:process';
import * as bounds from './bounds.ts';
import * as detection from './detection.ts';

const SECONDS_DIGITS = 2;
const ALL_SIZES_SEEDS: readonly number[] = [1, 2];

/**
Runs the bench.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: ReadonlyArray<Record<string, string | number>>;
	readonly broken: readonly string[];
}> {
	const hasAllSizes = process.env.DETECTION_BENCH === 'all';
	const rows = detection.runDetectionBench(hasAllSizes ? {seeds: ALL_SIZES_SEEDS, sizes: detection.SIZES} : {});
	return {
		title: `Detection of gray failures, ${hasAllSizes ? 'all sizes' : 'guarded sizes'}`,
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
