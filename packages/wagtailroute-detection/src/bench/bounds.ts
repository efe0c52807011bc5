/**
Bounds of the detection bench, as ratios to the results of the baseline policies in the same run.
*/
import type * as detection from './detection.ts';
import type * as policies from './policies.ts';

/**
Largest allowed fraction of the better baseline's detection time. A path fault shows only when requests time out or stall,
so less can be gained.
*/
const DETECTION_RATIO = 0.5;
const PATH_DETECTION_RATIO = 0.6;

const PATH_SCENARIO = 'one-way partition of a host, one upstream';

/**
False ejections per hour that each policy may have more than the baselines. `fast` reacts to long pauses.
*/
const FALSE_EJECTION_ALLOWANCE: Readonly<Partial<Record<policies.PolicyName, number>>> = {fast: 60, careful: 0};

/**
Returns one sentence for each bound that the rows break.
*/
export function getBrokenBounds(rows: readonly detection.Row[]): string[] {
	return rows.flatMap(row => {
		const allowance = FALSE_EJECTION_ALLOWANCE[row.policy];
		if (allowance === undefined) {
			return [];
		}

		const baselines = rows.filter(({size, scenario, policy}) =>
			size === row.size && scenario === row.scenario && FALSE_EJECTION_ALLOWANCE[policy] === undefined);
		return [...getBrokenDetectionBounds(row, baselines), ...getBrokenFalseEjectionBounds(row, baselines, allowance)];
	});
}

function getBrokenDetectionBounds(row: detection.Row, baselines: readonly detection.Row[]): string[] {
	const times = baselines.flatMap(({detectionMilliseconds}) => detectionMilliseconds ?? []);
	const ratio = row.scenario === PATH_SCENARIO ? PATH_DETECTION_RATIO : DETECTION_RATIO;
	const bound = Math.min(...times) * ratio;
	const name = getName(row);
	if (row.missed > 0) {
		return [`${name}: missed in ${row.missed} of ${row.runs} runs`];
	}

	return row.detectionMilliseconds !== null && row.detectionMilliseconds > bound
		? [`${name}: detected in ${row.detectionMilliseconds} ms, bound ${bound} ms`]
		: [];
}

function getBrokenFalseEjectionBounds(row: detection.Row, baselines: readonly detection.Row[], allowance: number): string[] {
	const bound = Math.min(...baselines.map(({falsePerHour}) => falsePerHour)) + allowance;
	return row.falsePerHour > bound
		? [`${getName(row)}: ${row.falsePerHour} false ejections an hour, bound ${bound}`]
		: [];
}

function getName({size, scenario, policy}: detection.Row): string {
	return `detection, ${size}, ${scenario}, ${policy}`;
}
