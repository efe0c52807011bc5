/**
Paired comparison: the same seeds under two variants, so that the luck of a day falls out of the difference.
*/
import * as statistics from 'simple-statistics';
import type {Figures} from './tally.ts';

/**
A mean with the half-width of its 95% confidence interval.
*/
export type Estimate = {
	readonly mean: number;
	readonly halfWidth: number;
};

/**
A figure of two variants.
*/
export type ComparedFigure = {
	readonly name: keyof Figures;
	readonly first: Estimate;
	readonly second: Estimate;
	/**
	Second less first, seed by seed.
	*/
	readonly difference: Estimate;
};

/**
Names of the figures, in the order in which they are shown.
*/
export const FIGURE_NAMES: ReadonlyArray<keyof Figures> = [
	'value',
	'earned',
	'served',
	'inTime',
	'late',
	'refused',
	'hung',
	'reset',
	'error',
	'noConnection',
	'worstSeconds',
	'worstRoute',
	'medianMilliseconds',
	'p99Milliseconds',
	'sentIntoSpell',
	'unrepeatableIntoSpell',
	'spellMilliseconds',
	'falseSuspensions',
	'resends',
	'resendExcess',
	'rateLimitExcess',
	'backoffArrivals',
	'drainingArrivals',
	'allotmentExcess',
	'allotmentLoad',
	'refusedWithinAllotment',
	'leastUsedShare',
	'microseconds',
];

/**
Quantile of the standard normal distribution for 95%: with dozens of seeds the t distribution's differs by less than a tenth.
*/
const NORMAL_QUANTILE = statistics.probit(0.975);

/**
Estimates the mean of a sample.
*/
export function estimate(sample: readonly number[]): Estimate {
	const values = [...sample];
	const mean = statistics.mean(values);
	const halfWidth = values.length < 2 ? Infinity : NORMAL_QUANTILE * statistics.sampleStandardDeviation(values) / Math.sqrt(values.length);
	return {mean, halfWidth};
}

/**
Compares two variants that played the same seeds in the same order.
*/
export function compare(first: readonly Figures[], second: readonly Figures[]): readonly ComparedFigure[] {
	return FIGURE_NAMES.map(name => ({
		name,
		first: estimate(first.map(figures => figures[name])),
		second: estimate(second.map(figures => figures[name])),
		difference: estimate(second.map((figures, index) => figures[name] - first[index]![name])),
	}));
}

/**
Says whether a difference is more than chance: its interval leaves out zero.
*/
export function isTold({difference}: ComparedFigure): boolean {
	return Math.abs(difference.mean) > difference.halfWidth;
}
