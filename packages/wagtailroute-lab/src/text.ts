/**
Results as tables for people.
*/
import {type ComparedFigure, type Estimate, isTold} from './comparison.ts';

const DIGITS = 4;
const ESTIMATE_WIDTH = 18;

/**
Writes a comparison as lines of text.
*/
export function formatComparison(title: string, figures: readonly ComparedFigure[]): string {
	const rows = figures.map(figure => [
		figure.name.padEnd(20), formatEstimate(figure.first), formatEstimate(figure.second), formatEstimate(figure.difference), isTold(figure) ? '*' : '',
	].join('  ').trimEnd());
	return [title, `${'figure'.padEnd(20)}  ${'first'.padStart(18)}  ${'second'.padStart(18)}  ${'difference'.padStart(18)}`, ...rows].join('\n');
}

/**
Writes an estimate.
*/
export function formatEstimate({mean, halfWidth}: Estimate): string {
	return `${format(mean)} ±${format(halfWidth)}`.padStart(ESTIMATE_WIDTH);
}

function format(value: number): string {
	return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(Math.abs(value) >= 10 ? 2 : DIGITS);
}
